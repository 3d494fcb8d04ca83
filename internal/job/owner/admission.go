package owner

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/refuser"
	"github.com/dandeliongrade/dandeliongrade/internal/job/admitter"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/dispatcher"
)

// Submit admits a job and replies to the request when the job is answered. A job of a
// partition that is not served yet is kept until it is.
func (o *Owner) Submit(now time.Time, from RequestID, j describer.Job) []Effect {
	part := o.partitions[j.Submission.Partition(o.settings.Partitions)]
	switch {
	case part == nil:
		o.respond(from, Reply{Moved: true})
	case !part.serving:
		part.pending = append(part.pending, pendingSubmission{from, j})
	default:
		o.admit(now, part, from, j)
	}
	return o.flush()
}

// Inquire replies with the current state of a job. If the message asks for it, the
// tasks that have not been sent are cancelled first. An inquiry waits until its partition
// is served: before that, the jobs of the earlier owner are not known.
func (o *Owner) Inquire(now time.Time, from RequestID, m *Inquire) []Effect {
	part := o.partitions[m.Submission.Partition(o.settings.Partitions)]
	switch {
	case part == nil:
		o.respond(from, Reply{Moved: true})
	case !part.serving:
		part.inquiries = append(part.inquiries, pendingInquiry{from, *m})
	default:
		o.inquire(now, part, from, m)
	}
	return o.flush()
}

// inquire replies to an inquiry in a partition that is served.
func (o *Owner) inquire(now time.Time, part *partition, from RequestID, m *Inquire) {
	j, ok := part.registry.Find(m.Submission)
	if !ok {
		o.inquireEarlier(now, part, from, m)
		return
	}
	if m.Cancel {
		o.giveUp(now, j, describer.Pending, "cancelled by the caller")
	}
	if j.ended {
		o.respond(from, Reply{Answer: j.answer})
	} else {
		o.respond(from, Reply{Running: true})
	}
	o.dispatch(now)
}

// inquireEarlier replies to an inquiry for a job that this owner has not admitted.
func (o *Owner) inquireEarlier(now time.Time, part *partition, from RequestID, m *Inquire) {
	if answer, ok := part.answers[m.Submission]; ok {
		o.respond(from, Reply{Answer: answer})
		return
	}
	r := unknownJob(m.Submission)
	earlier := part.mayHaveAdmitted(m.Submission, m.Created)
	r.NotRun = part.registry.WithinRetention(now, m.Created) && !earlier
	if earlier {
		r.Detail = "the job " + m.Submission.String() + " may have been submitted to an earlier owner"
		r.Remedy = "submit it again under the same identity; what has run is not run again"
	}
	o.refuse(now, from, r)
}

func (o *Owner) admit(now time.Time, part *partition, from RequestID, described describer.Job) {
	digest := described.Digest()
	if part.contradicts(described.Submission, digest) {
		o.refuse(now, from, admitter.RefuseReused(described.Submission))
		return
	}
	if r := o.checkLoad(part, &described); r != nil {
		o.refuse(now, from, r)
		return
	}
	create := func() *job { return newJob(now, described, digest) }
	j, verdict, r := part.registry.Admit(now, &described, digest, create)
	switch {
	case verdict == admitter.Refused:
		o.refuse(now, from, r)
	case verdict == admitter.Joined && j.ended:
		o.Counters.Joined++
		o.respond(from, Reply{Answer: j.answer})
	case verdict == admitter.Joined:
		o.Counters.Joined++
		j.waiters = append(j.waiters, from)
	default:
		o.Counters.Admitted++
		j.waiters = append(j.waiters, from)
		o.enqueueTasks(now, part, j)
	}
}

// enqueueTasks queues the tasks of a new job. A task that was started under an
// earlier owner is adopted instead. A task without a record is not queued if the
// record of its start may be lost: its outcome is then MayHaveRun.
func (o *Owner) enqueueTasks(now time.Time, part *partition, j *job) {
	o.deadlines.add(j)
	for i := range j.tasks {
		task := identifier.Task{Submission: j.Submission, Index: i}
		start, known := part.inherited[task]
		if known && !start.neverStarted {
			o.adopt(j, i, start)
			continue
		}
		j.tasks[i].attempt = start.attempt
		if !known && part.mayLackRecord(j.Created) {
			o.end(j, i, describer.Result{Outcome: describer.MayHaveRun, Detail: "an agent that may have run it was lost"})
			continue
		}
		o.queue.Push(dispatcher.Item{Task: task, Urgent: j.Urgent, Deadline: j.deadline})
	}
	o.dispatch(now)
}

// adopt takes over a task that was started under an earlier owner: it takes its
// result, or waits for it.
func (o *Owner) adopt(j *job, i int, start inheritedStart) {
	if start.result.Outcome != describer.Pending {
		o.end(j, i, start.result)
		return
	}
	if a := o.pool.Agent(start.agent); a != nil && a.Incarnation != start.incarnation {
		o.end(j, i, agentReplaced())
		return
	}
	j.tasks[i] = task{state: taskSent, epoch: start.epoch, attempt: start.attempt, agent: start.agent, incarnation: start.incarnation}
	o.markSent(start.agent, identifier.Task{Submission: j.Submission, Index: i}, j.Urgent)
}

// checkLoad refuses a new job if the queue is full or if the job would not end before
// its deadline. A job that may have been admitted before is never refused.
func (o *Owner) checkLoad(part *partition, j *describer.Job) *refuser.Refusal {
	if _, known := part.registry.Find(j.Submission); known || part.mayHaveAdmitted(j.Submission, j.Created) {
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
	run := o.runTimes.Mean(j.Template, o.settings.TypicalRun)
	ahead := o.queue.Ahead(j.Submission.Workspace, j.Urgent) + len(j.Inputs) - 1
	wait := time.Duration(ahead) * run / time.Duration(slots)
	if late := wait + runAllowance*run - j.Budget; late > 0 {
		return overloaded(late)
	}
	return nil
}

// refuse replies with a refusal. NotRun is cleared after the end of the read lease,
// since a later owner may then have run the job.
func (o *Owner) refuse(now time.Time, to RequestID, r *refuser.Refusal) {
	o.Counters.Refused++
	r.NotRun = r.NotRun && now.Before(o.readLeaseEnd)
	o.respond(to, Reply{Answer: describer.Answer{Refusal: r}})
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

// runAllowance is the time reserved for the run of a job's own tasks, as a multiple
// of the mean run time. It is above one because the job ends with its longest task.
const runAllowance = 3
