package executor

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

const (
	// queueShare is the part of a worker's processors, as a divisor, for which starts may
	// wait at the agent. Gateways do not see each other's starts, and ask for the same room;
	// a start that waits a moment for the next one costs less than a refusal and another
	// try.
	queueShare = 4
	// queueWait bounds the wait, so that a task moves on from a worker that frees no room.
	// It is in the order of the shortest tasks.
	queueWait = 50 * time.Millisecond
)

// queueable reports whether a start that finds no room may wait for it.
func (x *Executor) queueable(demand specifier.Resources) bool {
	capacity := x.worker.report.Capacity
	return demand.FitsIn(capacity) && (x.queued.CPU+demand.CPU)*queueShare <= capacity.CPU
}

// enqueue lets a start wait for room.
func (x *Executor) enqueue(run RunID, o *owner, e *execution) {
	e.phase = queued
	x.queue = append(x.queue, run)
	x.queued = x.queued.Add(e.demand)
	o.share.queued = o.share.queued.Add(e.demand)
}

// dequeue takes a start out of the line.
func (x *Executor) dequeue(run RunID, e *execution) {
	x.queue = slices.DeleteFunc(x.queue, func(r RunID) bool { return r == run })
	x.queued = x.queued.Sub(e.demand)
	if o := x.ownerOf(e); o != nil {
		o.share.queued = o.share.queued.Sub(e.demand)
	}
}

// advance begins the runs in the line for which there is room now, oldest first.
func (x *Executor) advance(now time.Time) []Effect {
	var effects []Effect
	for _, run := range slices.Clone(x.queue) {
		e := x.runs[run]
		o := x.ownerOf(e)
		if o == nil || !x.takes(now, o) || !x.hasRoom(o, e.demand) {
			continue
		}
		x.dequeue(run, e)
		effects = append(effects, x.begin(now, run, o, e)...)
	}
	return effects
}

// expireQueue refuses the starts that have waited for too long.
func (x *Executor) expireQueue(now time.Time) []Effect {
	var effects []Effect
	for _, run := range slices.Clone(x.queue) {
		if e := x.runs[run]; now.Sub(e.began) >= queueWait {
			effects = append(effects, x.finish(now, run, e, Refused, NoRoom)...)
		}
	}
	return effects
}

// begin orders the worker to start a run for which there is room.
func (x *Executor) begin(now time.Time, run RunID, o *owner, e *execution) []Effect {
	e.phase, e.began = beginning, now
	x.take(o, e.demand)
	order := StartRun{Worker: x.worker.WorkerIncarnation, Run: run, Spec: e.spec, LeaseEnd: x.worker.until(now), Fence: x.worker.fence}
	return append(x.tellLarge(e.entry), order)
}

// takes reports whether a run of a gateway may begin now, room aside.
func (x *Executor) takes(now time.Time, o *owner) bool {
	w := x.worker
	return w != nil && w.usable() && !x.leaving && !w.report.Draining && now.Before(o.permitUntil) && !x.withholds(now)
}

// hasRoom reports whether a demand of a gateway fits into what is free for it.
func (x *Executor) hasRoom(o *owner, demand specifier.Resources) bool {
	return demand.FitsIn(x.worker.report.Capacity.Sub(x.used).Sub(x.reservedFor(o)))
}

// ownerOf returns the gateway of a run, unless that is gone or in another incarnation.
func (x *Executor) ownerOf(e *execution) *owner {
	if o := x.owners[e.entry]; o != nil && o.incarnation == e.incarnation {
		return o
	}
	return nil
}
