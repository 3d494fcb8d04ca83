package executor

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

const (
	// queueDivisor is the part of a worker's processors, as a divisor, for which starts may
	// wait at the agent. Gateways do not see each other's starts, and ask for the same room;
	// a start that waits a moment for the next one costs less than a refusal and another
	// try.
	queueDivisor = 4
	// maxQueueWait bounds the wait, so that a task moves on from a worker that frees no room.
	// It is in the order of the shortest tasks.
	maxQueueWait = 50 * time.Millisecond
)

// queueable reports whether a start that finds no room may wait for it.
func (x *Executor) queueable(demand specifier.Resources) bool {
	capacity := x.worker.report.Capacity
	return demand.FitsIn(capacity) && (x.queuedDemand.CPU+demand.CPU)*queueDivisor <= capacity.CPU
}

// enqueue lets a start wait for room.
func (x *Executor) enqueue(run RunID, o *gatewayState, e *execution) {
	e.phase = queued
	x.queue = append(x.queue, run)
	x.queuedDemand = x.queuedDemand.Add(e.demand)
	o.usage.queuedDemand = o.usage.queuedDemand.Add(e.demand)
}

// dequeue takes a start out of the line.
func (x *Executor) dequeue(run RunID, e *execution) {
	x.queue = slices.DeleteFunc(x.queue, func(r RunID) bool { return r == run })
	x.queuedDemand = x.queuedDemand.Sub(e.demand)
	if o := x.gatewayOf(e); o != nil {
		o.usage.queuedDemand = o.usage.queuedDemand.Sub(e.demand)
	}
}

// startQueued begins the runs in the line for which there is room now, oldest first.
func (x *Executor) startQueued(now time.Time) []Effect {
	var effects []Effect
	for _, run := range slices.Clone(x.queue) {
		e := x.runs[run]
		o := x.gatewayOf(e)
		if o == nil || !x.mayStart(now, o) || !x.hasRoom(o, e.demand) {
			continue
		}
		x.dequeue(run, e)
		effects = append(effects, x.startRun(now, run, o, e)...)
	}
	return effects
}

// expireQueue refuses the starts that have waited for too long.
func (x *Executor) expireQueue(now time.Time) []Effect {
	var effects []Effect
	for _, run := range slices.Clone(x.queue) {
		if e := x.runs[run]; now.Sub(e.since) >= maxQueueWait {
			effects = append(effects, x.finish(now, run, e, Refused, NoRoom)...)
		}
	}
	return effects
}

// startRun orders the worker to start a run for which there is room.
func (x *Executor) startRun(now time.Time, run RunID, o *gatewayState, e *execution) []Effect {
	e.phase, e.since = starting, now
	x.allocate(o, e.demand)
	order := StartRun{Worker: x.worker.WorkerIncarnation, Run: run, Spec: e.spec, LeaseEnd: x.worker.extendLease(now), Fence: x.worker.fence}
	return append(x.sendLargeChanges(e.gateway), order)
}

// mayStart reports whether a run of a gateway may begin now, room aside.
func (x *Executor) mayStart(now time.Time, o *gatewayState) bool {
	w := x.worker
	return w != nil && w.usable() && !x.draining && !w.report.Draining && now.Before(o.permitExpiry) && !x.leaseBlocked(now)
}

// hasRoom reports whether a demand of a gateway fits into what is free for it.
func (x *Executor) hasRoom(o *gatewayState, demand specifier.Resources) bool {
	return demand.FitsIn(x.worker.report.Capacity.Sub(x.used).Sub(x.reservedFor(o)))
}

// gatewayOf returns the gateway of a run, unless that is gone or in another incarnation.
func (x *Executor) gatewayOf(e *execution) *gatewayState {
	if o := x.gateways[e.gateway]; o != nil && o.incarnation == e.incarnation {
		return o
	}
	return nil
}
