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
	w        *world
	agent    *agent
	id       string
	up, dark bool
	life     int
	born     time.Time
	sequence uint64

	fence   uint64
	lease   time.Time
	running map[executor.RunID]*work
	// barred is the highest number of each task that was stopped or has ended.
	barred map[string]uint64
	ended  []executor.EndedRun
	number int64
	// losing is the share of orders without an answer, of which half are carried out
	// late.
	losing float64
	hang   bool
}

// work is what a worker does for a run.
type work struct {
	began time.Time
	takes time.Duration
	// hangs is set when it makes no progress.
	hangs bool
}

func (w *work) percent(now time.Time) int {
	if w.hangs {
		return 0
	}
	return int(100 * now.Sub(w.began) / w.takes)
}

const orderTimeout = 150 * time.Millisecond

func (k *worker) boot() {
	k.life++
	k.up, k.dark = true, false
	k.born = k.w.now.Truncate(time.Millisecond)
	k.fence, k.number, k.sequence = 0, 0, 0
	k.lease = time.Time{}
	k.running = make(map[executor.RunID]*work)
	k.barred = make(map[string]uint64)
	k.ended = nil
}

func (k *worker) crash(dark bool, down time.Duration) {
	if !k.up {
		return
	}
	k.w.note("fault worker %s crashed dark=%t", k.id, dark)
	k.up, k.dark = false, dark
	k.life++
	k.w.after(down, k.boot)
}

// leave ends the worker with a goodbye; another life comes later.
func (k *worker) leave(down time.Duration) {
	if !k.up {
		return
	}
	k.crash(false, 50*time.Millisecond+down)
	k.agent.later(time.Millisecond, k, func() { k.agent.perform(k.agent.x.WorkerLeft(k.w.now, k.id)) })
}

func (k *worker) report() executor.WorkerReport {
	return executor.WorkerReport{
		WorkerIncarnation: executor.WorkerIncarnation{Name: k.id, StartedAt: k.born},
		Service:           "counter",
		Capacity:          specifier.Resources{CPU: 4000},
		Clock:             k.w.now.Sub(k.born),
		Sequence:          k.sequence,
	}
}

// order carries a call to the worker and its reply back. Some get no answer, and some of
// those are carried out seconds later, perhaps by the next life.
func (k *worker) order(a *agent, what string, do func() executor.CallOutcome, reply func(executor.CallOutcome)) {
	delay := time.Duration(100+k.w.random.IntN(900)) * time.Microsecond
	lost := k.w.random.Float64() < k.losing
	late := lost && k.w.random.IntN(2) == 0
	life := a.life
	k.w.after(delay, func() {
		switch {
		case !k.up && !k.dark:
			a.deliver(life, new(int), func() { reply(executor.Gone) })
		case !k.up || lost:
			if late {
				k.w.note("late %s at %s", what, k.id)
				k.w.after(2*time.Second+time.Duration(k.w.random.IntN(4000))*time.Millisecond, func() {
					if k.up {
						do()
					}
				})
			}
			k.w.after(orderTimeout, func() { a.deliver(life, new(int), func() { reply(executor.Silent) }) })
		default:
			r := do()
			k.w.after(delay, func() { a.deliver(life, new(int), func() { reply(r) }) })
		}
	})
}

func (k *worker) begin(b executor.StartRun) executor.CallOutcome {
	until := k.born.Add(b.LeaseEnd)
	if b.Worker.Name != k.id {
		return executor.Declined
	}
	if b.Fence < k.fence {
		return executor.StaleFence
	}
	// An order to an earlier life that comes before the first call of the agent to this one
	// meets no fence, and nothing that an agent does can keep it from being carried out.
	if k.fence == 0 && !b.Worker.StartedAt.Equal(k.born) {
		return executor.Declined
	}
	k.fence = b.Fence
	if k.running[b.Run] != nil {
		return executor.Accepted
	}
	if k.barred[taskOf(b.Run)] >= b.Run.Number {
		return executor.Declined
	}
	if until.Before(k.w.now) {
		// Where the time of a late order counts from its arrival, it does not protect, and
		// only the agent can bar the run. When that is away, nobody can.
		if !k.agent.up || k.agent.frozen {
			return executor.Declined
		}
		until = k.w.now.Add(executor.LeaseDuration)
	}
	takes := time.Duration(20+k.w.random.IntN(600)) * time.Millisecond
	k.running[b.Run] = &work{k.w.now, takes, k.hang}
	k.w.starts++
	k.w.note("worker %s starts %s", k.id, b.Run)
	k.w.checkTwice(k, b.Run)
	k.extend(until)
	life := k.life
	if !k.hang {
		k.w.after(takes, func() {
			if k.life == life {
				k.finish(b.Run, executor.Done)
			}
		})
	}
	return executor.Accepted
}

func (k *worker) extend(until time.Time) {
	if limit := k.w.now.Add(time.Second); until.After(limit) {
		until = limit
	}
	if !until.After(k.lease) {
		return
	}
	k.lease = until
	life := k.life
	k.w.after(until.Sub(k.w.now), func() {
		if k.life != life || k.lease.After(k.w.now) {
			return
		}
		for _, run := range k.list() {
			k.finish(run, executor.Lapsed)
		}
	})
}

func (k *worker) finish(run executor.RunID, how executor.Outcome) {
	if k.running[run] == nil {
		return
	}
	delete(k.running, run)
	k.barred[taskOf(run)] = max(k.barred[taskOf(run)], run.Number)
	k.number++
	k.ended = append(k.ended, executor.EndedRun{Number: k.number, Run: run, Outcome: how})
	k.w.note("worker %s ends %s %s", k.id, run, how)
}

func (k *worker) halt(h executor.StopRun) executor.CallOutcome {
	if h.Worker.Name != k.id {
		return executor.Declined
	}
	if h.Fence < k.fence {
		return executor.StaleFence
	}
	k.fence = h.Fence
	k.barred[taskOf(h.Run)] = max(k.barred[taskOf(h.Run)], h.Run.Number)
	life := k.life
	k.w.after(time.Duration(k.w.random.IntN(50))*time.Millisecond, func() {
		if k.life == life {
			k.finish(h.Run, executor.Stopped)
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
		until := k.born.Add(h.LeaseEnd)
		if until.Before(k.w.now) {
			until = k.w.now.Add(executor.LeaseDuration)
		}
		k.extend(until)
	}
	if !h.Worker.StartedAt.Equal(k.born) {
		return executor.HoldReply{}, executor.Restarted
	}
	held := executor.HoldReply{Clock: k.w.now.Sub(k.born)}
	for _, run := range k.list() {
		held.Running = append(held.Running, executor.RunProgress{Run: run, Percent: k.running[run].percent(k.w.now)})
	}
	for _, e := range k.ended {
		if e.Number > h.LastSeen {
			held.Ended = append(held.Ended, e)
		}
	}
	return held, executor.Accepted
}

// list returns what runs, in the order of the numbers.
func (k *worker) list() []executor.RunID {
	return slices.SortedFunc(maps.Keys(k.running), func(a, b executor.RunID) int { return cmp.Compare(a.Number, b.Number) })
}
