// Package coordinator decides at a gateway about the transient jobs that it owns:
// which task goes to which agent and when, what is tried again, and what the caller
// is told. It has no sockets, goroutines or clocks.
//
// The gateway that receives a job owns it until it is answered. No other process
// knows of it, so nothing has to be agreed on or stored.
package coordinator

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// State is what is known of a job.
type State uint8

// The states of a job.
const (
	// Unknown means that the gateway has no such job.
	Unknown State = iota
	// Running means that the job has no answer yet.
	Running
	// Completed means that all tasks have ended with success.
	Completed
	// Failed means that a task has failed as often as its queue allows.
	Failed
	// Cancelled means that a caller cancelled it.
	Cancelled
	// NotRun means that no task was started and none will be.
	NotRun
	// Unfinished means that the time was over, or that the gateway stopped, while
	// tasks ran.
	Unfinished
)

var states = [...]string{"unknown", "running", "completed", "failed", "cancelled", "not_run", "unfinished"}

// String returns the word for s.
func (s State) String() string {
	return states[s]
}

// Answer is what the caller of a job is told.
type Answer struct {
	State State
	// RetryAfter is how long to wait before the job is submitted again, when it was
	// not run.
	RetryAfter time.Duration
}

// Effect is something that the process has to do: a Send, Reply or Note.
type Effect interface{ effect() }

// Send sends a message to an agent.
type Send struct {
	To      identifier.Agent
	Message any
}

// Reply answers the caller of a job.
type Reply struct {
	Job    specifier.JobID
	Answer Answer
	// Cause says in a few words why the answer is what it is.
	Cause string
	Took  time.Duration
	// PlacedAfter is how long after the arrival the last start was sent.
	PlacedAfter time.Duration
	// Starts is how many starts were sent for the job, Lost how many of them ended
	// in another way than done.
	Starts, Lost int
}

// LogEvent is a decision that goes to the log.
type LogEvent struct {
	Name  string
	Run   executor.RunID
	Agent identifier.Agent
	Cause string
	// SinceHeard is how old the newest word of the agent is.
	SinceHeard time.Duration
}

func (Send) effect()     {}
func (Reply) effect()    {}
func (LogEvent) effect() {}

// Coordinator owns the jobs of one gateway. It is not safe for use by several
// goroutines at once. The zero value owns none.
type Coordinator struct {
	// Zone is the data centre of this gateway.
	Zone string

	jobs   map[specifier.JobID]*job
	agents map[identifier.Agent]*agent
	// waiting holds the jobs with tasks that wait, most urgent first.
	waiting []*job
	// answers holds those of the last seconds, for callers that ask again.
	answers memory
	runs    estimator
	number  uint64
	// swept is when the last Tick was; nothing is started before resume.
	swept, resume time.Time
	// closing is set when this gateway is about to stop: jobs must end before it.
	closing time.Time
}

type job struct {
	specifier.Job
	arrived time.Time
	// expected is the expected run time of a task at a mean worker.
	expected time.Duration
	due      time.Time
	// late is set when the job waits and cannot be answered when it is due.
	late bool
	// deadline is when the caller stops waiting.
	deadline time.Time
	tasks    []task
	// idle holds the indexes of the tasks that wait, and open counts those that are not
	// done.
	idle []int
	open int
	// ended is set when the job has its answer, or its caller has left, and tasks of
	// it may still run.
	ended        bool
	begun        bool
	placed       time.Time
	starts, lost int
}

type task struct {
	run   executor.RunID
	agent identifier.Agent
	sent  time.Time
	// active is set while a start was sent whose end is not known.
	active, done bool
	// stopping is set when the run is to end.
	stopping bool
	failures int
	// avoid is the agent on which the task ended badly last.
	avoid identifier.Agent
}

// pauseLimit is the longest time between two ticks after which this process still
// trusts what it knows. Links drop and permits end in a longer pause, and callers
// may have gone elsewhere.
const pauseLimit = executor.PermitDuration

// resumeWait is how long after a pause nothing is started. Requests that came meanwhile
// are read first, and the ends of their connections after them.
const resumeWait = 50 * time.Millisecond

// Submit takes a job. A job that is known is not run again: its answer goes to whoever
// asked last.
func (c *Coordinator) Submit(now time.Time, j specifier.Job) []Effect {
	if a, ok := c.answers.find(now, j.ID); ok {
		return []Effect{Reply{Job: j.ID, Answer: a, Cause: "answered_before"}}
	}
	if known := c.jobs[j.ID]; known != nil {
		if known.ended {
			return []Effect{Reply{Job: j.ID, Answer: Answer{State: Unfinished}, Cause: "earlier_run_ends"}}
		}
		return nil
	}
	cause := c.hopeless(&j)
	if !c.closing.IsZero() && now.Add(likelyEnd(c.runs.expect(&j))).After(c.closing) {
		cause = "gateway_stops"
	}
	if cause != "" {
		return []Effect{Reply{Job: j.ID, Answer: Answer{State: NotRun, RetryAfter: retryPause}, Cause: cause}}
	}
	if c.jobs == nil {
		c.jobs = make(map[specifier.JobID]*job)
	}
	kept := c.admit(now, j)
	c.jobs[j.ID] = kept
	c.enqueue(kept)
	return c.place(now)
}

// retryPause is the advice to callers whose job was not run. Demand swings within
// seconds.
const retryPause = time.Second

func (c *Coordinator) admit(now time.Time, j specifier.Job) *job {
	expected := c.runs.expect(&j)
	kept := &job{
		Job:      j,
		arrived:  now,
		expected: expected,
		due:      now.Add(j.Queue.LatencyObjective(expected)),
		deadline: now.Add(j.Budget),
		tasks:    make([]task, j.Tasks),
		idle:     make([]int, j.Tasks),
		open:     j.Tasks,
	}
	for i := range kept.idle {
		kept.idle[i] = i
	}
	return kept
}

// CallerLeft stops a job that nobody waits for.
func (c *Coordinator) CallerLeft(now time.Time, id specifier.JobID) []Effect {
	j := c.jobs[id]
	if j == nil || j.ended {
		return nil
	}
	return append(c.end(now, j, Answer{State: Unfinished}, "caller_left"), c.place(now)...)
}

// Cancel stops a job and reports what state it is in then.
func (c *Coordinator) Cancel(now time.Time, id specifier.JobID) (State, []Effect) {
	j := c.jobs[id]
	if j == nil || j.ended {
		return c.State(now, id), nil
	}
	return Cancelled, append(c.end(now, j, Answer{State: Cancelled}, "cancelled"), c.place(now)...)
}

// State returns what is known of a job.
func (c *Coordinator) State(now time.Time, id specifier.JobID) State {
	if a, ok := c.answers.find(now, id); ok {
		return a.State
	}
	if j := c.jobs[id]; j != nil && !j.ended {
		return Running
	}
	return Unknown
}

// WaitingJobs returns how many jobs of a queue have no task that was started.
func (c *Coordinator) WaitingJobs(queue string) int {
	n := 0
	for _, j := range c.waiting {
		if !j.begun && j.Queue.Name == queue {
			n++
		}
	}
	return n
}

// OpenJobs returns how many jobs have no answer yet.
func (c *Coordinator) OpenJobs() int {
	n := 0
	for _, j := range c.jobs {
		if !j.ended {
			n++
		}
	}
	return n
}

// end answers a job, and stops what still runs of it.
func (c *Coordinator) end(now time.Time, j *job, a Answer, cause string) []Effect {
	j.ended = true
	c.dequeue(j)
	j.idle = nil
	if a.State == Completed || a.State == Failed || a.State == Cancelled {
		c.answers.add(now, j.ID, a)
	}
	reply := Reply{Job: j.ID, Answer: a, Cause: cause, Took: now.Sub(j.arrived), Starts: j.starts, Lost: j.lost}
	if j.begun {
		reply.PlacedAfter = j.placed.Sub(j.arrived)
	}
	effects := []Effect{reply}
	for i := range j.tasks {
		effects = append(effects, c.stop(&j.tasks[i])...)
	}
	c.forget(j)
	return effects
}

// stop asks the agent of an active task to end it.
func (c *Coordinator) stop(t *task) []Effect {
	if !t.active || t.stopping {
		return nil
	}
	t.stopping = true
	if a := c.agents[t.agent]; a == nil || !a.linked {
		return nil
	}
	return []Effect{Send{t.agent, &executor.Stop{Run: t.run}}}
}

// forget drops an ended job when nothing of it can run any more.
func (c *Coordinator) forget(j *job) {
	if !j.ended {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].active {
			return
		}
	}
	delete(c.jobs, j.ID)
}

// Tick looks at what time alone decides.
func (c *Coordinator) Tick(now time.Time) []Effect {
	var effects []Effect
	paused := c.paused(now)
	c.swept = now
	if paused {
		c.resume = now.Add(resumeWait)
	}
	for _, j := range c.order() {
		switch {
		case j.ended:
		case paused && now.Sub(j.arrived) > pauseLimit:
			effects = append(effects, c.end(now, j, j.giveUp(), "gateway_paused")...)
		case !now.Before(j.deadline):
			effects = append(effects, c.end(now, j, j.giveUp(), "deadline")...)
		}
	}
	effects = append(effects, c.expire(now)...)
	effects = append(effects, c.watch(now)...)
	c.markLate(now)
	return append(effects, c.place(now)...)
}

// paused reports whether this process stood still for too long.
func (c *Coordinator) paused(now time.Time) bool {
	return !c.swept.IsZero() && now.Sub(c.swept) > pauseLimit
}

// giveUp returns the answer of a job that ends before its tasks.
func (j *job) giveUp() Answer {
	if j.begun {
		return Answer{State: Unfinished}
	}
	return Answer{State: NotRun, RetryAfter: retryPause}
}

// Drain takes no job from now on that would keep this gateway open longer than those
// that it has, or than until limit.
func (c *Coordinator) Drain(now, limit time.Time) {
	c.closing = now
	for _, j := range c.jobs {
		if end := j.arrived.Add(likelyEnd(j.expected)); !j.ended && end.After(c.closing) {
			c.closing = end
		}
	}
	if c.closing.After(limit) {
		c.closing = limit
	}
}

// likelyEnd returns the time in which nearly all jobs end whose tasks are expected to run
// for the given time.
func likelyEnd(expected time.Duration) time.Duration {
	return 2 * expected
}

// Stop ends all jobs, for the process is about to end.
func (c *Coordinator) Stop(now time.Time) []Effect {
	var effects []Effect
	for _, j := range c.order() {
		if !j.ended {
			effects = append(effects, c.end(now, j, j.giveUp(), "gateway_stops")...)
		}
	}
	return effects
}
