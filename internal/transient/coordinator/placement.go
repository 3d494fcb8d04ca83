package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/load/ranker"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// maxSkipped is the number of jobs without enough free capacity after which a placement pass
// ends. A task with a smaller demand may fit where the first one does not, but to try all
// waiting jobs takes too long under peak load.
const maxSkipped = 16

// compareUrgency orders waiting jobs when a burst exceeds the capacity: first those that are
// not late, then by the priority of the queue, those that are begun first, then by due time.
func compareUrgency(a, b *job) int {
	return cmp.Or(
		compareBool(a.late, b.late),
		cmp.Compare(a.rank(), b.rank()),
		compareBool(b.begun, a.begun),
		a.due.Compare(b.due),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// markLate moves the waiting jobs that can no longer meet their latency objective behind the
// others, unless half of their tasks have been started. When a burst of all classes exceeds
// the capacity, late jobs that are placed first make further jobs late; but what a job has
// used already is lost if the rest of it comes too late for its caller.
func (c *Coordinator) markLate(now time.Time) {
	var late []*job
	for _, j := range c.waiting {
		if !j.late && 2*len(j.pending) > j.Tasks && now.Add(j.expectedRun).After(j.due) {
			late = append(late, j)
		}
	}
	c.markBegun(late)
	for _, j := range late {
		c.dequeue(j)
		j.late = true
		c.enqueue(j)
	}
}

// enqueue inserts a job into waiting, unless it is there.
func (c *Coordinator) enqueue(j *job) {
	if i, found := slices.BinarySearchFunc(c.waiting, j, compareUrgency); !found {
		c.waiting = slices.Insert(c.waiting, i, j)
		c.undecided = c.undecided || !j.started
	}
}

// dequeue removes a job from waiting.
func (c *Coordinator) dequeue(j *job) {
	if i, found := slices.BinarySearchFunc(c.waiting, j, compareUrgency); found {
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
}

// place starts pending tasks at agents with free capacity, most urgent jobs first.
func (c *Coordinator) place(now time.Time) []Effect {
	if c.paused(now) || now.Before(c.resumeAt) {
		return nil
	}
	effects := c.checkCallers(now)
	clear(c.speeds.needFast)
	var unmet []requirement
	for i, skipped := 0, 0; i < len(c.waiting) && skipped < maxSkipped; {
		j := c.waiting[i]
		required := c.requirement(j)
		if !slices.ContainsFunc(unmet, required.exceeds) {
			starts, full, left := c.placeJob(now, j)
			effects = append(effects, starts...)
			if left {
				// Removes the job from c.waiting.
				effects = append(effects, c.end(now, j, j.abandonedAnswer(), CauseConnectionClosed)...)
				continue
			}
			if len(j.pending) == 0 {
				c.waiting = slices.Delete(c.waiting, i, i+1)
				continue
			}
			if full {
				unmet = append(unmet, required)
			}
		}
		if !required.confined {
			skipped++
		}
		i++
	}
	effects = append(effects, c.refuseArrived(now)...)
	return append(effects, c.sendBacklog(now)...)
}

// requirement is the part of a job that decides which agents can take its tasks.
type requirement struct {
	service, label string
	demand         specifier.Resources
	// confined is set if only the lanes of the service can take them.
	confined bool
}

// exceeds reports whether no agent can take a task with requirement r if none can take one
// with requirement unmet.
func (r requirement) exceeds(unmet requirement) bool {
	return r.service == unmet.service && r.label == unmet.label && r.confined == unmet.confined && unmet.demand.FitsIn(r.demand)
}

func (c *Coordinator) requirement(j *job) requirement {
	return requirement{j.Queue.Service, j.Label, j.Demand, c.confined(j)}
}

// placeJob starts pending tasks of a job until no agent has the capacity for the next one, and
// reports whether that is so. Suspects that have to wait for other suspects, and tasks that have to
// wait for another run, do not hold up the tasks behind them. It starts nothing and reports left if the caller of the job has left.
func (c *Coordinator) placeJob(now time.Time, j *job) (effects []Effect, full, left bool) {
	var held []int
	var lanes []*agent
	confined := c.confined(j)
	if confined {
		lanes = c.lanesFor(j)
	}
	for i, index := range j.pending {
		t := &j.tasks[index]
		a, wait := c.chooseAgent(now, j, index, func(a *agent) bool {
			return c.allows(now, t, a.name) && (!confined || slices.Contains(lanes, a) || t.asks(a))
		})
		switch {
		case a != nil && len(effects) == 0 && !c.callerWaits(j):
			return nil, false, true
		case a != nil:
			effects = append(effects, c.startTask(now, a, j, index))
		case c.suspected(j, index), c.held(now, t):
			held = append(held, index)
		default:
			j.pending = append(held, j.pending[i:]...)
			return effects, !wait, false
		}
	}
	j.pending = held
	return effects, false, false
}

// startTask sends a task to an agent as a new run. Run numbers follow the clock, so that
// a job that is submitted again to another gateway or after a restart gets higher ones.
func (c *Coordinator) startTask(now time.Time, a *agent, j *job, index int) Effect {
	c.lastNumber = max(c.lastNumber+1, uint64(now.UnixMicro()))
	t := &j.tasks[index]
	t.run = executor.RunID{Job: j.ID, Index: index, Number: c.lastNumber}
	t.agent, t.startSent, t.active, t.stopping, t.moved = a.name, now, true, false, false
	if len(a.runs) == 0 {
		a.busySince = now
	}
	a.runs[t.run] = j
	a.used = a.used.Add(j.Demand)
	c.forecaster.Started(now, taskWork(j))
	if c.Policy.SharedBacklog {
		c.backlogs.noteStarted(j)
	}
	c.noteStarted(now, j)
	j.started, j.lastStart = true, now
	j.starts++
	return Send{a.name, &executor.Start{Run: t.run, Queue: j.Queue.Name, Service: j.Queue.Service, Spec: j.Spec, Demand: j.Demand, Priority: j.Queue.Priority, Permit: a.grantPermit(now), Expected: c.announcedRun(a, j), WorkerStartedAt: a.status.Worker.StartedAt}}
}

// chooseAgent returns the agent that is ranked first for a task among those that mayTake accepts,
// or nil if none can take it. It reports wait if one could, but the task should wait for a better one.
func (c *Coordinator) chooseAgent(now time.Time, j *job, index int, mayTake func(*agent) bool) (best *agent, wait bool) {
	candidates, agents := c.speeds.candidates[:0], c.speeds.agents[:0]
	suspected := c.suspected(j, index)
	for _, a := range c.agents {
		if !mayTake(a) || !a.admits(now, j) || c.evacuated(a) && !j.tasks[index].asks(a) || suspected && c.runsSuspect(a) {
			continue
		}
		candidate := c.candidate(a, j, &j.tasks[index])
		candidate.Penalty += c.returnCost(now, a, j.Demand)
		if suspected {
			candidate.Penalty += suspectCost(now, a, j, index)
		}
		candidates, agents = append(candidates, candidate), append(agents, a)
	}
	c.speeds.candidates, c.speeds.agents = candidates, agents
	if len(candidates) == 0 {
		return nil, false
	}
	t := c.rankedTask(now, j)
	i, wait := ranker.Best(t, candidates)
	if wait && !c.rackServed(now, j) {
		t.Slow = 0
		i, wait = ranker.Best(t, candidates)
	}
	if i < 0 {
		return nil, wait
	}
	return agents[i], false
}

// rackServed reports whether a worker in the rack of a job's data takes tasks, if the job wants one. A task
// does not wait for a rack whose workers have all left.
func (c *Coordinator) rackServed(now time.Time, j *job) bool {
	if j.Rack == "" {
		return true
	}
	for _, a := range c.agents {
		if !a.remoteFrom(j) && a.takesWork(now, j) && !c.evacuated(a) {
			return true
		}
	}
	return false
}

const (
	// crossZoneLatency is the round-trip time to an agent in another data centre.
	crossZoneLatency = 2 * time.Millisecond
	// fullLoadCost is the cost added for a fully used worker, and in proportion below that.
	// The less capacity is free, the likelier it is that another gateway takes it at the
	// same moment, so that the start is refused and retried elsewhere.
	fullLoadCost = 20 * time.Millisecond
	// avoidancePenalty ranks the agent at which the task was lost last behind all others.
	avoidancePenalty = time.Minute
)

// candidate describes an agent's worker to the ranker, with penalties for an earlier loss there.
func (c *Coordinator) candidate(a *agent, j *job, t *task) ranker.Candidate {
	remote := a.remoteFrom(j)
	r := ranker.Candidate{
		Name: string(a.name), Run: c.expectedRunOn(a, j), Speed: c.speedFactor(a),
		Remote: remote, Wanted: a.inWantedRack && (j.Rack == "" || remote), Capacity: a.status.Capacity.CPU,
	}
	used := a.status.UsedByOthers.Add(a.used).CPU
	r.Load = fullLoadCost * time.Duration(used) / time.Duration(max(a.status.Capacity.CPU, 1))
	if a.status.Zone != c.Zone {
		r.Load += crossZoneLatency
	}
	if t.avoidAgent == a.name {
		r.Penalty += avoidancePenalty
	}
	if c.lanes.chosen[a] && !c.confined(j) {
		r.Penalty += lanePenalty
	}
	return r
}

// admits reports whether a task of the job can be sent to the agent now.
func (a *agent) admits(now time.Time, j *job) bool {
	return a.takesWork(now, j) && j.Demand.FitsIn(a.freeCapacity())
}

// takesWork reports whether the agent takes tasks like those of the job, its free capacity aside.
func (a *agent) takesWork(now time.Time, j *job) bool {
	return a.attached && !a.released && !now.Before(a.withheldUntil) && a.lastRequest > 0 && a.status.Available && !a.status.Stalled && a.serves(j) && a.health.admits(now, len(a.runs)) && j.Demand.FitsIn(a.status.Capacity)
}

// serves reports whether the agent's worker has the service and the label that the job asks
// for.
func (a *agent) serves(j *job) bool {
	return a.status.Service == j.Queue.Service && (j.Label == "" || slices.Contains(a.status.Labels, j.Label))
}

// freeCapacity returns the capacity of the worker that is free for this gateway.
func (a *agent) freeCapacity() specifier.Resources {
	return a.status.Capacity.Sub(a.status.UsedByOthers).Sub(a.used)
}

// unplaceableCause returns why no known worker could ever run a job, or an empty string if
// one could or none of the service is known. Labels are not considered: a worker with the
// right label may still join.
func (c *Coordinator) unplaceableCause(j *specifier.Job) string {
	known := false
	for _, a := range c.agents {
		if !a.attached || a.status.Service != j.Queue.Service {
			continue
		}
		known = true
		if j.Demand.FitsIn(a.status.Capacity) {
			return ""
		}
	}
	if known {
		return "no_worker_is_large_enough"
	}
	return ""
}

// sortedAgents returns the agents, sorted by name.
func (c *Coordinator) sortedAgents() []*agent {
	agents := make([]*agent, 0, len(c.agents))
	for _, name := range slices.Sorted(maps.Keys(c.agents)) {
		agents = append(agents, c.agents[name])
	}
	return agents
}

// sortedJobs returns the jobs, sorted by identity.
func (c *Coordinator) sortedJobs() []*job {
	jobs := make([]*job, 0, len(c.jobs))
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		jobs = append(jobs, c.jobs[id])
	}
	return jobs
}

// sortedRuns returns the runs at an agent, oldest first.
func (a *agent) sortedRuns() []executor.RunID {
	return slices.SortedFunc(maps.Keys(a.runs), func(x, y executor.RunID) int { return cmp.Compare(x.Number, y.Number) })
}
