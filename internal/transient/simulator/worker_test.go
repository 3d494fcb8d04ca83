package simulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// worker is a worker of the platform: it keeps a lease, the highest fence, and what was
// stopped or has ended.
type worker struct {
	sim        *simulation
	agent    *agent
	id       string
	up, silent bool
	boots     int
	startedAt     time.Time
	sequence uint64

	fence   uint64
	lease   time.Time
	running map[executor.RunID]*execution
	// highestEnded is the highest number of each task that was stopped or has ended.
	highestEnded map[string]uint64
	ended  []executor.EndedRun
	number int64
	// lossRate is the share of orders without an answer, of which half are carried out
	// late.
	lossRate float64
	hanging   bool
}

// execution is what a worker does for a run.
type execution struct {
	startedAt time.Time
	duration time.Duration
	// hangs is set when it makes no progress.
	hangs bool
}

func (w *execution) percent(now time.Time) int {
	if w.hangs {
		return 0
	}
	return int(100 * now.Sub(w.startedAt) / w.duration)
}

const callTimeout = 150 * time.Millisecond

func (k *worker) boot() {
	k.boots++
	k.up, k.silent = true, false
	k.startedAt = k.sim.now.Truncate(time.Millisecond)
	k.fence, k.number, k.sequence = 0, 0, 0
	k.lease = time.Time{}
	k.running = make(map[executor.RunID]*execution)
	k.highestEnded = make(map[string]uint64)
	k.ended = nil
}

func (k *worker) crash(dark bool, down time.Duration) {
	if !k.up {
		return
	}
	k.sim.logf("fault worker %s crashed dark=%t", k.id, dark)
	k.up, k.silent = false, dark
	k.boots++
	k.sim.after(down, k.boot)
}

// leave ends the worker with a goodbye; another life comes later.
func (k *worker) leave(down time.Duration) {
	if !k.up {
		return
	}
	k.crash(false, 50*time.Millisecond+down)
	k.agent.schedule(time.Millisecond, k, func() { k.agent.perform(k.agent.executor.WorkerLeft(k.sim.now, k.id)) })
}

func (k *worker) report() executor.WorkerReport {
	return executor.WorkerReport{
		WorkerIncarnation: executor.WorkerIncarnation{Name: k.id, StartedAt: k.startedAt},
		Service:           "counter",
		Capacity:          specifier.Resources{CPU: 4000},
		Clock:             k.sim.now.Sub(k.startedAt),
		Sequence:          k.sequence,
	}
}

// call carries a call to the worker and its reply back. Some get no answer, and some of
// those are carried out seconds later, perhaps by the next life.
func (k *worker) call(a *agent, what string, do func() executor.CallOutcome, reply func(executor.CallOutcome)) {
	delay := time.Duration(100+k.sim.random.IntN(900)) * time.Microsecond
	lost := k.sim.random.Float64() < k.lossRate
	late := lost && k.sim.random.IntN(2) == 0
	life := a.boots
	k.sim.after(delay, func() {
		switch {
		case !k.up && !k.silent:
			a.deliver(life, new(int), func() { reply(executor.Gone) })
		case !k.up || lost:
			if late {
				k.sim.logf("late %s at %s", what, k.id)
				k.sim.after(2*time.Second+time.Duration(k.sim.random.IntN(4000))*time.Millisecond, func() {
					if k.up {
						do()
					}
				})
			}
			k.sim.after(callTimeout, func() { a.deliver(life, new(int), func() { reply(executor.Silent) }) })
		default:
			r := do()
			k.sim.after(delay, func() { a.deliver(life, new(int), func() { reply(r) }) })
		}
	})
}

func (k *worker) startRun(b executor.StartRun) executor.CallOutcome {
	until := k.startedAt.Add(b.LeaseEnd)
	if b.Worker.Name != k.id {
		return executor.Declined
	}
	if b.Fence < k.fence {
		return executor.StaleFence
	}
	// An order to an earlier life that comes before the first call of the agent to this one
	// meets no fence, and nothing that an agent does can keep it from being carried out.
	if k.fence == 0 && !b.Worker.StartedAt.Equal(k.startedAt) {
		return executor.Declined
	}
	k.fence = b.Fence
	if k.running[b.Run] != nil {
		return executor.Accepted
	}
	if k.highestEnded[taskOf(b.Run)] >= b.Run.Number {
		return executor.Declined
	}
	if until.Before(k.sim.now) {
		// Where the time of a late order counts from its arrival, it does not protect, and
		// only the agent can bar the run. When that is away, nobody can.
		if !k.agent.up || k.agent.frozen {
			return executor.Declined
		}
		until = k.sim.now.Add(executor.LeaseDuration)
	}
	takes := time.Duration(20+k.sim.random.IntN(600)) * time.Millisecond
	k.running[b.Run] = &execution{k.sim.now, takes, k.hanging}
	k.sim.starts++
	k.sim.logf("worker %s starts %s", k.id, b.Run)
	k.sim.checkSingleRun(k, b.Run)
	k.extend(until)
	life := k.boots
	if !k.hanging {
		k.sim.after(takes, func() {
			if k.boots == life {
				k.endRun(b.Run, executor.Done)
			}
		})
	}
	return executor.Accepted
}

func (k *worker) extend(until time.Time) {
	if limit := k.sim.now.Add(time.Second); until.After(limit) {
		until = limit
	}
	if !until.After(k.lease) {
		return
	}
	k.lease = until
	life := k.boots
	k.sim.after(until.Sub(k.sim.now), func() {
		if k.boots != life || k.lease.After(k.sim.now) {
			return
		}
		for _, run := range k.sortedRuns() {
			k.endRun(run, executor.Lapsed)
		}
	})
}

func (k *worker) endRun(run executor.RunID, how executor.Outcome) {
	if k.running[run] == nil {
		return
	}
	delete(k.running, run)
	k.highestEnded[taskOf(run)] = max(k.highestEnded[taskOf(run)], run.Number)
	k.number++
	k.ended = append(k.ended, executor.EndedRun{Number: k.number, Run: run, Outcome: how})
	k.sim.logf("worker %s ends %s %s", k.id, run, how)
}

func (k *worker) stopRun(h executor.StopRun) executor.CallOutcome {
	if h.Worker.Name != k.id {
		return executor.Declined
	}
	if h.Fence < k.fence {
		return executor.StaleFence
	}
	k.fence = h.Fence
	k.highestEnded[taskOf(h.Run)] = max(k.highestEnded[taskOf(h.Run)], h.Run.Number)
	life := k.boots
	k.sim.after(time.Duration(k.sim.random.IntN(50))*time.Millisecond, func() {
		if k.boots == life {
			k.endRun(h.Run, executor.Stopped)
		}
	})
	return executor.Accepted
}

func (k *worker) hold(h executor.Hold) (executor.HoldReply, executor.CallOutcome) {
	if h.Fence < k.fence {
		return executor.HoldReply{}, executor.StaleFence
	}
	k.fence = h.Fence
	if h.ExtendLease && len(k.running) > 0 {
		until := k.startedAt.Add(h.LeaseEnd)
		if until.Before(k.sim.now) {
			until = k.sim.now.Add(executor.LeaseDuration)
		}
		k.extend(until)
	}
	if !h.Worker.StartedAt.Equal(k.startedAt) {
		return executor.HoldReply{}, executor.Restarted
	}
	held := executor.HoldReply{Clock: k.sim.now.Sub(k.startedAt)}
	for _, run := range k.sortedRuns() {
		held.Running = append(held.Running, executor.RunProgress{Run: run, Percent: k.running[run].percent(k.sim.now)})
	}
	for _, e := range k.ended {
		if e.Number > h.LastSeen {
			held.Ended = append(held.Ended, e)
		}
	}
	return held, executor.Accepted
}

// sortedRuns returns what runs, in the order of the numbers.
func (k *worker) sortedRuns() []executor.RunID {
	return slices.SortedFunc(maps.Keys(k.running), func(a, b executor.RunID) int { return cmp.Compare(a.Number, b.Number) })
}
