package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/splitter"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// Handover passes an owner's state of a partition to the next owner. The messages of
// a handover, up to the one marked Last, together list every start that the owner or
// an earlier one may have caused. The next owner then does not need the agents'
// records.
type Handover struct {
	_msgpack struct{} `msgpack:",as_array"`

	Partition identifier.Partition
	// Epoch is the epoch of the owner that sends the handover.
	Epoch identifier.Epoch
	// Cutoff is zero if that owner knew of every earlier start. Otherwise, it may lack
	// the starts of submissions created up to that time.
	Cutoff  time.Time
	Records []HandoverRecord
	Last    bool
}

// HandoverRecord is a submission with the tasks that were sent or have ended.
type HandoverRecord struct {
	_msgpack struct{} `msgpack:",as_array"`

	Submission identifier.Submission
	Digest     uint64
	Tasks      []HandoverTask
	// Ended is set if the job has ended. Tasks then lists all its tasks, in their order.
	Ended bool
}

// HandoverTask is a task that was sent to an agent or has ended. Its result is
// pending while it may still run.
type HandoverTask struct {
	_msgpack struct{} `msgpack:",as_array"`

	Index       int
	Agent       identifier.Agent
	Incarnation identifier.Incarnation
	Epoch       identifier.Epoch
	Attempt     uint32
	Result      describer.Result
}

// taskOverhead is the encoded size of a task without its result and the name of its
// agent, in bytes, with a margin.
const taskOverhead = 48

// size estimates the encoded size of r in bytes.
func (r HandoverRecord) size() int {
	n := taskOverhead + len(r.Submission.Workspace) + len(r.Submission.Key)
	for _, t := range r.Tasks {
		n += taskOverhead + len(t.Agent) + len(t.Result.Body) + len(t.Result.Detail)
	}
	return n
}

// ExportHandover returns the handover of a partition that is about to be released. It
// returns nil for a partition that is not served, whose records are incomplete.
func (o *Owner) ExportHandover(p identifier.Partition) []*Handover {
	part := o.partitions[p]
	if part == nil || !part.serving {
		return nil
	}
	records := part.handoverRecords()
	var messages []*Handover
	for _, chunk := range splitter.Split(records, HandoverRecord.size) {
		messages = append(messages, &Handover{Partition: p, Epoch: part.epoch, Cutoff: part.cutoff, Records: chunk})
	}
	return append(messages, &Handover{Partition: p, Epoch: part.epoch, Cutoff: part.cutoff, Last: true})
}

// handoverRecords returns the records of a partition in the order of the submissions, each with its
// tasks in their order.
func (part *partition) handoverRecords() []HandoverRecord {
	bySubmission := make(map[identifier.Submission]HandoverRecord)
	for id, start := range part.inherited {
		if start.neverStarted {
			continue
		}
		r := bySubmission[id.Submission]
		r.Submission, r.Digest = id.Submission, part.digests[id.Submission]
		_, r.Ended = part.answers[id.Submission]
		r.Tasks = append(r.Tasks, HandoverTask{Index: id.Index, Agent: start.agent, Incarnation: start.incarnation, Epoch: start.epoch, Attempt: start.attempt, Result: start.result})
		bySubmission[id.Submission] = r
	}
	part.registry.Each(func(s identifier.Submission, j *job) { bySubmission[s] = j.handoverRecord() })
	for _, r := range bySubmission {
		slices.SortFunc(r.Tasks, func(a, b HandoverTask) int { return cmp.Compare(a.Index, b.Index) })
	}
	records := make([]HandoverRecord, 0, len(bySubmission))
	for _, s := range slices.SortedFunc(maps.Keys(bySubmission), identifier.Submission.Compare) {
		records = append(records, bySubmission[s])
	}
	return records
}

// handoverRecord returns the record of a job. Waiting tasks are left out: they were
// not started, and the next owner may start them.
func (j *job) handoverRecord() HandoverRecord {
	r := HandoverRecord{Submission: j.Submission, Digest: j.digest, Ended: j.ended && j.answer.Refusal == nil}
	for i, result := range j.answer.Results {
		r.Tasks = append(r.Tasks, HandoverTask{Index: i, Result: result})
	}
	for i, t := range j.tasks {
		if t.state != taskWaiting {
			r.Tasks = append(r.Tasks, HandoverTask{Index: i, Agent: t.agent, Incarnation: t.incarnation, Epoch: t.epoch, Attempt: t.attempt, Result: t.result})
		}
	}
	return r
}

// answer returns the answer of a job that has ended.
func (r HandoverRecord) answer() describer.Answer {
	results := make([]describer.Result, len(r.Tasks))
	for i, t := range r.Tasks {
		results[i] = t.Result
	}
	return describer.Assemble(results)
}

// ImportHandover adds the records of a handover to a partition that is claimed and not
// yet served. It reports whether the handover is complete with this message.
func (o *Owner) ImportHandover(m *Handover) bool {
	part := o.partitions[m.Partition]
	if part == nil || part.serving || part.epoch != m.Epoch+1 {
		return false
	}
	for _, r := range m.Records {
		part.digests[r.Submission] = r.Digest
		if r.Ended {
			part.answers[r.Submission] = r.answer()
		}
		for _, t := range r.Tasks {
			id := identifier.Task{Submission: r.Submission, Index: t.Index}
			part.addInherited(id, inheritedStart{agent: t.Agent, incarnation: t.Incarnation, epoch: t.Epoch, attempt: t.Attempt, result: t.Result})
		}
	}
	return m.Last
}
