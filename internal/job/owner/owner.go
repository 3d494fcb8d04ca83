// Package owner holds the decisions of an entry that owns partitions: it admits
// submissions, queues their tasks, sends each task to one agent, and answers when
// all have ended.
//
// Nothing here reads a clock, a socket or a channel. Each method takes the
// present time and a message, and returns the effects that the caller must carry
// out, so that a test, a fuzzer or another front end can drive it.
package owner

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/dispatcher"
)

// Settings are the fixed parameters of an Owner.
type Settings struct {
	// Partitions is the number of partitions of the cell.
	Partitions int
	// Retention is how long an identity is remembered.
	Retention time.Duration
	// ClockBound is how far the clocks of callers may differ from ours.
	ClockBound time.Duration
	// MaxWaiting bounds the tasks that wait for a slot.
	MaxWaiting int
	// TypicalRun stands for the run of a task of a template not seen yet.
	TypicalRun time.Duration
	// NormalShare is the share of the slots that tasks which are not urgent may use.
	NormalShare float64
}

// Owner is the state of one entry's partitions. It is not safe for use by
// several goroutines at once.
type Owner struct {
	settings  Settings
	lease     time.Time
	readLease time.Time
	holdings  map[identifier.Partition]*holding
	queue     dispatcher.Queue
	pool      dispatcher.Pool
	runs      dispatcher.Estimator
	// sent holds the tasks that were sent to each agent and have not ended.
	sent         map[identifier.Agent]map[identifier.Task]bool
	finalReports map[reporter]*finalReport
	deadlines    deadlines
	// normal counts the tasks in sent that are not urgent.
	normal int
	// nextWant is the place of the agent that is told next that work waits.
	nextWant int
	effects  []Effect
	// Counters is read by the metrics.
	Counters Counters
}

// Counters counts what the owner did since it was made.
type Counters struct {
	Admitted, Joined, Refused, Completed, Failed uint64
	Starts, NotStarted, Revokes, Wants, Returns  uint64
}

// New returns an owner of no partitions.
func New(settings Settings) *Owner {
	o := &Owner{
		settings:     settings,
		holdings:     make(map[identifier.Partition]*holding),
		sent:         make(map[identifier.Agent]map[identifier.Task]bool),
		finalReports: make(map[reporter]*finalReport),
	}
	return o
}

// ConfirmLease sets the end of the owner's lease and that of its read lease. Until the end
// of its lease, and not after, it starts work. Until the end of its read lease it can
// say that something was not run: no later owner serves before that.
func (o *Owner) ConfirmLease(now, lease, readLease time.Time) []Effect {
	o.lease = lease
	o.readLease = readLease
	o.dispatch(now)
	return o.flush()
}

// ExtendLease sets a later end of the lease, and leaves that of the read lease.
func (o *Owner) ExtendLease(now, lease time.Time) []Effect {
	if lease.After(o.lease) {
		o.lease = lease
	}
	o.dispatch(now)
	return o.flush()
}

// LeaseRemaining returns how long the lease still lasts, at least zero.
func (o *Owner) LeaseRemaining(now time.Time) time.Duration {
	return max(o.lease.Sub(now), 0)
}

// Tick answers the jobs whose deadlines have passed, forgets what its retention
// no longer covers, and asks for slots if work waits.
func (o *Owner) Tick(now time.Time) []Effect {
	for {
		j := o.deadlines.due(now)
		if j == nil {
			break
		}
		o.giveUp(now, j, describer.MayHaveRun, "the deadline passed")
	}
	o.expireFinalReports(now)
	for _, h := range o.holdings {
		h.expire(now)
	}
	o.dispatch(now)
	return o.flush()
}

// WaitingTasks returns the number of tasks that wait for a slot.
func (o *Owner) WaitingTasks() int {
	return o.queue.Len()
}

// IdentityCount returns the number of identities that are remembered.
func (o *Owner) IdentityCount() int {
	n := 0
	for _, h := range o.holdings {
		n += h.registry.Len()
	}
	return n
}

// Slots returns the number of slots that the entry holds, idle and used.
func (o *Owner) Slots() int {
	return o.pool.Slots()
}

// OpenJobs returns the number of jobs that are admitted and have no answer.
func (o *Owner) OpenJobs() int {
	n := len(o.deadlines)
	for _, h := range o.holdings {
		n += len(h.pending)
	}
	return n
}

// end sets the result of a task, and answers the job when it was the last.
func (o *Owner) end(j *job, i int, r describer.Result) {
	t := &j.tasks[i]
	if j.ended || t.state == ended {
		return
	}
	if t.state == sent {
		o.unmarkSent(t.agent, identifier.Task{Submission: j.Submission, Index: i}, j.Urgent)
	}
	t.state = ended
	t.result = r
	j.left--
	if j.left == 0 {
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
		o.tell(to, Reply{Answer: j.answer})
	}
	j.waiters = nil
}

// giveUp ends the tasks of a job that have not started, and those that have with
// the given outcome; Pending leaves them running.
func (o *Owner) giveUp(now time.Time, j *job, started describer.Outcome, why string) {
	for i := range j.tasks {
		if j.ended {
			return
		}
		switch j.tasks[i].state {
		case waiting:
			o.end(j, i, o.notRun(now, why))
		case sent:
			if started != describer.Pending {
				o.end(j, i, describer.Result{Outcome: started, Detail: why})
			}
		}
	}
}

// notRun is the result of a task that this owner did not start and never will. A
// later owner may have, once this one's read lease is over.
func (o *Owner) notRun(now time.Time, why string) describer.Result {
	if !now.Before(o.readLease) {
		return describer.Result{Outcome: describer.MayHaveRun, Detail: why + ", and the ownership was not confirmed"}
	}
	return describer.Result{Outcome: describer.NotRun, Detail: why}
}

func (o *Owner) tell(to RequestID, r Reply) {
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
