package coordinator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// laneDivisor is the inverse of the share of the workers that are lanes.
	laneDivisor = 4
	// defaultDowntime is the expected time from the crash of a worker until it is available
	// again, before one has been observed.
	defaultDowntime = 3 * time.Second
	// lanePenalty ranks the lanes behind all other workers for the tasks of other queues.
	lanePenalty = 500 * time.Millisecond
)

// lanes holds the workers that take the tasks of confined queues, so that those which crash
// workers take down a part of them only. The zero value is for no confined queue.
type lanes struct {
	// ranked holds the agents of each service that may be lanes, in the order in which they are
	// chosen. All gateways rank them by the same hash, so that they choose the same ones.
	ranked map[string][]*agent
	// chosen holds the lanes of jobs that all workers of their service can take.
	chosen map[*agent]bool
}

// updateLanes ranks the workers. One that has crashed keeps its place for a while: it must not be
// taken by one worker after the other.
func (c *Coordinator) updateLanes(now time.Time) {
	c.lanes = lanes{}
	if !c.quarantine.AnyConfined() {
		return
	}
	c.lanes = lanes{make(map[string][]*agent), make(map[*agent]bool)}
	for _, a := range c.agents {
		if a.attached && !c.evacuated(a) && (a.status.Available || now.Sub(a.crashedAt) < crashMemory) {
			c.lanes.ranked[a.status.Service] = append(c.lanes.ranked[a.status.Service], a)
		}
	}
	for _, agents := range c.lanes.ranked {
		slices.SortFunc(agents, func(a, b *agent) int {
			return cmp.Or(cmp.Compare(hash(string(a.name)), hash(string(b.name))), cmp.Compare(a.name, b.name))
		})
		for _, a := range firstLanes(agents) {
			c.lanes.chosen[a] = true
		}
	}
}

// firstLanes returns the lanes among ranked agents.
func firstLanes(ranked []*agent) []*agent {
	return ranked[:(len(ranked)+laneDivisor-1)/laneDivisor]
}

// lanesFor returns the lanes of a job of a confined queue: those of the workers that can take its
// tasks.
func (c *Coordinator) lanesFor(j *job) []*agent {
	var able []*agent
	for _, a := range c.lanes.ranked[j.Queue.Service] {
		if a.serves(j) && j.Demand.FitsIn(a.status.Capacity) {
			able = append(able, a)
		}
	}
	return firstLanes(able)
}

// confined reports whether the tasks of a job may run on lanes only.
func (c *Coordinator) confined(j *job) bool {
	return c.quarantine.Confined(j.Queue.Name)
}

// openBacklog reports whether jobs wait that are not confined.
func (c *Coordinator) openBacklog() bool {
	return slices.ContainsFunc(c.waiting, func(j *job) bool { return !c.confined(j) })
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
	back := a.crashedAt.Add(cmp.Or(c.downtime, defaultDowntime))
	if a.status.Available || back.Before(now) {
		return now
	}
	return back
}

// expectedStart returns when the last pending task of a job can be started on one of its lanes,
// behind other work for them. It returns false if there is no lane.
func (c *Coordinator) expectedStart(now time.Time, j *job, ahead time.Duration) (time.Time, bool) {
	var start time.Time
	capacity := 0
	lanes := c.lanesFor(j)
	for _, a := range lanes {
		if back := c.expectedBack(now, a); start.IsZero() || back.Before(start) {
			start = back
		}
		if a.status.Available {
			capacity += a.status.Capacity.CPU
		}
	}
	if capacity > 0 {
		start = start.Add((ahead + j.work()) * 1000 / time.Duration(capacity))
	}
	return start, len(lanes) > 0
}

// refuseConfined ends the waiting jobs of confined queues that no lane can start in time: before
// they are due, or before their callers leave if they were started before. The lanes may crash
// again as soon as they are back, so a job that would be late anyway hardly gains by waiting, and
// those that wait would all be started at the same moment.
func (c *Coordinator) refuseConfined(now time.Time) []Effect {
	if !c.quarantine.AnyConfined() {
		return nil
	}
	var effects []Effect
	ahead := make(map[string]time.Duration)
	for _, j := range slices.Clone(c.waiting) {
		if !c.confined(j) || j.hasActive() {
			continue
		}
		limit := j.deadline
		if !j.started && j.due.Before(limit) {
			limit = j.due
		}
		start, known := c.expectedStart(now, j, ahead[j.Queue.Service])
		if known && !start.Add(j.minRun()).After(limit) {
			ahead[j.Queue.Service] += j.work()
			continue
		}
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
