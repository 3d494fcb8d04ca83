package coordinator

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/quarantiner"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

const (
	// laneDivisor is the inverse of the share of a service's workers that take the tasks of
	// confined queues.
	laneDivisor = 4
	// defaultDowntime is the expected time from the crash of a worker until it is available
	// again, before one has been observed.
	defaultDowntime = 3 * time.Second
	// crashPenalty ranks the workers that have crashed within crashMemory last for a suspect, and
	// suspectSpread is the largest difference by which the others are ranked at random.
	crashPenalty  = time.Second
	crashMemory   = 10 * time.Second
	suspectSpread = 50 * time.Millisecond
	// lanePenalty ranks the workers that take the tasks of a confined queue behind all others
	// for the tasks of other queues.
	lanePenalty = 500 * time.Millisecond
)

// HandleCrash records the crash of an agent's worker.
func (c *Coordinator) HandleCrash(now time.Time, name identifier.Agent, m *executor.Crash) []Effect {
	return c.HandleReport(now, &quarantiner.Report{Agent: name, Crash: *m})
}

// HandleReport records the report of a crash from the agent or from another gateway, and passes on
// one that is new. Jobs with a task that is blamed for it are answered as failed.
func (c *Coordinator) HandleReport(now time.Time, r *quarantiner.Report) []Effect {
	blames, added := c.quarantine.HandleReport(now, r)
	if !added {
		return nil
	}
	if a := c.agents[r.Agent]; a != nil {
		if at := now.Add(-r.Crash.Age); at.After(a.crashedAt) {
			a.crashedAt = at
		}
	}
	effects := append([]Effect{PassOn{r}}, c.giveUp(now, r.Agent, blames)...)
	c.updateLanes()
	return append(effects, c.place(now)...)
}

// CrashReports returns the reports of all recent crashes, for a gateway that is linked anew.
func (c *Coordinator) CrashReports(now time.Time) []quarantiner.Report {
	return c.quarantine.Reports(now)
}

// giveUp answers the jobs of blamed tasks as failed.
func (c *Coordinator) giveUp(now time.Time, at identifier.Agent, blames []quarantiner.Blame) []Effect {
	var effects []Effect
	for _, b := range blames {
		run := executor.RunID{Job: b.Task.Job, Index: b.Task.Index}
		effects = append(effects, LogEvent{Name: EventTaskBlamed, Run: run, Agent: at, Cause: b.Queue})
		if j := c.jobs[b.Task.Job]; j != nil && !j.ended {
			effects = append(effects, c.end(now, j, Answer{State: Failed}, causeCrashes)...)
		}
	}
	return effects
}

// noteAvailability learns from the status of a worker how long workers are down after a crash.
func (c *Coordinator) noteAvailability(now time.Time, a *agent) {
	if a.status.Available && a.crashedAt.After(a.backAt) {
		a.backAt = now
		c.downtime = now.Sub(a.crashedAt)
	}
}

// expectedBack returns when the worker of an agent is expected to be available.
func (c *Coordinator) expectedBack(now time.Time, a *agent) time.Time {
	if a.attached && a.status.Available {
		return now
	}
	return a.crashedAt.Add(cmp.Or(c.downtime, defaultDowntime))
}

// confined reports whether a job may run on the lanes of its service only.
func (c *Coordinator) confined(j *job) bool {
	return c.quarantine.Confined(j.Queue.Name)
}

// updateLanes chooses the workers that take the tasks of confined queues. All gateways rank the
// workers by the same hash, so that they choose the same ones. A worker that has crashed remains
// a lane: its place must not be taken by one worker after the other.
func (c *Coordinator) updateLanes() {
	c.lanes = nil
	if !c.quarantine.AnyConfined() {
		return
	}
	byService := make(map[string][]*agent)
	for _, a := range c.agents {
		if a.status.Service != "" {
			byService[a.status.Service] = append(byService[a.status.Service], a)
		}
	}
	c.lanes = make(map[*agent]bool)
	for _, agents := range byService {
		slices.SortFunc(agents, func(a, b *agent) int {
			return cmp.Or(cmp.Compare(laneRank(a.name), laneRank(b.name)), cmp.Compare(a.name, b.name))
		})
		for _, a := range agents[:(len(agents)+laneDivisor-1)/laneDivisor] {
			c.lanes[a] = true
		}
	}
}

// laneRank returns the rank of an agent among the lanes.
func laneRank(name identifier.Agent) uint32 {
	return hash(string(name))
}

// admitsTask reports whether a task may be sent to an agent in view of the crashes of workers.
func (c *Coordinator) admitsTask(a *agent, j *job, index int) bool {
	if c.confined(j) && !c.lanes[a] {
		return false
	}
	return !c.suspected(j, index) || !a.runsAny(c.quarantine.Suspected)
}

// suspected reports whether a task was on a worker that crashed for no known cause. Suspects are
// started apart from each other, so that the next crash tells which of them is the cause.
func (c *Coordinator) suspected(j *job, index int) bool {
	return c.quarantine.Suspected(quarantiner.Task{Job: j.ID, Index: index})
}

// crashCost returns the penalties of sending a task to an agent in view of the crashes of workers.
func (c *Coordinator) crashCost(now time.Time, a *agent, j *job, index int) time.Duration {
	cost := time.Duration(0)
	if c.lanes[a] && !c.confined(j) {
		cost += lanePenalty
	}
	if !c.suspected(j, index) {
		return cost
	}
	// Gateways do not know each other's suspects, so each spreads its own at random.
	cost += time.Duration(hash(string(j.ID), strconv.Itoa(index), string(a.name))%1024) * suspectSpread / 1024
	if !a.crashedAt.IsZero() && now.Sub(a.crashedAt) < crashMemory {
		cost += crashPenalty
	}
	return cost
}

// runsAny reports whether this gateway runs a task at the agent for which match returns true.
func (a *agent) runsAny(match func(quarantiner.Task) bool) bool {
	for run := range a.runs {
		if match(quarantiner.Task{Job: run.Job, Index: run.Index}) {
			return true
		}
	}
	return false
}

// openBacklog reports whether jobs wait that any worker of their service may take.
func (c *Coordinator) openBacklog() bool {
	return slices.ContainsFunc(c.waiting, func(j *job) bool { return !c.confined(j) })
}

// laneForecast forecasts when the waiting jobs of confined queues can be started.
type laneForecast struct {
	// capacity is the CPU capacity of the available lanes of each service, and back is when the
	// first lane of a service without one is expected to be available.
	capacity map[string]int
	back     map[string]time.Time
	// ahead is the work that waits for the lanes of each service.
	ahead map[string]time.Duration
}

// forecastLanes returns the forecast for the present lanes, with no work ahead.
func (c *Coordinator) forecastLanes(now time.Time) laneForecast {
	f := laneForecast{make(map[string]int), make(map[string]time.Time), make(map[string]time.Duration)}
	for a := range c.lanes {
		service := a.status.Service
		back := c.expectedBack(now, a)
		if first, known := f.back[service]; !known || back.Before(first) {
			f.back[service] = back
		}
		if a.attached && a.status.Available {
			f.capacity[service] += a.status.Capacity.CPU
		}
	}
	return f
}

// startsAt returns when the last pending task of a job can be started, and adds the job to the
// work ahead of others.
func (f *laneForecast) startsAt(now time.Time, j *job) time.Time {
	service := j.Queue.Service
	f.ahead[service] += j.work()
	start := f.back[service]
	if start.Before(now) {
		start = now
	}
	if capacity := f.capacity[service]; capacity > 0 {
		start = start.Add(f.ahead[service] * 1000 / time.Duration(capacity))
	}
	return start
}

// refuseConfined ends the waiting jobs of confined queues that no lane can start in time: before
// they are due, or before their callers leave if they were started before. The lanes may crash
// again as soon as they are back, so a job that would be late anyway hardly gains by waiting, and
// those that wait would all be started at the same moment.
func (c *Coordinator) refuseConfined(now time.Time) []Effect {
	if !c.quarantine.AnyConfined() {
		return nil
	}
	forecast := c.forecastLanes(now)
	var effects []Effect
	for _, j := range slices.Clone(c.waiting) {
		if !c.confined(j) || j.hasActive() {
			continue
		}
		start := forecast.startsAt(now, j)
		limit := j.deadline
		if !j.started && j.due.Before(limit) {
			limit = j.due
		}
		if !start.Add(j.minRun()).After(limit) {
			continue
		}
		forecast.ahead[j.Queue.Service] -= j.work()
		answer := Answer{State: NotRun, RetryAfter: spread(max(minRetryAfter, start.Sub(now)), j.ID)}
		if j.started {
			answer = Answer{State: Unfinished}
		}
		effects = append(effects, c.end(now, j, answer, causeConfined)...)
	}
	return effects
}

// hasActive reports whether a task of the job runs.
func (j *job) hasActive() bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.active })
}

// clearTask records the success of a task with the quarantine.
func (c *Coordinator) clearTask(now time.Time, j *job, index int) {
	c.quarantine.TaskDone(now, quarantiner.Task{Job: j.ID, Index: index}, j.Queue.Name)
}

// tickQuarantine releases confined queues and updates the lanes.
func (c *Coordinator) tickQuarantine(now time.Time) []Effect {
	var effects []Effect
	for _, queue := range c.quarantine.Tick(now) {
		effects = append(effects, LogEvent{Name: EventQueueReleased, Cause: queue})
	}
	c.updateLanes()
	return effects
}

// givenUpAnswer returns the answer of a job that is submitted again after one of its tasks was
// blamed for crashes, perhaps at another gateway.
func (c *Coordinator) givenUpAnswer(id specifier.JobID) (Answer, bool) {
	return Answer{State: Failed}, c.quarantine.GivenUp(id)
}
