package owner

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/admitter"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
)

// partition is the state of a partition that this entry owns. The partition is served
// once every agent has sealed the earlier epochs or is known to be gone, or once the
// earlier owner has handed it over.
type partition struct {
	epoch   identifier.Epoch
	serving bool
	// registry holds the identities admitted in this epoch.
	registry admitter.Registry[*job]
	// cutoff is zero if the starts by all earlier owners are known. Otherwise, the
	// starts of submissions created up to cutoff may be unknown.
	cutoff time.Time
	// inherited holds the starts by earlier owners, and digests the contents of
	// their submissions.
	inherited map[identifier.Task]inheritedStart
	digests   map[identifier.Submission]uint64
	// answers holds the answers that the earlier owner has handed over.
	answers map[identifier.Submission]describer.Answer
	// expiry is when the last identity that an earlier owner can have admitted
	// expires.
	expiry time.Time
	// pending and inquiries are the requests that wait for the partition to be served.
	pending   []pendingSubmission
	inquiries []pendingInquiry
}

// inheritedStart is a start by an earlier owner, as an agent or the earlier owner has
// reported it.
type inheritedStart struct {
	agent       identifier.Agent
	incarnation identifier.Incarnation
	epoch       identifier.Epoch
	attempt     uint32
	result      describer.Result
	// neverStarted means that the agent has since reported that the attempt did not
	// start and never will.
	neverStarted bool
}

// pendingSubmission is a submission that waits for its partition to be served.
type pendingSubmission struct {
	from RequestID
	job  describer.Job
}

// pendingInquiry is an inquiry that waits for its partition to be served.
type pendingInquiry struct {
	from    RequestID
	inquiry Inquire
}

// Claim adds a partition to those that the entry owns, without serving it.
func (o *Owner) Claim(c starter.Claim) {
	o.partitions[c.Partition] = &partition{
		epoch:     c.Epoch,
		registry:  admitter.Registry[*job]{Retention: o.settings.Retention, ClockBound: o.settings.ClockBound},
		inherited: make(map[identifier.Task]inheritedStart),
		digests:   make(map[identifier.Submission]uint64),
		answers:   make(map[identifier.Submission]describer.Answer),
	}
}

// HandleSealed adds an agent's records to their partitions. If a partition is already
// served, because its earlier owner has handed it over, only the results of tasks are
// taken from the records.
func (o *Owner) HandleSealed(agent identifier.Agent, m *starter.Sealed) []Effect {
	o.addRecords(agent, m.Incarnation, m.Records)
	return o.flush()
}

func (o *Owner) addRecords(agent identifier.Agent, incarnation identifier.Incarnation, records []starter.Record) {
	for _, r := range records {
		part := o.partitions[r.Task.Submission.Partition(o.settings.Partitions)]
		switch {
		case part == nil:
		case part.serving:
			o.applyResult(agent, incarnation, r.Task, r.Result)
		default:
			part.addInherited(r.Task, inheritedStart{agent: agent, incarnation: incarnation, epoch: r.Epoch, attempt: r.Attempt, result: r.Result})
			part.digests[r.Task.Submission] = r.Digest
		}
	}
}

// addInherited adds a start by an earlier owner. A report with a result is not
// replaced by a later report on the same task.
func (part *partition) addInherited(id identifier.Task, start inheritedStart) {
	if known, ok := part.inherited[id]; ok && known.result.Outcome != describer.Pending {
		return
	}
	part.inherited[id] = start
}

// Serve starts to serve a claimed partition. If cutoff is not zero, the starts of
// submissions created up to then may be unknown.
func (o *Owner) Serve(now time.Time, c starter.Claim, cutoff time.Time) []Effect {
	part := o.partitions[c.Partition]
	if part == nil || part.epoch != c.Epoch || part.serving {
		return nil
	}
	part.serving = true
	part.cutoff = cutoff
	part.expiry = now.Add(o.settings.Retention + o.settings.ClockBound)
	o.resolveInheritedIn(c.Partition, part)
	pending := part.pending
	part.pending = nil
	for _, p := range pending {
		o.admit(now, part, p.from, p.job)
	}
	inquiries := part.inquiries
	part.inquiries = nil
	for _, p := range inquiries {
		o.inquire(now, part, p.from, &p.inquiry)
	}
	return o.flush()
}

// Release removes a partition that has another owner now. Requests that wait for a
// job of the partition get the reply that it has moved.
func (o *Owner) Release(p identifier.Partition) []Effect {
	part := o.partitions[p]
	if part == nil {
		return nil
	}
	delete(o.partitions, p)
	for _, waiting := range part.pending {
		o.respond(waiting.from, Reply{Moved: true})
	}
	for _, waiting := range part.inquiries {
		o.respond(waiting.from, Reply{Moved: true})
	}
	var released []*job
	part.registry.Each(func(_ identifier.Submission, j *job) { released = append(released, j) })
	slices.SortFunc(released, func(a, b *job) int { return a.Submission.Compare(b.Submission) })
	for _, j := range released {
		o.releaseJob(j)
	}
	return o.flush()
}

// releaseJob ends a job without an answer, and replies to the requests that wait for
// it that its partition has moved.
func (o *Owner) releaseJob(j *job) {
	if j.ended {
		return
	}
	o.deadlines.remove(j)
	for i, t := range j.tasks {
		if t.state == taskSent {
			o.unmarkSent(t.agent, identifier.Task{Submission: j.Submission, Index: i}, j.Urgent)
		}
	}
	for _, to := range j.waiters {
		o.respond(to, Reply{Moved: true})
	}
	j.ended = true
}

// PartitionState returns the epoch under which a partition is owned, or zero if it is
// not owned, and whether it is served.
func (o *Owner) PartitionState(p identifier.Partition) (identifier.Epoch, bool) {
	part := o.partitions[p]
	if part == nil {
		return 0, false
	}
	return part.epoch, part.serving
}

// mayLackRecord reports whether a submission created at that time may have been
// started by an earlier owner without a record here.
func (part *partition) mayLackRecord(created time.Time) bool {
	return !part.cutoff.IsZero() && !created.After(part.cutoff)
}

// find returns the job of a submission if this entry owns the partition and has
// admitted the submission.
func (o *Owner) find(s identifier.Submission) (*job, bool) {
	part := o.partitions[s.Partition(o.settings.Partitions)]
	if part == nil {
		return nil, false
	}
	return part.registry.Find(s)
}

// expire removes the expired identities. It removes the inherited starts once every
// submission of an earlier owner has expired.
func (part *partition) expire(now time.Time) {
	part.registry.Expire(now)
	if !part.serving || len(part.inherited) == 0 || now.Before(part.expiry) {
		return
	}
	part.inherited = make(map[identifier.Task]inheritedStart)
	part.digests = make(map[identifier.Submission]uint64)
	part.answers = make(map[identifier.Submission]describer.Answer)
}

// contradicts reports whether an earlier owner has recorded other content for s.
func (part *partition) contradicts(s identifier.Submission, digest uint64) bool {
	known, ok := part.digests[s]
	return ok && known != digest
}

// mayHaveAdmitted reports whether an earlier owner may have admitted a submission.
func (part *partition) mayHaveAdmitted(s identifier.Submission, created time.Time) bool {
	_, ok := part.digests[s]
	return ok || part.mayLackRecord(created)
}
