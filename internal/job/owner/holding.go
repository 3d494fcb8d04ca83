package owner

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/admitter"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
)

// holding is a partition that this entry owns. It serves once every agent has
// sealed the earlier epochs, or is known to be gone.
type holding struct {
	epoch   identifier.Epoch
	serving bool
	// registry holds the identities that were admitted in this epoch.
	registry admitter.Registry[*job]
	// cutoff is zero when every agent has reported. Else the starts of
	// submissions created up to cutoff may have left no record.
	cutoff   time.Time
	evidence map[identifier.Task]evidence
	digests  map[identifier.Submission]uint64
	// expiry is when no identity of an earlier owner is admissible any more.
	expiry  time.Time
	pending []pending
}

// evidence is a start under an earlier owner, as an agent has it on record.
type evidence struct {
	agent       identifier.Agent
	incarnation identifier.Incarnation
	epoch       identifier.Epoch
	attempt     uint32
	result      describer.Result
	// free means that the agent has since vouched that the attempt never started
	// and never will.
	free bool
}

// pending is a submission that waits for the partition to be served.
type pending struct {
	from RequestID
	job  describer.Job
}

// Claim begins to own a partition without serving it.
func (o *Owner) Claim(c starter.Claim) {
	o.holdings[c.Partition] = &holding{
		epoch:    c.Epoch,
		registry: admitter.Registry[*job]{Retention: o.settings.Retention, ClockBound: o.settings.ClockBound},
		evidence: make(map[identifier.Task]evidence),
		digests:  make(map[identifier.Submission]uint64),
	}
}

// HandleSealed adds an agent's records to the evidence of the partitions. When one is
// served already, because its earlier owner has handed it over, the ends of tasks
// still count.
func (o *Owner) HandleSealed(agent identifier.Agent, m *starter.Sealed) []Effect {
	o.addRecords(agent, m.Incarnation, m.Records)
	return o.flush()
}

func (o *Owner) addRecords(agent identifier.Agent, incarnation identifier.Incarnation, records []starter.Record) {
	for _, r := range records {
		h := o.holdings[r.Task.Submission.Partition(o.settings.Partitions)]
		switch {
		case h == nil:
		case h.serving:
			o.settleEnd(agent, incarnation, r.Task, r.Result)
		default:
			h.addRecord(r.Task, evidence{agent: agent, incarnation: incarnation, epoch: r.Epoch, attempt: r.Attempt, result: r.Result})
			h.digests[r.Task.Submission] = r.Digest
		}
	}
}

// addRecord adds a start to the evidence. Of two reports on one task, that with a
// result counts.
func (h *holding) addRecord(name identifier.Task, e evidence) {
	if known, ok := h.evidence[name]; ok && known.result.Outcome != describer.Pending {
		return
	}
	h.evidence[name] = e
}

// Serve opens a partition that was claimed. A cutoff that is not zero says that
// starts of submissions created up to then may be unknown.
func (o *Owner) Serve(now time.Time, c starter.Claim, cutoff time.Time) []Effect {
	h := o.holdings[c.Partition]
	if h == nil || h.epoch != c.Epoch || h.serving {
		return nil
	}
	h.serving = true
	h.cutoff = cutoff
	h.expiry = now.Add(o.settings.Retention + o.settings.ClockBound)
	o.askEvidence(c.Partition, h)
	pending := h.pending
	h.pending = nil
	for _, p := range pending {
		o.admit(now, h, p.from, p.job)
	}
	return o.flush()
}

// Release gives up a partition that has another owner now. Whoever waits for a job
// of it is told to ask there.
func (o *Owner) Release(p identifier.Partition) []Effect {
	h := o.holdings[p]
	if h == nil {
		return nil
	}
	delete(o.holdings, p)
	for _, waiting := range h.pending {
		o.tell(waiting.from, Reply{Moved: true})
	}
	var lost []*job
	h.registry.Each(func(_ identifier.Submission, j *job) { lost = append(lost, j) })
	slices.SortFunc(lost, func(a, b *job) int { return a.Submission.Compare(b.Submission) })
	for _, j := range lost {
		o.forget(j)
	}
	return o.flush()
}

// forget tells whoever waits for a job to ask elsewhere.
func (o *Owner) forget(j *job) {
	if j.ended {
		return
	}
	o.deadlines.remove(j)
	for i, t := range j.tasks {
		if t.state == sent {
			o.unmarkSent(t.agent, identifier.Task{Submission: j.Submission, Index: i}, j.Urgent)
		}
	}
	for _, to := range j.waiters {
		o.tell(to, Reply{Moved: true})
	}
	j.ended = true
}

// PartitionState returns the epoch under which a partition is owned, and whether it is
// served.
func (o *Owner) PartitionState(p identifier.Partition) (identifier.Epoch, bool) {
	h := o.holdings[p]
	if h == nil {
		return 0, false
	}
	return h.epoch, h.serving
}

// uncertain reports whether starts of a submission created at that time may be
// unknown.
func (h *holding) uncertain(created time.Time) bool {
	return !h.cutoff.IsZero() && !created.After(h.cutoff)
}

// find returns the job of a submission, if this entry owns its partition and has
// admitted it.
func (o *Owner) find(s identifier.Submission) (*job, bool) {
	h := o.holdings[s.Partition(o.settings.Partitions)]
	if h == nil {
		return nil, false
	}
	return h.registry.Find(s)
}

// expire forgets the identities that are too old to be admitted, and the evidence
// once that holds for every submission of an earlier owner.
func (h *holding) expire(now time.Time) {
	h.registry.Expire(now)
	if !h.serving || len(h.evidence) == 0 || now.Before(h.expiry) {
		return
	}
	h.evidence = make(map[identifier.Task]evidence)
	h.digests = make(map[identifier.Submission]uint64)
}

// contradicts reports whether the evidence shows other content for s.
func (h *holding) contradicts(s identifier.Submission, digest uint64) bool {
	known, ok := h.digests[s]
	return ok && known != digest
}

// knows reports whether a submission may have been admitted by an earlier owner.
func (h *holding) knows(s identifier.Submission, created time.Time) bool {
	_, ok := h.digests[s]
	return ok || h.uncertain(created)
}
