package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// maxSkipped bounds how many jobs without room are looked at before a pass ends. A smaller
// task may fit where the first one does not; looking at all would cost too much time at
// the peak.
const maxSkipped = 16

// urgency orders waiting jobs: those that can still be answered when they are due before
// all others, then by the priority of the queue, then by when the answer is due.
func urgency(a, b *job) int {
	return cmp.Or(
		compareBool(a.late, b.late),
		cmp.Compare(a.Queue.Priority, b.Queue.Priority),
		a.due.Compare(b.due),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// markLate puts the waiting jobs that cannot be answered in time any more behind the
// others: room that they take makes more jobs late.
func (c *Coordinator) markLate(now time.Time) {
	var late []*job
	for _, j := range c.waiting {
		if !j.late && now.Add(j.expected).After(j.due) {
			late = append(late, j)
		}
	}
	for _, j := range late {
		c.dequeue(j)
		j.late = true
		c.enqueue(j)
	}
}

// enqueue puts a job in its place among those that wait.
func (c *Coordinator) enqueue(j *job) {
	if i, found := slices.BinarySearchFunc(c.waiting, j, urgency); !found {
		c.waiting = slices.Insert(c.waiting, i, j)
	}
}

func (c *Coordinator) dequeue(j *job) {
	if i, found := slices.BinarySearchFunc(c.waiting, j, urgency); found {
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
}

// place sends the tasks that wait to agents with room.
func (c *Coordinator) place(now time.Time) []Effect {
	if c.paused(now) || now.Before(c.resume) {
		return nil
	}
	var effects []Effect
	var unmet []need
	for i := 0; i < len(c.waiting) && i < maxSkipped; {
		j := c.waiting[i]
		if slices.Contains(unmet, j.need()) {
			i++
			continue
		}
		effects = append(effects, c.placeJob(now, j)...)
		if len(j.idle) > 0 {
			unmet = append(unmet, j.need())
			i++
			continue
		}
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
	return append(effects, c.tellWant()...)
}

// need is all that decides whether an agent has room for a task of a job. In one pass,
// what one job does not find is not there for the next with the same need.
type need struct {
	service, label string
	demand         specifier.Resources
}

func (j *job) need() need {
	return need{j.Queue.Service, j.Label, j.Demand}
}

func (c *Coordinator) placeJob(now time.Time, j *job) []Effect {
	var effects []Effect
	for len(j.idle) > 0 {
		index := j.idle[0]
		a := c.choose(now, j, &j.tasks[index])
		if a == nil {
			break
		}
		j.idle = j.idle[1:]
		effects = append(effects, c.send(now, a, j, index))
	}
	return effects
}

func (c *Coordinator) send(now time.Time, a *agent, j *job, index int) Effect {
	c.number = max(c.number+1, uint64(now.UnixMicro()))
	t := &j.tasks[index]
	t.run = executor.RunID{Job: j.ID, Index: index, Number: c.number}
	t.agent, t.sent, t.active, t.stopping = a.name, now, true, false
	a.runs[t.run] = j
	a.used = a.used.Add(j.Demand)
	j.begun, j.placed = true, now
	j.starts++
	return Send{a.name, &executor.Start{Run: t.run, Service: j.Queue.Service, Spec: j.Spec, Demand: j.Demand}}
}

// choose returns the agent where a task costs least time, or nil when none has room.
func (c *Coordinator) choose(now time.Time, j *job, t *task) *agent {
	var best *agent
	var bestCost time.Duration
	for _, a := range c.agents {
		if !a.admits(now, j) {
			continue
		}
		cost := c.cost(a, j, t)
		if best == nil || cost < bestCost || (cost == bestCost && a.name < best.name) {
			best, bestCost = a, cost
		}
	}
	return best
}

const (
	// farFactor is how many times as long a task runs outside the rack of its data.
	farFactor = 2
	// crossZone is the time to an agent in another data centre and back.
	crossZone = 2 * time.Millisecond
	// crowding is the cost of the last room of a worker: another gateway may take it at
	// the same moment, and then the start is refused and tried elsewhere.
	crowding = 20 * time.Millisecond
	// avoidance puts an agent where the task ended badly behind all others.
	avoidance = time.Minute
)

// cost returns the expected time until a task that is sent to an agent has ended.
func (c *Coordinator) cost(a *agent, j *job, t *task) time.Duration {
	run := float64(j.expected) * a.pace.factor()
	if j.Rack != "" && !slices.Contains(a.status.Labels, j.Rack) {
		run *= farFactor
	}
	cost := time.Duration(run)
	used := a.status.UsedByOthers.Add(a.used).CPU
	cost += crowding * time.Duration(used) / time.Duration(max(a.status.Capacity.CPU, 1))
	if a.status.Zone != c.Zone {
		cost += crossZone
	}
	if t.avoid == a.name {
		cost += avoidance
	}
	return cost
}

// admits reports whether a task of the job may go to the agent now.
func (a *agent) admits(now time.Time, j *job) bool {
	return a.attached && a.status.Available && !a.status.Stalled && a.suits(j) && a.health.admits(now, len(a.runs)) && j.Demand.FitsIn(a.free())
}

// suits reports whether a task of the job may ever go to the agent.
func (a *agent) suits(j *job) bool {
	return a.status.Service == j.Queue.Service && (j.Label == "" || slices.Contains(a.status.Labels, j.Label))
}

func (a *agent) free() specifier.Resources {
	return a.status.Capacity.Sub(a.status.UsedByOthers).Sub(a.used)
}

// hopeless returns why no worker could ever run a job, or nothing if one could.
func (c *Coordinator) hopeless(j *specifier.Job) string {
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

// tellWant tells the agents what waits here, when that has changed.
func (c *Coordinator) tellWant() []Effect {
	var want executor.Backlog
	if len(c.waiting) > 0 {
		want = executor.Backlog{Waiting: true, Priority: c.waiting[0].Queue.Priority}
	}
	var names []identifier.Agent
	for _, a := range c.agents {
		if a.attached && a.told != want {
			a.told = want
			names = append(names, a.name)
		}
	}
	slices.Sort(names)
	var effects []Effect
	for _, name := range names {
		effects = append(effects, Send{name, &want})
	}
	return effects
}

// sorted returns the agents by name.
func (c *Coordinator) sorted() []*agent {
	agents := make([]*agent, 0, len(c.agents))
	for _, name := range slices.Sorted(maps.Keys(c.agents)) {
		agents = append(agents, c.agents[name])
	}
	return agents
}

// order returns the jobs by their identities.
func (c *Coordinator) order() []*job {
	jobs := make([]*job, 0, len(c.jobs))
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		jobs = append(jobs, c.jobs[id])
	}
	return jobs
}

// order returns the runs at an agent by their numbers.
func (a *agent) order() []executor.RunID {
	return slices.SortedFunc(maps.Keys(a.runs), func(x, y executor.RunID) int { return cmp.Compare(x.Number, y.Number) })
}
