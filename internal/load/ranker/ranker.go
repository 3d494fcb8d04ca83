// Package ranker decides which of the workers with free capacity gets a task. It does no I/O and reads
// no clock.
package ranker

import (
	"cmp"
	"slices"
	"time"
)

// Task is a task that waits for a worker.
type Task struct {
	// Loaded is set under load: while work waits, or hardly any capacity is free.
	Loaded bool
	// Waited is the time since the job of the task arrived, and Expected its expected run time on an
	// average worker.
	Waited, Expected time.Duration
	// The latency objective of the job is Stretch times the run time of its longest task, plus Base.
	Stretch float64
	Base    time.Duration
	// Fast and Slow are the mean speeds of the fast workers and of the others, as ratios of run times: the
	// less, the faster. Fast is zero if all workers are about equally fast. Slow is zero if no speed is known
	// or there is no other worker to wait for, and the task does not wait on purpose then.
	Fast, Slow float64
	// OthersNeedFast is set if other waiting tasks are in time on a fast worker only.
	OthersNeedFast bool
}

// Candidate is a worker that can take a task.
type Candidate struct {
	// Name orders candidates that are equal otherwise.
	Name string
	// Run is the expected run time of the task on the worker.
	Run time.Duration
	// Load is the cost of the worker's load and distance.
	Load time.Duration
	// Penalty ranks the worker behind others for this task, for example after a loss there.
	Penalty time.Duration
	// Speed is the ratio of run times on the worker to those on an average one.
	Speed float64
	// Remote is set if the worker is outside the rack of the task's data, where the task uses its
	// capacity for longer.
	Remote bool
	// Wanted is set if the worker is in a rack that other tasks want and this one does not.
	Wanted bool
	// Capacity is the CPU capacity of the worker, in millicores.
	Capacity int
}

// ends returns the cost by which workers are ranked without load: the time until the task has ended
// there, and penalties.
func (c *Candidate) ends() time.Duration {
	return c.Run + c.Load + c.Penalty
}

const (
	// maxWait is how long a task may wait for a better worker than those with free capacity.
	maxWait = 20 * time.Millisecond
	// roughness is how far the run time of a task may be below or above the expected one. Callers'
	// estimates are 40 % off, and the run time is part of the objective too: of a task that is shorter
	// than expected, the objective leaves less time to wait and to run longer on a slow worker.
	roughness = 0.6
	// yieldReserve is the time that a task must have left to wait for a slow worker before it leaves a fast
	// one to others. With less, too many of the shortest tasks become late.
	yieldReserve = 80 * time.Millisecond
)

// fits reports whether the task is expected to end before it is due if it waits for a time in all and
// then runs for another, allowing for rough estimates.
func (t *Task) fits(waited, run time.Duration) bool {
	slack := t.Stretch*t.Expected.Seconds() - run.Seconds()
	if slack > 0 {
		slack *= roughness
	} else {
		slack /= roughness
	}
	return waited.Seconds() <= slack+t.Base.Seconds()
}

// InTime reports whether the task is expected to end on a worker before it is due.
func (t *Task) InTime(c *Candidate) bool {
	return t.fits(t.Waited+c.Penalty, c.Run)
}

// runAt returns the expected run time on workers of a speed, in the rack of the task's data.
func (t *Task) runAt(speed float64) time.Duration {
	return time.Duration(float64(t.Expected) * speed)
}

// NeedsFast reports whether the task is expected to end before it is due on a fast worker only.
func (t *Task) NeedsFast() bool {
	return t.Fast > 0 && !t.fits(t.Waited, t.runAt(t.Slow)) && t.fits(t.Waited, t.runAt(t.Fast))
}

// canYield reports whether the task is in time on a slow worker that is free later, so that it can leave
// a fast worker or one in a wanted rack to others.
func (t *Task) canYield() bool {
	return t.fits(t.Waited+yieldReserve, t.runAt(t.Slow))
}

// isFast reports whether a worker counts as a fast one.
func (t *Task) isFast(c *Candidate) bool {
	return 2*c.Speed < t.Fast+t.Slow
}

// canWait reports whether the task would be in time on a better worker that is free later, and end
// there before it ends on c. Better is one in the rack of the task's data, or under load a fast one: if all
// workers are about equally fast, the next free one is as likely slower as faster than c.
func (t *Task) canWait(c *Candidate) bool {
	if t.Slow == 0 || !c.Remote && (!t.Loaded || t.Fast == 0) || t.InTime(c) {
		return false
	}
	run := t.runAt(cmp.Or(t.Fast, t.Slow))
	return t.fits(t.Waited+maxWait, run) && maxWait+run < c.Run
}

// Best returns the index of the candidate that gets the task, or -1 if there is none. It reports wait
// if there is one, but the task should wait for a better one.
//
// Without load, the task goes to the worker where it ends first, and to one in a wanted rack only if it
// is in time on no other. Under load, it goes to the one that others need least, of the workers on which it ends before it is due: one in the rack of its data, a
// slow one before a fast one, one outside a wanted rack before one in it, a narrow one before a wide
// one. This leaves fast workers, wanted racks and large free capacities to the tasks that are in time
// only there. A task that would be in time on none goes where it ends first.
func Best(t *Task, candidates []Candidate) (best int, wait bool) {
	best = -1
	bestInTime, yields := false, t.Loaded && t.Slow > 0 && t.canYield()
	sparesRacks := !t.Loaded && t.Slow > 0 && slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Wanted })
	for i := range candidates {
		c := &candidates[i]
		if yields && (t.OthersNeedFast && t.isFast(c) || c.Wanted) {
			wait = true
			continue
		}
		inTime := (t.Loaded || sparesRacks && !c.Wanted) && t.InTime(c)
		if best < 0 || t.compare(c, &candidates[best], inTime, bestInTime) < 0 {
			best, bestInTime = i, inTime
		}
	}
	if best >= 0 && !bestInTime && t.canWait(&candidates[best]) {
		return -1, true
	}
	return best, wait && best < 0
}

// compare orders candidates, the better one first. Candidates in a wanted rack count as not in time
// without load. The order must not depend on pairs of candidates, because it would depend on the order in
// which they are listed then.
func (t *Task) compare(c, o *Candidate, inTime, otherInTime bool) int {
	if order := compareBool(otherInTime, inTime); order != 0 {
		return order
	}
	if inTime && t.Loaded {
		order := cmp.Or(
			compareBool(c.Remote, o.Remote),
			compareBool(t.isFast(c), t.isFast(o)),
			compareBool(c.Wanted, o.Wanted),
			cmp.Compare(c.Load, o.Load),
			cmp.Compare(c.Capacity, o.Capacity),
		)
		if order != 0 {
			return order
		}
	}
	return cmp.Or(cmp.Compare(c.ends(), o.ends()), cmp.Compare(c.Name, o.Name))
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
