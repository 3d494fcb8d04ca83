package owner

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/refuser"
	"github.com/dandeliongrade/dandeliongrade/internal/job/admitter"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/dispatcher"
)

// Submit takes a job that the request waits for.
func (o *Owner) Submit(now time.Time, from RequestID, j describer.Job) []Effect {
	h := o.holdings[j.Submission.Partition(o.settings.Partitions)]
	switch {
	case h == nil:
		o.tell(from, Reply{Moved: true})
	case !h.serving:
		h.pending = append(h.pending, pending{from, j})
	default:
		o.admit(now, h, from, j)
	}
	return o.flush()
}

// Inquire answers at once what is known of a job, after cancelling what has not
// started if it was asked to.
func (o *Owner) Inquire(now time.Time, from RequestID, m *Inquire) []Effect {
	h := o.holdings[m.Submission.Partition(o.settings.Partitions)]
	if h == nil {
		o.tell(from, Reply{Moved: true})
		return o.flush()
	}
	j, ok := h.registry.Find(m.Submission)
	if !ok {
		r := unknownJob(m.Submission)
		r.NotRun = h.serving && h.registry.WithinRetention(now, m.Created) && !h.knows(m.Submission, m.Created)
		o.refuse(now, from, r)
		return o.flush()
	}
	if m.Cancel {
		o.giveUp(now, j, describer.Pending, "cancelled by the caller")
	}
	if j.ended {
		o.tell(from, Reply{Answer: j.answer})
	} else {
		o.tell(from, Reply{Running: true})
	}
	o.dispatch(now)
	return o.flush()
}

func (o *Owner) admit(now time.Time, h *holding, from RequestID, described describer.Job) {
	digest := described.Digest()
	if h.contradicts(described.Submission, digest) {
		o.refuse(now, from, admitter.RefuseReused(described.Submission))
		return
	}
	if r := o.checkLoad(h, &described); r != nil {
		o.refuse(now, from, r)
		return
	}
	open := func() *job { return newJob(now, described, digest) }
	j, verdict, r := h.registry.Admit(now, &described, digest, open)
	switch {
	case verdict == admitter.Refused:
		o.refuse(now, from, r)
	case verdict == admitter.Joined && j.ended:
		o.Counters.Joined++
		o.tell(from, Reply{Answer: j.answer})
	case verdict == admitter.Joined:
		o.Counters.Joined++
		j.waiters = append(j.waiters, from)
	default:
		o.Counters.Admitted++
		j.waiters = append(j.waiters, from)
		o.open(now, h, j)
	}
}

// open puts the tasks of a new job on their way. A task that an agent has on
// record keeps its end. One without a record is queued, unless the evidence of
// its start may be lost.
func (o *Owner) open(now time.Time, h *holding, j *job) {
	o.deadlines.add(j)
	for i := range j.tasks {
		task := identifier.Task{Submission: j.Submission, Index: i}
		e, known := h.evidence[task]
		if known && !e.free {
			o.adopt(j, i, e)
			continue
		}
		j.tasks[i].attempt = e.attempt
		if !known && h.uncertain(j.Created) {
			o.end(j, i, describer.Result{Outcome: describer.MayHaveRun, Detail: "an agent that may have run it was lost"})
			continue
		}
		o.queue.Push(dispatcher.Item{Task: task, Urgent: j.Urgent, Deadline: j.deadline})
	}
	o.dispatch(now)
}

// adopt takes over a task that was started under an earlier owner.
func (o *Owner) adopt(j *job, i int, e evidence) {
	if e.result.Outcome != describer.Pending {
		o.end(j, i, e.result)
		return
	}
	if w := o.pool.Worker(e.agent); w != nil && w.Incarnation != e.incarnation {
		o.end(j, i, lostAgent())
		return
	}
	j.tasks[i] = task{state: sent, epoch: e.epoch, attempt: e.attempt, agent: e.agent, incarnation: e.incarnation}
	o.markSent(e.agent, identifier.Task{Submission: j.Submission, Index: i}, j.Urgent)
}

// checkLoad refuses a new job that would wait longer than its caller does.
func (o *Owner) checkLoad(h *holding, j *describer.Job) *refuser.Refusal {
	if _, known := h.registry.Find(j.Submission); known || h.knows(j.Submission, j.Created) {
		return nil
	}
	if o.queue.Len()+len(j.Inputs) > o.settings.MaxWaiting {
		return overloaded(j.Budget)
	}
	slots := o.pool.Slots()
	if slots == 0 {
		return nil
	}
	if !j.Urgent {
		slots = o.normalSlots()
	}
	run := o.runs.Mean(j.Template, o.settings.TypicalRun)
	ahead := o.queue.Ahead(j.Submission.Workspace, j.Urgent) + len(j.Inputs) - 1
	wait := time.Duration(ahead) * run / time.Duration(slots)
	if late := wait + runAllowance*run - j.Budget; late > 0 {
		return overloaded(late)
	}
	return nil
}

// refuse passes on a refusal, with its promise only while the read lease lasts.
func (o *Owner) refuse(now time.Time, to RequestID, r *refuser.Refusal) {
	o.Counters.Refused++
	r.NotRun = r.NotRun && now.Before(o.readLease)
	o.tell(to, Reply{Answer: describer.Answer{Refusal: r}})
}

func unknownJob(s identifier.Submission) *refuser.Refusal {
	return &refuser.Refusal{
		Kind:   refuser.UnknownJob,
		Detail: "no job with the identity " + s.String() + " is known",
		Remedy: "check workspace and key; a job is known from its submission until its retention is over",
	}
}

func overloaded(wait time.Duration) *refuser.Refusal {
	return &refuser.Refusal{
		Kind:       refuser.Overloaded,
		Detail:     "the job would wait longer than its deadline allows",
		Remedy:     "submit it again under the same identity after the stated time",
		NotRun:     true,
		RetryAfter: max(wait.Round(time.Second), time.Second),
	}
}

// runAllowance is how many mean runs a job is given for the runs of its own tasks,
// of which the longest counts.
const runAllowance = 3
