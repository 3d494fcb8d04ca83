// Package executor decides at an agent which runs its worker may begin, which must
// be stopped, and what becomes of each. It has no sockets, goroutines or clocks.
//
// A run is bound to the gateway that asked for it and goes on only while the agent
// holds a permit of that gateway. The worker in turn kills what it runs when the
// lease is over that the agent extends. So whatever stops answering, a run is over
// by a time that its gateway can work out.
package executor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// The times that gateways and agents must agree on.
const (
	// PermitDuration is how long runs go on after the question that was answered last
	// was sent. It bridges a connection that is reset and dialled anew.
	PermitDuration = 450 * time.Millisecond
	// LeaseDuration is how long a worker runs on after the last extension. A sound agent
	// extends it several times in that span.
	LeaseDuration = 450 * time.Millisecond
	// ExpiryMargin covers the drift of clocks and the pace of the sweeps.
	ExpiryMargin = 75 * time.Millisecond
	// RunsOverAfter is how long after a gateway has sent its last permit no run of that
	// agent can be at work any more.
	RunsOverAfter = PermitDuration + LeaseDuration + ExpiryMargin
)

const (
	// stopRetryInterval is the time between two orders to stop the same run.
	stopRetryInterval = 100 * time.Millisecond
	// endRetention is how long ends are kept for a gateway whose link broke.
	endRetention = 2 * time.Second
	// maxPendingRequests bounds the unanswered questions that are kept for a gateway.
	maxPendingRequests = 64
)

// Executor decides for one worker. Its exported fields are set before use. It is not
// safe for use by several goroutines at once.
type Executor struct {
	// Fence is the first fencing token. It should be above those of earlier incarnations of
	// this agent; a worker that refuses it is asked with a higher one.
	Fence uint64

	worker *workerState
	gateways map[identifier.Entry]*gatewayState
	runs   map[RunID]*execution
	used   specifier.Resources
	// queue holds the runs that wait for room, oldest first, and queued is their demand.
	queue    []RunID
	queuedDemand   specifier.Resources
	sequence uint64
	// fenceStep is the step by which the fence was raised last for a worker that refused it.
	fenceStep   uint64
	draining bool
}

// gatewayState is a gateway, in one incarnation of it.
type gatewayState struct {
	incarnation identifier.Incarnation
	linked      bool
	permitExpiry time.Time
	pendingRequests       []pendingRequest
	usage       usage
	recentEnds        []recentEnd
}

type pendingRequest struct {
	sequence uint64
	sent     time.Time
}

type recentEnd struct {
	at    time.Time
	ended Ended
}

type phase uint8

const (
	// starting runs have been ordered and not answered.
	starting phase = iota
	// running runs were accepted by the worker.
	running
	// uncertain runs got no answer to their start: they are stopped, so that they
	// either end or never begin.
	uncertain
	// stopping runs were accepted, and are to end.
	stopping
	// queued runs wait at the agent for room. The worker knows nothing of them.
	queued
)

type execution struct {
	gateway       identifier.Entry
	incarnation identifier.Incarnation
	demand      specifier.Resources
	spec        string
	// worker is the one of the worker that was ordered to start the run.
	worker  WorkerIncarnation
	phase phase
	// confirmed is set when a list of that life has shown the run. The answer to a start
	// does not say which life gave it.
	confirmed bool
	// percent is the progress that the worker listed last, and moved when it changed.
	percent int
	progressedAt   time.Time
	since   time.Time
	// revoked is set when the permit of the owner is over.
	revoked bool
	// stopSent is when the last order to stop was sent, stopAnswered when one was
	// answered.
	stopSent, stopAnswered time.Time
	stopInFlight           bool
}

// Effect is something that the process has to do: a Tell, Defer, Begin, Halt or Look.
type Effect interface{ effect() }

// Send sends a message to a gateway.
type Send struct {
	To      identifier.Entry
	Message any
}

// DeferEnd notes an end that its gateway learns of with its next link, if that comes soon.
type DeferEnd struct {
	To    identifier.Entry
	Ended Ended
}

// StartRun orders the worker to start a run. Its end is given to Begun.
type StartRun struct {
	Worker   WorkerIncarnation
	Run      RunID
	Spec     string
	LeaseEnd time.Duration
	Fence    uint64
}

// StopRun orders the worker to stop a run. Its end is given to Halted.
type StopRun struct {
	Worker WorkerIncarnation
	Run    RunID
	Fence  uint64
}

// HoldNow asks for a hold at once.
type HoldNow struct{}

func (Send) effect()     {}
func (DeferEnd) effect() {}
func (StartRun) effect() {}
func (StopRun) effect()  {}
func (HoldNow) effect()  {}

// GatewayLinked takes a link to a gateway, and returns what to tell it first. What runs for
// an earlier incarnation of that gateway is stopped.
func (x *Executor) GatewayLinked(now time.Time, entry identifier.Entry, incarnation identifier.Incarnation) []Effect {
	if x.gateways == nil {
		x.gateways = make(map[identifier.Entry]*gatewayState)
	}
	var effects []Effect
	o := x.gateways[entry]
	if o == nil || o.incarnation != incarnation {
		effects = x.revoke(now, entry, func(e *execution) bool { return e.incarnation != incarnation })
		o = &gatewayState{incarnation: incarnation}
		x.gateways[entry] = o
	}
	o.linked, o.usage.waiting, o.pendingRequests = true, false, nil
	attach := &Attach{Status: x.status(o)}
	o.usage.lastReported = attach.Status.UsedByOthers
	for _, run := range x.sortedRuns() {
		if e := x.runs[run]; e.gateway == entry && e.incarnation == incarnation {
			attach.Runs = append(attach.Runs, run)
		}
	}
	for _, p := range o.recentEnds {
		if now.Sub(p.at) < endRetention {
			attach.Ends = append(attach.Ends, p.ended)
		}
	}
	return append(effects, Send{entry, attach})
}

// GatewayUnlinked notes the end of a link. Runs go on until the permit is over.
func (x *Executor) GatewayUnlinked(entry identifier.Entry) {
	if o := x.gateways[entry]; o != nil {
		o.linked = false
	}
}

// RequestPermit returns the question for a permit, which is sent at now.
func (x *Executor) RequestPermit(now time.Time, entry identifier.Entry) *PermitRequest {
	x.sequence++
	m := &PermitRequest{Sequence: x.sequence}
	if o := x.gateways[entry]; o != nil {
		o.pendingRequests = append(o.pendingRequests, pendingRequest{x.sequence, now})
		if len(o.pendingRequests) > maxPendingRequests {
			o.pendingRequests = o.pendingRequests[1:]
		}
		m.UsedByOthers = x.reportUsedByOthers(o)
	}
	return m
}

// HandlePermit extends the permit of a gateway.
func (x *Executor) HandlePermit(entry identifier.Entry, m *Permit) {
	o := x.gateways[entry]
	if o == nil {
		return
	}
	for i, q := range o.pendingRequests {
		if q.sequence == m.Sequence {
			if until := q.sent.Add(PermitDuration); until.After(o.permitExpiry) {
				o.permitExpiry = until
			}
			o.pendingRequests = o.pendingRequests[i+1:]
			return
		}
	}
}

// HandleStart takes or refuses a start.
func (x *Executor) HandleStart(now time.Time, entry identifier.Entry, m *Start) []Effect {
	o := x.gateways[entry]
	if o == nil {
		return nil
	}
	reason := x.refusalReason(now, o, m)
	waits := reason == NoRoom && x.queueable(m.Demand)
	if reason != "" && !waits {
		return x.sendEnd(now, entry, o, Ended{Run: m.Run, Outcome: Refused, Reason: reason})
	}
	if x.runs == nil {
		x.runs = make(map[RunID]*execution)
	}
	e := &execution{gateway: entry, incarnation: o.incarnation, demand: m.Demand, spec: m.Spec, worker: x.worker.WorkerIncarnation, since: now}
	x.runs[m.Run] = e
	if waits {
		x.enqueue(m.Run, o, e)
		return nil
	}
	return x.startRun(now, m.Run, o, e)
}

func (x *Executor) refusalReason(now time.Time, o *gatewayState, m *Start) Reason {
	switch {
	case x.worker == nil || !x.worker.usable() || x.worker.report.Service != m.Service:
		return NoWorker
	case x.draining || x.worker.report.Draining:
		return Draining
	case !now.Before(o.permitExpiry) || x.leaseBlocked(now):
		return NoPermit
	}
	for run := range x.runs {
		if run.Job == m.Run.Job && run.Index == m.Run.Index {
			return Duplicate
		}
	}
	if !x.hasRoom(o, m.Demand) {
		return NoRoom
	}
	return ""
}

// HandleStop stops a run for its gateway.
func (x *Executor) HandleStop(now time.Time, entry identifier.Entry, m *Stop) []Effect {
	if e := x.runs[m.Run]; e != nil {
		return x.stopRun(now, m.Run, e)
	}
	o := x.gateways[entry]
	if o == nil {
		return nil
	}
	// The end has been told, or the start was lost with a link: it never begins.
	for _, p := range o.recentEnds {
		if p.ended.Run == m.Run {
			return nil
		}
	}
	return x.sendEnd(now, entry, o, Ended{Run: m.Run, Outcome: Refused, Reason: Unanswered})
}

// stopRun sends an order to stop a run, unless one is on its way.
func (x *Executor) stopRun(now time.Time, run RunID, e *execution) []Effect {
	switch e.phase {
	case queued:
		return x.finish(now, run, e, Stopped, "")
	case starting:
		e.phase = uncertain
	case running:
		e.phase = stopping
	}
	if e.stopInFlight || x.worker == nil || now.Sub(e.stopSent) < stopRetryInterval || !e.stopAnswered.IsZero() {
		return nil
	}
	e.stopSent, e.stopInFlight = now, true
	return []Effect{StopRun{Worker: x.worker.WorkerIncarnation, Run: run, Fence: x.worker.fence}}
}

// revoke stops the runs of a gateway that match.
func (x *Executor) revoke(now time.Time, entry identifier.Entry, match func(*execution) bool) []Effect {
	var effects []Effect
	for _, run := range x.sortedRuns() {
		if e := x.runs[run]; e.gateway == entry && match(e) {
			e.revoked = true
			effects = append(effects, x.stopRun(now, run, e)...)
		}
	}
	return effects
}

// finish ends a run and tells its gateway.
func (x *Executor) finish(now time.Time, run RunID, e *execution, how Outcome, reason Reason) []Effect {
	delete(x.runs, run)
	o := x.gatewayOf(e)
	var effects []Effect
	if e.phase == queued {
		x.dequeue(run, e)
	} else {
		effects = x.free(now, o, e.demand)
	}
	if o == nil {
		return effects
	}
	ended := Ended{Run: run, Outcome: how, Reason: reason, Took: now.Sub(e.since)}
	return append(x.sendEnd(now, e.gateway, o, ended), effects...)
}

func (x *Executor) sendEnd(now time.Time, entry identifier.Entry, o *gatewayState, ended Ended) []Effect {
	for len(o.recentEnds) > 0 && now.Sub(o.recentEnds[0].at) >= endRetention {
		o.recentEnds = o.recentEnds[1:]
	}
	o.recentEnds = append(o.recentEnds, recentEnd{now, ended})
	if !o.linked {
		return []Effect{DeferEnd{entry, ended}}
	}
	ended.UsedByOthers = x.reportUsedByOthers(o)
	return []Effect{Send{entry, &ended}}
}

func (x *Executor) status(o *gatewayState) Status {
	s := Status{UsedByOthers: x.usedByOthers(o)}
	if x.worker == nil {
		return s
	}
	r := x.worker.report
	s.Stalled = x.worker.stalled
	s.Available = x.worker.usable() && !x.draining && !r.Draining
	s.Service, s.Zone, s.Labels, s.Capacity = r.Service, r.Zone, r.Labels, r.Capacity
	return s
}

func (x *Executor) sendStatus() []Effect {
	var effects []Effect
	for _, entry := range slices.Sorted(maps.Keys(x.gateways)) {
		if o := x.gateways[entry]; o.linked {
			s := x.status(o)
			o.usage.lastReported = s.UsedByOthers
			effects = append(effects, Send{entry, &s})
		}
	}
	return effects
}

// Drain refuses starts from now on.
func (x *Executor) Drain() []Effect {
	x.draining = true
	return x.sendStatus()
}

// sortedRuns returns the runs in the sortedRuns of their numbers.
func (x *Executor) sortedRuns() []RunID {
	return slices.SortedFunc(maps.Keys(x.runs), func(a, b RunID) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Index, b.Index))
	})
}

// Idle reports whether nothing runs.
func (x *Executor) Idle() bool {
	return len(x.runs) == 0
}
