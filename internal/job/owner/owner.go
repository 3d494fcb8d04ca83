// Package owner makes the decisions of an entry that owns partitions: it admits
// submissions, queues their tasks, sends each task to one agent, and answers the job
// when every task has ended.
//
// The package reads no clock, socket or channel. Each method takes the current time
// and a message, and returns the effects to carry out, so that a test, a fuzzer or
// another front end can drive it.
package owner

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/dispatcher"
)

// Settings holds the fixed parameters of an Owner.
type Settings struct {
	// Partitions is the number of partitions of the cell.
	Partitions int
	// Retention is how long an identity is kept after its creation.
	Retention time.Duration
	// ClockBound is the maximum difference between the clocks of callers and ours.
	ClockBound time.Duration
	// MaxWaiting limits the number of tasks that wait for a slot.
	MaxWaiting int
	// TypicalRun is the expected run time of a task whose template has no
	// observed runs yet.
	TypicalRun time.Duration
	// NormalShare is the fraction of the slots that non-urgent tasks may use.
	NormalShare float64
}

// Owner holds the state of the partitions that one entry owns. It is not safe for
// concurrent use.
type Owner struct {
	settings     Settings
	leaseEnd     time.Time
	readLeaseEnd time.Time
	partitions   map[identifier.Partition]*partition
	queue        dispatcher.Queue
	pool         dispatcher.Pool
	runTimes     dispatcher.Estimator
	// sentTasks holds, for each agent, the tasks that were sent to it and have not
	// ended.
	sentTasks    map[identifier.Agent]map[identifier.Task]bool
	finalReports map[agentIncarnation]*finalReport
	deadlines    deadlines
	// sentNormal counts the non-urgent tasks in sentTasks.
	sentNormal int
	// nextToNotify is the index of the agent that is notified next of waiting
	// tasks.
	nextToNotify int
	effects      []Effect
	// Counters is exported as metrics.
	Counters Counters
}

// Counters counts the events since the owner was created.
type Counters struct {
	Admitted, Joined, Refused, Completed, Failed uint64
	Starts, NotStarted, Revokes, Wants, Returns  uint64
}

// New returns an owner without partitions.
func New(settings Settings) *Owner {
	o := &Owner{
		settings:     settings,
		partitions:   make(map[identifier.Partition]*partition),
		sentTasks:    make(map[identifier.Agent]map[identifier.Task]bool),
		finalReports: make(map[agentIncarnation]*finalReport),
	}
	return o
}

// ConfirmLease sets the ends of the lease and of the read lease. The owner starts
// tasks only until the end of the lease. Until the end of the read lease it can
// state that something was not run, because no later owner serves before then.
func (o *Owner) ConfirmLease(now, lease, readLease time.Time) []Effect {
	o.leaseEnd = lease
	o.readLeaseEnd = readLease
	o.dispatch(now)
	return o.flush()
}

// ExtendLease moves the end of the lease to a later time. The read lease does not
// change.
func (o *Owner) ExtendLease(now, lease time.Time) []Effect {
	if lease.After(o.leaseEnd) {
		o.leaseEnd = lease
	}
	o.dispatch(now)
	return o.flush()
}

// LeaseRemaining returns how long the lease still lasts, at least zero.
func (o *Owner) LeaseRemaining(now time.Time) time.Duration {
	return max(o.leaseEnd.Sub(now), 0)
}

// Tick answers the jobs whose deadlines have passed, removes expired state, and
// sends waiting tasks or requests slots for them.
func (o *Owner) Tick(now time.Time) []Effect {
	for {
		j := o.deadlines.due(now)
		if j == nil {
			break
		}
		o.giveUp(now, j, describer.MayHaveRun, "the deadline passed")
	}
	o.expireFinalReports(now)
	for _, part := range o.partitions {
		part.expire(now)
	}
	o.dispatch(now)
	return o.flush()
}

// WaitingTasks returns the number of tasks that wait for a slot.
func (o *Owner) WaitingTasks() int {
	return o.queue.Len()
}

// IdentityCount returns the number of identities that are kept.
func (o *Owner) IdentityCount() int {
	n := 0
	for _, part := range o.partitions {
		n += part.registry.Len()
	}
	return n
}

// Slots returns the number of slots that the entry holds, idle or in use.
func (o *Owner) Slots() int {
	return o.pool.Slots()
}

// OpenJobs returns the number of jobs without an answer, including those that wait
// for their partition to be served.
func (o *Owner) OpenJobs() int {
	n := len(o.deadlines)
	for _, part := range o.partitions {
		n += len(part.pending)
	}
	return n
}

// end sets the result of a task. It answers the job if this was its last open task.
func (o *Owner) end(j *job, i int, r describer.Result) {
	t := &j.tasks[i]
	if j.ended || t.state == taskEnded {
		return
	}
	if t.state == taskSent {
		o.unmarkSent(t.agent, identifier.Task{Submission: j.Submission, Index: i}, j.Urgent)
	}
	t.state = taskEnded
	t.result = r
	j.openTasks--
	if j.openTasks == 0 {
		o.answer(j)
	}
}

func (o *Owner) answer(j *job) {
	j.finish()
	if j.answer.Complete {
		o.Counters.Completed++
	} else {
		o.Counters.Failed++
	}
	o.deadlines.remove(j)
	for _, to := range j.waiters {
		o.respond(to, Reply{Answer: j.answer})
	}
	j.waiters = nil
}

// giveUp ends the tasks of a job that have not been sent as not run. It ends the
// tasks that have been sent with the outcome started, or leaves them running if
// that is Pending.
func (o *Owner) giveUp(now time.Time, j *job, started describer.Outcome, why string) {
	for i := range j.tasks {
		if j.ended {
			return
		}
		switch j.tasks[i].state {
		case taskWaiting:
			o.end(j, i, o.notRun(now, why))
		case taskSent:
			if started != describer.Pending {
				o.end(j, i, describer.Result{Outcome: started, Detail: why})
			}
		}
	}
}

// notRun returns the result of a task that this owner has not started and will not
// start. After the end of the read lease a later owner may have started it.
func (o *Owner) notRun(now time.Time, why string) describer.Result {
	if !now.Before(o.readLeaseEnd) {
		return describer.Result{Outcome: describer.MayHaveRun, Detail: why + ", and the ownership was not confirmed"}
	}
	return describer.Result{Outcome: describer.NotRun, Detail: why}
}

func (o *Owner) respond(to RequestID, r Reply) {
	r.Sequence = to.Sequence
	o.effects = append(o.effects, Respond{to, r})
}

func (o *Owner) send(to identifier.Agent, message any) {
	o.effects = append(o.effects, Send{to, message})
}

func (o *Owner) flush() []Effect {
	effects := o.effects
	o.effects = nil
	return effects
}
