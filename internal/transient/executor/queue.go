package executor

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

const (
	// Queued runs may together demand 1/queueDivisor of the worker's CPU capacity. Gateways
	// do not see each other's starts and compete for the same capacity; waiting briefly
	// costs less than a refusal and another attempt.
	queueDivisor = 4
	// maxQueueWait limits the wait, so that a task can go to another worker if this one
	// frees no capacity. It is about the run time of the shortest tasks.
	maxQueueWait = 50 * time.Millisecond
)

// queueable reports whether a run for which there is no free capacity may be queued.
func (x *Executor) queueable(demand specifier.Resources) bool {
	capacity := x.worker.report.Capacity
	return demand.FitsIn(capacity) && (x.queuedDemand.CPU+demand.CPU)*queueDivisor <= capacity.CPU
}

// enqueue adds a run to the queue.
func (x *Executor) enqueue(run RunID, g *gatewayState, e *execution) {
	e.phase = queued
	i := slices.IndexFunc(x.queue, func(other RunID) bool { return x.runs[other].priority > e.priority })
	if i < 0 {
		i = len(x.queue)
	}
	x.queue = slices.Insert(x.queue, i, run)
	x.queuedDemand = x.queuedDemand.Add(e.demand)
	g.usage.queuedDemand = g.usage.queuedDemand.Add(e.demand)
}

// dequeue removes a run from the queue.
func (x *Executor) dequeue(run RunID, e *execution) {
	x.queue = slices.DeleteFunc(x.queue, func(r RunID) bool { return r == run })
	x.queuedDemand = x.queuedDemand.Sub(e.demand)
	if g := x.gatewayOf(e); g != nil {
		g.usage.queuedDemand = g.usage.queuedDemand.Sub(e.demand)
	}
}

// startQueued starts the queued runs that fit into the free capacity, in their order.
func (x *Executor) startQueued(now time.Time) []Effect {
	if x.Evacuated() {
		return x.refuseQueue(now, Evacuated)
	}
	var effects []Effect
	for _, run := range slices.Clone(x.queue) {
		e := x.runs[run]
		g := x.gatewayOf(e)
		if g == nil || !x.mayStart(now, g) || !x.hasRoom(g, e.demand) {
			continue
		}
		x.dequeue(run, e)
		effects = append(effects, x.startRun(now, run, g, e)...)
	}
	return effects
}

// expireQueue refuses the runs that have been queued for maxQueueWait.
func (x *Executor) expireQueue(now time.Time) []Effect {
	var effects []Effect
	for _, run := range slices.Clone(x.queue) {
		if e := x.runs[run]; now.Sub(e.since) >= maxQueueWait {
			effects = append(effects, x.finish(now, run, e, Refused, NoRoom, Evidence{QueueExpired, now.Sub(e.since)})...)
		}
	}
	return effects
}

// startRun allocates capacity for a run and orders the worker to start it.
func (x *Executor) startRun(now time.Time, run RunID, g *gatewayState, e *execution) []Effect {
	e.phase, e.since = starting, now
	x.allocate(g, e.demand)
	order := StartRun{Worker: x.worker.WorkerIncarnation, Run: run, Spec: e.spec, LeaseEnd: x.worker.extendLease(now), Fence: x.worker.fence, Sent: now}
	return append(x.sendLargeChanges(e.gateway), order)
}

// mayStart reports whether runs of a gateway may start now, apart from free capacity.
func (x *Executor) mayStart(now time.Time, g *gatewayState) bool {
	w := x.worker
	return w != nil && w.usable() && !x.draining && !w.report.Draining && now.Before(g.permitExpiry) && !x.leaseBlocked(now) && x.workerChecked(now)
}

// hasRoom reports whether a demand fits into the capacity that is free for a gateway.
func (x *Executor) hasRoom(g *gatewayState, demand specifier.Resources) bool {
	return x.worker != nil && demand.FitsIn(x.worker.report.Capacity.Sub(x.used).Sub(x.reservedForOthers(g)))
}

// gatewayOf returns the gateway of a run, or nil if the gateway has restarted since.
func (x *Executor) gatewayOf(e *execution) *gatewayState {
	if g := x.gateways[e.gateway]; g != nil && g.incarnation == e.incarnation {
		return g
	}
	return nil
}
