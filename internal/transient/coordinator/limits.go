package coordinator

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/load/limiter"
)

const (
	// causeExcess is the cause of the answer of a job that is refused because more work waits than
	// can be in time.
	causeExcess = "backlog_exceeds_objective"
	// causeTooLate is the cause of the answer of a job with started tasks, here or perhaps at another
	// gateway, that is ended because its answer would come after three objectives or after its deadline.
	causeTooLate = "too_late"
	// usefulObjectives is the number of objectives after which an answer is of no use to its caller.
	usefulObjectives = 3
	// begunPriority is the priority by which begun jobs are placed that are less urgent. Jobs of the most
	// urgent priority still go before them.
	begunPriority = 1
	// maxDecided is the number of waiting jobs up to which the limiter decides at each arrival. It
	// decides on a longer list at each tick only, to bound the processor time that a herd of callers
	// takes.
	maxDecided = 512
)

// limiterOf returns the limiter of a service.
func (c *Coordinator) limiterOf(service string) *limiter.Limiter {
	if c.limiters == nil {
		c.limiters = make(map[string]*limiter.Limiter)
	}
	l := c.limiters[service]
	if l == nil {
		l = &limiter.Limiter{}
		c.limiters[service] = l
	}
	return l
}

// noteArrival records a new job at the limiter of its service.
func (c *Coordinator) noteArrival(now time.Time, j *job) {
	if c.Policy.EarlyRefusal {
		c.limiterOf(j.Queue.Service).Arrived(now, c.limited(j, false))
	}
}

// noteStarted records the start of a task at the limiter of the service.
func (c *Coordinator) noteStarted(now time.Time, j *job) {
	if c.Policy.EarlyRefusal {
		c.limiterOf(j.Queue.Service).Started(now, j.Queue.Name, taskWork(j))
	}
}

// limited describes a job to the limiter.
func (c *Coordinator) limited(j *job, kept bool) limiter.Job {
	return limiter.Job{Queue: j.Queue.Name, Priority: j.Queue.Priority, Tasks: j.Tasks, Work: j.work(), Arrived: j.arrived, LatestStart: j.latestStart, Admitted: j.admitted, Kept: kept}
}

// refuseArrived decides on the waiting jobs when one has been added that was not started at once.
func (c *Coordinator) refuseArrived(now time.Time) []Effect {
	if !c.Policy.EarlyRefusal || !c.undecided || len(c.waiting) > maxDecided {
		return nil
	}
	return c.refuseExcess(now)
}

// refuseEarly ends the jobs that cannot be served: those that cannot be in time and of which nothing
// was started, those with tasks that were or may have been started whose answer would be of no use,
// and those without an available worker.
func (c *Coordinator) refuseEarly(now time.Time) []Effect {
	var effects []Effect
	for _, j := range slices.Clone(c.waiting) {
		switch {
		case c.confined(j):
		case !j.started && now.Sub(c.availableAt(j)) >= noWorkerWait:
			effects = append(effects, c.end(now, j, Answer{State: NotRun, RetryAfter: spread(minRetryAfter, j.ID)}, "no_worker_available")...)
		case (j.started || j.claim.wasContested) && now.Add(j.minRun()).After(j.usefulUntil(now)):
			effects = append(effects, c.end(now, j, Answer{State: Unfinished}, causeTooLate)...)
		}
	}
	backlogged := make(map[string]bool)
	for _, j := range c.waiting {
		backlogged[j.Queue.Service] = backlogged[j.Queue.Service] || !c.confined(j)
	}
	for service, l := range c.limiters {
		l.SetBacklogged(now, backlogged[service])
	}
	return append(effects, c.refuseExcess(now)...)
}

// markBegun moves the waiting jobs with started tasks, except late ones, before all but the most urgent
// others. What a job has used already is lost if the rest of it comes too late, and a peak leaves the
// tasks of a less urgent job waiting between more urgent ones.
func (c *Coordinator) markBegun(late []*job) {
	if !c.Policy.EarlyRefusal {
		return
	}
	var begun []*job
	for _, j := range c.waiting {
		if j.started && !j.begun && !j.late && !slices.Contains(late, j) {
			begun = append(begun, j)
		}
	}
	for _, j := range begun {
		c.dequeue(j)
		j.begun = true
		c.enqueue(j)
	}
}

// rank returns the priority by which a waiting job is placed, which differs from that of its queue for a
// begun job.
func (j *job) rank() int {
	if j.begun {
		return min(j.Queue.Priority, begunPriority)
	}
	return j.Queue.Priority
}

// usefulUntil returns until when an answer is of use to the caller of a job. The objective counts from
// the longest task, so it grows with each task that runs longer than expected.
func (j *job) usefulUntil(now time.Time) time.Time {
	longest := max(j.expectedRun, j.longestRun)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.active {
			longest = max(longest, now.Sub(t.startSent))
		}
	}
	until := j.arrived.Add(usefulObjectives * j.Queue.LatencyObjective(longest))
	if until.After(j.deadline) {
		return j.deadline
	}
	return until
}

// refuseExcess ends the jobs that have to go so that the others can be in time, by the decision of the
// limiters.
func (c *Coordinator) refuseExcess(now time.Time) []Effect {
	c.undecided = false
	services := make(map[string][]*job)
	var names []string
	for _, j := range c.waiting {
		if c.confined(j) {
			continue
		}
		if services[j.Queue.Service] == nil {
			names = append(names, j.Queue.Service)
		}
		services[j.Queue.Service] = append(services[j.Queue.Service], j)
	}
	var effects []Effect
	for _, service := range names {
		effects = append(effects, c.refuseExcessOf(now, service, services[service])...)
	}
	return effects
}

// refuseExcessOf is refuseExcess for the waiting jobs of one service.
func (c *Coordinator) refuseExcessOf(now time.Time, service string, waiting []*job) []Effect {
	smallest := waiting[0].Demand.CPU
	for _, j := range waiting {
		smallest = min(smallest, j.Demand.CPU)
	}
	// open holds the agents with capacity for the smallest demand. In a peak there are hardly any, so that
	// few are tried for each job.
	var open []*agent
	for _, a := range c.agents {
		if a.attached && c.available(a) && a.status.Service == service && a.freeCapacity().CPU >= smallest {
			open = append(open, a)
		}
	}
	jobs := make([]limiter.Job, len(waiting))
	for i, j := range waiting {
		kept := j.started || j.claim.wasContested || slices.ContainsFunc(open, func(a *agent) bool { return a.admits(now, j) })
		jobs[i] = c.limited(j, kept)
	}
	l := c.limiterOf(service)
	d := l.Decide(now, jobs, c.supply(now, service))
	for _, j := range waiting {
		j.admitted = j.admitted || d.Made
	}
	var effects []Effect
	for i, index := range d.Refused {
		j := waiting[index]
		l.Refused(now, jobs[index])
		c.refusedEarly = append(c.refusedEarly, j)
		refusal := Refusal{
			Wait: d.Waits[i], Backlog: d.Backlog, Rate: d.Rate,
			FreeCapacity: slices.ContainsFunc(open, func(a *agent) bool {
				return a.serves(j) && j.Demand.FitsIn(a.freeCapacity())
			}),
		}
		if c.Cell != nil {
			refusal.BacklogAge = c.Cell.Age(now)
		}
		for _, e := range c.end(now, j, Answer{State: NotRun, RetryAfter: spread(max(minRetryAfter, d.Drained), j.ID)}, causeExcess) {
			if reply, ok := e.(Reply); ok {
				reply.Refusal = refusal
				e = reply
			}
			effects = append(effects, e)
		}
	}
	return effects
}

// checkEarlyRefusals reports refusals that have proved wrong: nothing waits here any more and a worker has
// capacity for the job at a time when it could still have been started.
func (c *Coordinator) checkEarlyRefusals(now time.Time) []Effect {
	var effects []Effect
	idle := !c.openBacklog()
	pending := c.refusedEarly[:0]
	for _, j := range c.refusedEarly {
		switch {
		case now.After(j.latestStart):
		case idle && c.admitted(now, j):
			effects = append(effects, LogEvent{Name: EventRefusedInError, Cause: "backlog_drained_early"})
		default:
			pending = append(pending, j)
		}
	}
	clear(c.refusedEarly[len(pending):])
	c.refusedEarly = pending
	return effects
}

// admitted reports whether a worker could be given a task of a job.
func (c *Coordinator) admitted(now time.Time, j *job) bool {
	for _, a := range c.agents {
		if !c.evacuated(a) && a.admits(now, j) {
			return true
		}
	}
	return false
}

// supply returns the capacity of a service and what is known of the other gateways.
func (c *Coordinator) supply(now time.Time, service string) limiter.Supply {
	all, own := 0, 0
	for _, a := range c.agents {
		if a.attached && c.available(a) && !a.status.Stalled && a.status.Service == service {
			all += a.status.Capacity.CPU
			own += max(a.status.Capacity.Sub(a.status.UsedByOthers).CPU, 0)
		}
	}
	// Capacities are in millicores.
	s := limiter.Supply{Capacity: time.Duration(all) * time.Second / 1000, Own: time.Duration(own) * time.Second / 1000}
	if c.Cell != nil {
		s.OthersStarted = c.Cell.Started(now, service)
		s.OthersWaiting = func(priority int) time.Duration { return c.Cell.Waiting(now, service, priority) }
	}
	return s
}
