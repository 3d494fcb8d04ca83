// Package coordinator schedules the transient jobs of one gateway. It decides which
// task is sent to which agent and when, which tasks are retried, and what the caller
// is answered. It uses no sockets, goroutines or clocks: its methods take the present
// time and return the effects that the process has to carry out.
//
// The gateway that receives a job owns it until it is answered. No other process
// knows the job, so nothing has to be replicated or stored.
package coordinator

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/load/estimator"
	"github.com/dandeliongrade/dandeliongrade/internal/load/forecaster"
	"github.com/dandeliongrade/dandeliongrade/internal/load/limiter"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/quarantiner"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// Coordinator holds the jobs of one gateway and what is known of the agents. The zero
// value is ready for use. A Coordinator is not safe for concurrent use.
type Coordinator struct {
	// Zone is the data centre of this gateway.
	Zone string
	// Callers is asked before tasks are started and permits granted, because CallerLeft may come
	// late. If it is nil, all callers wait.
	Callers Callers
	// Arbiters names the gateways to ask before the tasks of a job are started. If it is nil, there
	// are none.
	Arbiters Arbiters
	// Policy selects the optional decisions.
	Policy specifier.Policy
	// Cell tells the backlog of the other gateways. If it is nil, that is not known.
	Cell CellBacklog

	jobs   map[specifier.JobID]*job
	agents map[identifier.Agent]*agent
	links  linkOrder
	// waiting holds the jobs with pending tasks, sorted by compareUrgency.
	waiting []*job
	// answers holds recent answers, for callers that submit a job again.
	answers   answerCache
	estimator estimator.Estimator
	// speeds holds what placement by the speeds of workers needs.
	speeds speeds
	// forecaster predicts how long jobs wait.
	forecaster forecaster.Forecaster
	// backlogs holds what is to be reported of the backlog of this gateway.
	backlogs backlogs
	// limiters decide which jobs of a service are refused early. undecided is set while a job waits
	// that they have not seen.
	limiters  map[string]*limiter.Limiter
	undecided bool
	// refusedEarly holds the jobs that the limiters refused and that could still have been started.
	refusedEarly []*job
	// refusedUntil holds, for the jobs refused for the backlog, until when they could have been
	// started.
	refusedUntil []time.Time
	// lastAvailable is when a worker of each service was available last.
	lastAvailable map[string]time.Time
	// quarantine tells which tasks and queues crash workers, lanes which workers take the tasks of
	// these queues, and downtime is how long the last worker that crashed was down.
	quarantine quarantiner.Quarantiner
	lanes      lanes
	downtime   time.Duration
	// evacuations tells which data centres get no work.
	evacuations evacuations
	// lastNumber is the number of the last run, and lastClaim that of the last claim.
	lastNumber, lastClaim uint64
	// lastTick is the time of the last Tick. No task is started before resumeAt.
	lastTick, resumeAt time.Time
	// slowUntil is until when this process counts as short of processor time.
	slowUntil time.Time
	// callersChecked is when checkCallers last asked for all callers.
	callersChecked time.Time
	// drainEnd is set once the gateway drains. A new job is accepted only if it is likely
	// to end by then.
	drainEnd time.Time
}

type job struct {
	specifier.Job
	arrived time.Time
	// expectedRun is the expected run time of a task on an average worker.
	expectedRun time.Duration
	// due is when the latency objective is reached.
	due time.Time
	// latestStart is when its last task has to be started for the job to be in time. longestRun is the
	// longest run time of its tasks so far.
	latestStart time.Time
	longestRun  time.Duration
	// admitted is set once the limiter has left the job waiting, and begun for a waiting job with
	// started tasks that goes before others.
	admitted, begun bool
	// late is set for a waiting job that can no longer be answered by due.
	late bool
	// deadline is when the caller stops waiting.
	deadline time.Time
	tasks    []task
	// pending holds the indexes of the tasks that wait to be started. openTasks is the
	// number of tasks that are not done.
	pending   []int
	openTasks int
	// ended is set once the job is answered or its caller has left. Its tasks may still
	// run.
	ended bool
	// started is set once a task was started. lastStart is when the last start was sent.
	started          bool
	lastStart        time.Time
	starts, lostRuns int
	claim            claim
	// outcome is the state in the answer of an ended job.
	outcome State
}

type task struct {
	run       executor.RunID
	agent     identifier.Agent
	startSent time.Time
	// active is set from the start of a run until its end is known.
	active, done bool
	// stopping is set once the run is to be stopped, and moved if it is started elsewhere then, because
	// its worker leaves.
	stopping, moved bool
	failures        int
	// avoidAgent is the agent at which the last run of the task was lost.
	avoidAgent identifier.Agent
	// other is set while a run of the task that this gateway has not started may be at an agent.
	other otherRun
}

// pauseLimit is the longest time between two ticks after which the state of this
// process is still taken as valid. During a longer pause links break, permits expire
// and callers may submit their jobs to another gateway.
const pauseLimit = executor.PermitDuration

// resumeDelay is how long after a pause no task is started. Requests that arrived during
// the pause are read before the closes of their connections, so the caller of a new job may
// already have left.
const resumeDelay = 50 * time.Millisecond

// Submit accepts or refuses a job. A job that is known already is not run a second time;
// its answer goes to the latest caller.
func (c *Coordinator) Submit(now time.Time, j specifier.Job) []Effect {
	if a, ok := c.answers.find(now, j.ID); ok {
		return []Effect{Reply{Job: j.ID, Answer: a, Cause: "answered_before"}}
	}
	if known := c.jobs[j.ID]; known != nil {
		if known.ended {
			return []Effect{Reply{Job: j.ID, Answer: Answer{State: Unfinished}, Cause: "previous_run_ending"}}
		}
		return nil
	}
	if a, given := c.givenUpAnswer(j.ID); given {
		return []Effect{Reply{Job: j.ID, Answer: a, Cause: causeCrashes}}
	}
	if c.Arbiters != nil && c.Arbiters.Cancelled(now, j.ID) {
		return []Effect{Reply{Job: j.ID, Answer: Answer{State: Cancelled}, Cause: causeCancelled}}
	}
	cause := c.unplaceableCause(&j)
	if c.allEvacuated(j.Queue.Service) {
		cause = causeEvacuated
	}
	if !c.drainEnd.IsZero() && now.Add(likelyDuration(c.estimator.Expected(j.Queue.Name, j.Estimate))).After(c.drainEnd) {
		cause = "gateway_stops"
	}
	if cause != "" {
		return []Effect{Reply{Job: j.ID, Answer: Answer{State: NotRun, RetryAfter: spread(minRetryAfter, j.ID)}, Cause: cause}}
	}
	if c.jobs == nil {
		c.jobs = make(map[specifier.JobID]*job)
	}
	admitted := c.admit(now, j)
	c.jobs[j.ID] = admitted
	c.noteWanted(admitted)
	if effects := c.claimJob(now, admitted); admitted.claim.waits() {
		return effects
	}
	c.enqueue(admitted)
	return c.place(now)
}

// admit returns the record of a new job, with all its tasks pending.
func (c *Coordinator) admit(now time.Time, j specifier.Job) *job {
	expected := c.estimator.Expected(j.Queue.Name, j.Estimate)
	admitted := &job{
		Job:         j,
		arrived:     now,
		expectedRun: expected,
		due:         now.Add(j.Queue.LatencyObjective(expected)),
		deadline:    now.Add(j.Budget),
		tasks:       make([]task, j.Tasks),
		pending:     make([]int, j.Tasks),
		openTasks:   j.Tasks,
	}
	for i := range admitted.pending {
		admitted.pending[i] = i
	}
	admitted.latestStart = admitted.due.Add(-expected)
	c.noteArrival(now, admitted)
	return admitted
}

// CallerLeft stops a job whose caller has closed its connection.
func (c *Coordinator) CallerLeft(now time.Time, id specifier.JobID) []Effect {
	j := c.jobs[id]
	if j == nil || j.ended {
		return nil
	}
	return append(c.end(now, j, Answer{State: Unfinished}, "caller_left"), c.place(now)...)
}

// Cancel stops a job and returns its state afterwards.
func (c *Coordinator) Cancel(now time.Time, id specifier.JobID) (State, []Effect) {
	j := c.jobs[id]
	if j == nil || j.ended {
		return c.State(now, id), nil
	}
	return Cancelled, append(c.end(now, j, Answer{State: Cancelled}, causeCancelled), c.place(now)...)
}

// State returns the state of a job.
func (c *Coordinator) State(now time.Time, id specifier.JobID) State {
	if a, ok := c.answers.find(now, id); ok {
		return a.State
	}
	if j := c.jobs[id]; j != nil && !j.ended {
		return Running
	}
	return Unknown
}

// WaitingJobs returns the number of jobs of a queue that wait with no task started.
func (c *Coordinator) WaitingJobs(queue string) int {
	n := 0
	for _, j := range c.waiting {
		if !j.started && j.Queue.Name == queue {
			n++
		}
	}
	return n
}

// OpenJobs returns the number of jobs without an answer.
func (c *Coordinator) OpenJobs() int {
	n := 0
	for _, j := range c.jobs {
		if !j.ended {
			n++
		}
	}
	return n
}

// end answers a job and stops its active tasks.
func (c *Coordinator) end(now time.Time, j *job, a Answer, cause string) []Effect {
	if a.State == NotRun && j.claim.wasContested {
		// Another gateway may have started tasks of the job.
		a = Answer{State: Unfinished}
	}
	j.ended, j.outcome = true, a.State
	c.dequeue(j)
	j.pending = nil
	if a.State == Completed || a.State == Failed || a.State == Cancelled {
		c.answers.add(now, j.ID, a)
	}
	reply := Reply{Job: j.ID, Answer: a, Cause: cause, Took: now.Sub(j.arrived), Starts: j.starts, Lost: j.lostRuns, Claim: j.claim.state.String()}
	if !j.claim.settled.IsZero() {
		reply.ClaimedAfter = j.claim.settled.Sub(j.arrived)
	}
	if j.started {
		reply.PlacedAfter = j.lastStart.Sub(j.arrived)
	}
	effects := []Effect{reply}
	for i := range j.tasks {
		effects = append(effects, c.stop(&j.tasks[i])...)
	}
	return append(effects, c.removeFinished(now, j)...)
}

// stop asks the agent of an active task to stop it. An agent without a link is asked when
// it attaches again.
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

// removeFinished removes an ended job once none of its tasks is active.
func (c *Coordinator) removeFinished(now time.Time, j *job) []Effect {
	if !j.ended {
		return nil
	}
	for i := range j.tasks {
		if j.tasks[i].active {
			return nil
		}
	}
	delete(c.jobs, j.ID)
	return c.yield(now, j)
}

// Tick handles what depends on time alone: deadlines, pauses of this process, expired runs
// and overdue runs. The process calls it at short intervals.
func (c *Coordinator) Tick(now time.Time) []Effect {
	var effects []Effect
	paused := c.paused(now)
	c.noteTick(now)
	c.lastTick = now
	if paused {
		c.resumeAt = now.Add(resumeDelay)
	}
	for _, j := range c.sortedJobs() {
		switch {
		case j.ended:
		case paused && now.Sub(j.arrived) > pauseLimit:
			effects = append(effects, c.end(now, j, j.abandonedAnswer(), "gateway_paused")...)
		case !now.Before(j.deadline):
			effects = append(effects, c.end(now, j, j.abandonedAnswer(), CauseDeadline)...)
		default:
			effects = append(effects, c.tickClaim(now, j)...)
		}
	}
	effects = append(effects, c.closeLinks(now)...)
	effects = append(effects, c.expireRuns(now)...)
	effects = append(effects, c.checkOverdue(now)...)
	effects = append(effects, c.tickNotices(now)...)
	effects = append(effects, c.tickQuarantine(now)...)
	c.markLate(now)
	c.updateSpeeds(now)
	effects = append(effects, c.place(now)...)
	c.forecaster.SetBacklogged(now, c.openBacklog())
	effects = append(effects, c.refuseEvacuated(now)...)
	effects = append(effects, c.refuseConfined(now)...)
	return append(effects, c.refuseUnservable(now)...)
}

// paused reports whether this process was suspended for longer than pauseLimit.
func (c *Coordinator) paused(now time.Time) bool {
	return !c.lastTick.IsZero() && now.Sub(c.lastTick) > pauseLimit
}

// abandonedAnswer returns the answer of a job that is ended before all its tasks are done.
func (j *job) abandonedAnswer() Answer {
	if j.started {
		return Answer{State: Unfinished}
	}
	return Answer{State: NotRun, RetryAfter: spread(minRetryAfter, j.ID)}
}

// Drain restricts what is accepted until the process stops: a new job must be likely to
// end before the present jobs do, and in any case before limit.
func (c *Coordinator) Drain(now, limit time.Time) {
	c.drainEnd = now
	for _, j := range c.jobs {
		if end := j.arrived.Add(likelyDuration(j.expectedRun)); !j.ended && end.After(c.drainEnd) {
			c.drainEnd = end
		}
	}
	if c.drainEnd.After(limit) {
		c.drainEnd = limit
	}
}

// likelyDuration returns the time within which nearly all jobs end whose tasks have the
// given expected run time.
func likelyDuration(expected time.Duration) time.Duration {
	return 2 * expected
}

// Stop ends all jobs because the process is about to exit.
func (c *Coordinator) Stop(now time.Time) []Effect {
	var effects []Effect
	for _, j := range c.sortedJobs() {
		if !j.ended {
			effects = append(effects, c.end(now, j, j.abandonedAnswer(), "gateway_stops")...)
		}
	}
	return effects
}
