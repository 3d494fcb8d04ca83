package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/splitter"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// Handover passes what an owner knows of a partition to the next one. Together
// with the first message, those up to the one that is marked as the last name
// every start that the owner, or those before it, may have caused. The next owner
// then needs no agent's record.
type Handover struct {
	_msgpack struct{} `msgpack:",as_array"`

	Partition identifier.Partition
	// Epoch is that of the owner who hands over.
	Epoch identifier.Epoch
	// Cutoff is zero, or the time up to which starts were unknown to that owner.
	Cutoff  time.Time
	Records []HandoverRecord
	Last    bool
}

// HandoverRecord is a submission of which tasks were started or ended.
type HandoverRecord struct {
	_msgpack struct{} `msgpack:",as_array"`

	Submission identifier.Submission
	Digest     uint64
	Tasks      []HandoverTask
}

// HandoverTask is a task that was sent to an agent or has ended. Its result is
// pending while it may run.
type HandoverTask struct {
	_msgpack struct{} `msgpack:",as_array"`

	Index       int
	Agent       identifier.Agent
	Incarnation identifier.Incarnation
	Epoch       identifier.Epoch
	Attempt     uint32
	Result      describer.Result
}

// taskOverhead is what a task takes in a message besides its result and the name of
// its agent, in bytes, and something to spare.
const taskOverhead = 48

// size estimates what r takes in a message, in bytes.
func (r HandoverRecord) size() int {
	n := taskOverhead + len(r.Submission.Workspace) + len(r.Submission.Key)
	for _, t := range r.Tasks {
		n += taskOverhead + len(t.Agent) + len(t.Result.Body) + len(t.Result.Detail)
	}
	return n
}

// ExportHandover returns the handover of a partition that is about to be lost. There is none
// of a partition that is not served: its evidence is not complete.
func (o *Owner) ExportHandover(p identifier.Partition) []*Handover {
	h := o.holdings[p]
	if h == nil || !h.serving {
		return nil
	}
	records := h.handRecords()
	var messages []*Handover
	for _, part := range splitter.Split(records, HandoverRecord.size) {
		messages = append(messages, &Handover{Partition: p, Epoch: h.epoch, Cutoff: h.cutoff, Records: part})
	}
	return append(messages, &Handover{Partition: p, Epoch: h.epoch, Cutoff: h.cutoff, Last: true})
}

// handRecords returns the records of a partition, in the order of the submissions.
func (h *holding) handRecords() []HandoverRecord {
	handed := make(map[identifier.Submission]HandoverRecord)
	for name, e := range h.evidence {
		if e.free {
			continue
		}
		r := handed[name.Submission]
		r.Submission, r.Digest = name.Submission, h.digests[name.Submission]
		r.Tasks = append(r.Tasks, HandoverTask{Index: name.Index, Agent: e.agent, Incarnation: e.incarnation, Epoch: e.epoch, Attempt: e.attempt, Result: e.result})
		handed[name.Submission] = r
	}
	h.registry.Each(func(s identifier.Submission, j *job) { handed[s] = j.hand() })
	records := make([]HandoverRecord, 0, len(handed))
	for _, s := range slices.SortedFunc(maps.Keys(handed), identifier.Submission.Compare) {
		records = append(records, handed[s])
	}
	return records
}

// hand returns the record of a job. A task that waits has none: it was not started
// and may be.
func (j *job) hand() HandoverRecord {
	r := HandoverRecord{Submission: j.Submission, Digest: j.digest}
	for i, result := range j.answer.Results {
		r.Tasks = append(r.Tasks, HandoverTask{Index: i, Result: result})
	}
	for i, t := range j.tasks {
		if t.state != waiting {
			r.Tasks = append(r.Tasks, HandoverTask{Index: i, Agent: t.agent, Incarnation: t.incarnation, Epoch: t.epoch, Attempt: t.attempt, Result: t.result})
		}
	}
	return r
}

// ImportHandover adds a handover to the evidence of a partition that is claimed and not yet
// served, and reports whether the evidence is complete with it.
func (o *Owner) ImportHandover(m *Handover) bool {
	h := o.holdings[m.Partition]
	if h == nil || h.serving || h.epoch != m.Epoch+1 {
		return false
	}
	for _, r := range m.Records {
		h.digests[r.Submission] = r.Digest
		for _, t := range r.Tasks {
			name := identifier.Task{Submission: r.Submission, Index: t.Index}
			h.addRecord(name, evidence{agent: t.Agent, incarnation: t.Incarnation, epoch: t.Epoch, attempt: t.Attempt, result: t.Result})
		}
	}
	return m.Last
}
