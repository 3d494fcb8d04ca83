package coordinator

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/load/ranker"
)

// speeds holds what placement by the speeds of workers needs. It addresses peaks at which all capacity
// of workers of different speeds is in use.
type speeds struct {
	// services holds the state of each service with workers or waiting jobs.
	services map[string]serviceSpeeds
	// needFast tells of the services that were looked at in the present placement pass whether a waiting job
	// is in time on a fast worker only.
	needFast map[string]bool
	// rackDemand is the CPU time, in seconds, of the recent jobs that want each rack, which decays with
	// time, and totalDemand the sum. decayedAt is when it last decayed.
	rackDemand  map[string]float64
	totalDemand float64
	decayedAt   time.Time
	// task, candidates and agents are the buffers of chooseAgent.
	task       ranker.Task
	candidates []ranker.Candidate
	agents     []*agent
}

// serviceSpeeds is what placement has to know of the workers of a service.
type serviceSpeeds struct {
	// mean is the mean of the learned speeds, or zero if there is none.
	mean float64
	// loaded is set while work waits, or hardly any capacity is free.
	loaded bool
	// fast and slow are the mean speeds of the fast workers and of the others. Fast is zero if there is
	// none.
	fast, slow float64
}

const (
	// fastFactor is the ratio to the mean speed below which a worker counts as fast. Learned speeds vary
	// by a tenth.
	fastFactor = 0.65
	// demandMemory is the time in which the demand for a rack decays to a third. With less than minDemand,
	// in seconds of CPU time, a rack is not wanted.
	demandMemory = 500 * time.Millisecond
	minDemand    = 0.1
	// freeDivisor is the inverse of the share of the capacity of a service below which hardly any is
	// free.
	freeDivisor = 10
)

// speedFactor returns the ratio of run times on an agent's worker to those on an average one: as the
// agent has learned it from the runs of all gateways, or else as this gateway has observed it.
func (c *Coordinator) speedFactor(a *agent) float64 {
	if c.speedKnown(a) {
		return a.status.Speed.Factor
	}
	return a.slowdown.Factor()
}

func (c *Coordinator) speedKnown(a *agent) bool {
	return c.Policy.WorkerSpeeds && a.status.Speed.Runs > 0 && a.status.Speed.Factor > 0
}

// remoteFrom reports whether an agent's worker is outside the rack of a job's data.
func (a *agent) remoteFrom(j *job) bool {
	return j.Rack != "" && !slices.Contains(a.status.Labels, j.Rack)
}

// expectedRunOn returns the expected run time of a job's tasks on an agent's worker.
func (c *Coordinator) expectedRunOn(a *agent, j *job) time.Duration {
	run := float64(j.expectedRun) * c.speedFactor(a)
	if a.remoteFrom(j) {
		run *= c.Policy.RemoteRack()
	}
	return time.Duration(run)
}

// soundRun returns the expected run time by which a run that has ended shows that a worker is sound.
func (c *Coordinator) soundRun(a *agent, j *job) time.Duration {
	if !c.Policy.WorkerSpeeds {
		return j.expectedRun
	}
	return max(c.expectedRunOn(a, j), j.expectedRun)
}

// overdueRun returns the expected run time by which a run at an agent is overdue.
func (c *Coordinator) overdueRun(a *agent, j *job) time.Duration {
	if !c.Policy.WorkerSpeeds {
		return time.Duration(float64(j.expectedRun) * max(a.slowdown.Factor(), 1))
	}
	return c.soundRun(a, j)
}

// announcedRun returns the expected run time that a start tells the agent, from which it learns the
// speed of its worker. It is zero outside the rack of the job's data: such a run is slowed by the
// distance.
func (c *Coordinator) announcedRun(a *agent, j *job) time.Duration {
	if !c.Policy.WorkerSpeeds || a.remoteFrom(j) {
		return 0
	}
	return j.expectedRun
}

// observe adds the run time of a task to the estimates for its queue and for the worker.
// A task that ran outside the rack of its data is left out: it was slowed by the distance,
// so its run time says nothing about the queue or the worker. The run times of a queue whose tasks
// mostly go to workers of one speed are converted to those on an average worker. The mean of the
// speeds is part of that: without it, queue and speeds could drift in opposite directions. It is that of the
// service: if estimates of one service are too high and those of another too low, the mean of both would
// leave them so.
func (c *Coordinator) observe(a *agent, j *job, took time.Duration) {
	if a.remoteFrom(j) {
		return
	}
	a.slowdown.Observe(took, j.expectedRun)
	if mean := c.speeds.services[j.Queue.Service].mean; c.speedKnown(a) && mean > 0 {
		took = time.Duration(float64(took) * mean / a.status.Speed.Factor)
	}
	c.estimator.Observe(j.Queue.Name, j.Estimate, took)
}

// rankedTask describes a job's tasks to the ranker.
func (c *Coordinator) rankedTask(now time.Time, j *job) *ranker.Task {
	t := &c.speeds.task
	*t = ranker.Task{Waited: now.Sub(j.arrived), Expected: j.expectedRun, Stretch: j.Queue.Stretch, Base: j.Queue.BaseObjective}
	if c.Policy.WorkerSpeeds {
		s := c.speeds.services[j.Queue.Service]
		t.Loaded = s.loaded
		if j.Label == "" {
			// The workers with a label may all be of one speed: no task waits for another one there.
			t.Fast, t.Slow = s.fast, s.slow
		}
	}
	if t.Loaded && t.Fast > 0 {
		t.OthersNeedFast = c.othersNeedFast(now, j.Queue.Service)
	}
	return t
}

// othersNeedFast reports whether a waiting job of a service is in time on a fast worker only.
func (c *Coordinator) othersNeedFast(now time.Time, service string) bool {
	need, checked := c.speeds.needFast[service]
	if checked {
		return need
	}
	s := c.speeds.services[service]
	need = slices.ContainsFunc(c.waiting, func(j *job) bool {
		t := ranker.Task{Waited: now.Sub(j.arrived), Expected: j.expectedRun, Stretch: j.Queue.Stretch, Base: j.Queue.BaseObjective, Fast: s.fast, Slow: s.slow}
		return j.Queue.Service == service && t.NeedsFast()
	})
	if c.speeds.needFast == nil {
		c.speeds.needFast = make(map[string]bool)
	}
	c.speeds.needFast[service] = need
	return need
}

// updateSpeeds updates the mean speeds of the workers, the services that are under load, and the racks
// that waiting jobs want.
func (c *Coordinator) updateSpeeds(now time.Time) {
	if !c.Policy.WorkerSpeeds {
		return
	}
	c.decayDemand(now)
	// Sorted, because the sum of floating-point numbers depends on their order.
	agents := c.sortedAgents()
	type use struct {
		capacity, free  int
		all, fast, slow mean
	}
	uses := make(map[string]*use)
	for _, a := range agents {
		a.inWantedRack = len(c.speeds.rackDemand) > 0 && slices.ContainsFunc(a.status.Labels, c.wanted)
		u := uses[a.status.Service]
		if u == nil {
			u = &use{}
			uses[a.status.Service] = u
		}
		if c.speedKnown(a) {
			u.all.add(a.status.Speed.Factor)
		}
	}
	for _, a := range agents {
		if !a.attached || !c.available(a) {
			continue
		}
		u := uses[a.status.Service]
		u.capacity += a.status.Capacity.CPU
		u.free += max(a.freeCapacity().CPU, 0)
		if factor := c.speedFactor(a); factor < fastFactor*u.all.value() {
			u.fast.add(factor)
		} else {
			u.slow.add(factor)
		}
	}
	if c.speeds.services == nil {
		c.speeds.services = make(map[string]serviceSpeeds)
	}
	clear(c.speeds.services)
	for service, u := range uses {
		c.speeds.services[service] = serviceSpeeds{u.all.value(), u.free*freeDivisor < u.capacity, u.fast.value(), u.slow.value()}
	}
	for _, j := range c.waiting {
		s := c.speeds.services[j.Queue.Service]
		s.loaded = true
		c.speeds.services[j.Queue.Service] = s
	}
}

// mean adds up numbers.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(x float64) {
	m.sum += x
	m.n++
}

// value returns the mean, or zero without any number.
func (m *mean) value() float64 {
	return m.sum / float64(max(m.n, 1))
}

// noteWanted records that a job wants the rack of its data.
func (c *Coordinator) noteWanted(j *job) {
	if !c.Policy.WorkerSpeeds || j.Rack == "" {
		return
	}
	if c.speeds.rackDemand == nil {
		c.speeds.rackDemand = make(map[string]float64)
	}
	if c.speeds.decayedAt.IsZero() {
		c.speeds.decayedAt = j.arrived
	}
	c.speeds.rackDemand[j.Rack] += taskWork(j).Seconds() * float64(j.Tasks)
}

// wanted reports whether a rack has the data of a hot key: its share of the demand for racks is more
// than twice that of an average one.
func (c *Coordinator) wanted(rack string) bool {
	return c.speeds.rackDemand[rack]*float64(len(c.speeds.rackDemand)+1) >= 2*c.speeds.totalDemand
}

// decayDemand lets the demand for racks decay with time.
func (c *Coordinator) decayDemand(now time.Time) {
	decay := math.Exp(-max(now.Sub(c.speeds.decayedAt), 0).Seconds() / demandMemory.Seconds())
	c.speeds.decayedAt, c.speeds.totalDemand = now, 0
	for _, rack := range slices.Sorted(maps.Keys(c.speeds.rackDemand)) {
		demand := c.speeds.rackDemand[rack] * decay
		if demand < minDemand {
			delete(c.speeds.rackDemand, rack)
			continue
		}
		c.speeds.rackDemand[rack] = demand
		c.speeds.totalDemand += demand
	}
}
