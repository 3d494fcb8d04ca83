// Package executor decides, for an agent, which runs its worker may start, which must
// be stopped, and how each of them ended. It does no I/O, starts no goroutines and
// reads no clock.
//
// A run belongs to the gateway that requested it and continues only while the agent
// holds a permit from that gateway. The worker in turn stops its runs when the lease
// that the agent extends expires. Whichever process stops responding, the gateway can
// therefore compute a time by which the run has ended.
package executor

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/load/estimator"
	"github.com/dandeliongrade/dandeliongrade/internal/load/sharer"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/evacuator"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// Durations that gateways and agents must agree on.
const (
	// PermitDuration is the validity of a permit, counted from when its request was
	// sent. It is long enough for a connection to be reset and dialled again.
	PermitDuration = 450 * time.Millisecond
	// LeaseDuration is how long a worker keeps its runs after the last extension of its
	// lease. A healthy agent extends the lease several times in that period.
	LeaseDuration = 450 * time.Millisecond
	// ExpiryMargin covers clock drift and the interval between checks for expiry.
	ExpiryMargin = 75 * time.Millisecond
	// RunsOverAfter is the time after a gateway's last permit to an agent by which all
	// of the gateway's runs at that agent have ended.
	RunsOverAfter = PermitDuration + LeaseDuration + ExpiryMargin
	// RenewInterval is the minimum age of a permit at which an agent with runs requests the
	// next one, and the time between two such requests. Starts carry permits too, so a
	// gateway that sends starts more often is not asked.
	RenewInterval = 100 * time.Millisecond
)

const (
	// stopRetryInterval is the minimum time between two orders to stop the same run.
	stopRetryInterval = 100 * time.Millisecond
	// maxStopWait is how long the lease is extended while the worker leaves the orders to stop a
	// run unanswered. Together with LeaseDuration and ExpiryMargin it is shorter than the time
	// after which callers without an answer submit their jobs again, to any gateway.
	maxStopWait = 600 * time.Millisecond
	// endRetention is how long the ends of runs are kept for a gateway whose link broke.
	endRetention = 2 * time.Second
	// maxPendingRequests limits the permit requests kept for each gateway.
	maxPendingRequests = 64
	// idleRequestInterval is the time between two permit requests to a gateway without runs.
	// They tell it that the agent is alive, and starts refer to them.
	idleRequestInterval = time.Second
	// maxAnswerDelay is how long a permit request may go unanswered while there are runs.
	// Then the link is replaced, early enough for the runs to get a permit on the next one.
	maxAnswerDelay = 250 * time.Millisecond
)

// Executor controls the runs of one worker. Its exported fields must be set before the
// first use. It is not safe for concurrent use.
type Executor struct {
	// Fence is the first fencing token. It should be higher than the tokens of earlier
	// incarnations of this agent; if the worker refuses it, it is raised.
	Fence uint64
	// Addr is where the worker accepts orders. Reports of a worker elsewhere are refused.
	Addr netip.AddrPort
	// DataCentre is that of the agent. It may differ from the one that the worker reports.
	DataCentre identifier.DataCentre
	// Policy selects the optional decisions.
	Policy specifier.Policy

	worker *workerState
	// successor is the next incarnation of the worker, if one was reported while the present
	// one may still run. It replaces the worker when a call shows that this one has exited.
	successor *successor
	gateways  map[identifier.Entry]*gatewayState
	runs      map[RunID]*execution
	used      specifier.Resources
	// queue holds the runs that wait for free capacity, the most urgent first and then the
	// oldest, and queuedDemand is the sum of their demands.
	queue        []RunID
	queuedDemand specifier.Resources
	sequence     uint64
	// fenceStep is the step by which the fencing token was last raised after a refusal.
	fenceStep uint64
	draining  bool
	// lastTick is the time of the last Tick, and resumedAt the end of the last standstill.
	lastTick, resumedAt time.Time
	// crashes holds the latest crashes of the worker, oldest first.
	crashes []recordedCrash
	past    pastRuns
	// evacuations holds what gateways have told of evacuated data centres.
	evacuations evacuator.Evacuator
	// sharer decides which gateway gets freed capacity, if the policy shares backlogs.
	sharer sharer.Sharer
	// missedReservations counts the reservations of which gateways have used nothing in time.
	missedReservations int
}

// gatewayState is the state kept for one incarnation of a gateway.
type gatewayState struct {
	incarnation  identifier.Incarnation
	linked       bool
	permitExpiry time.Time
	// requests holds the latest permit request that the gateway has referred to, and those
	// sent after it, oldest first. lastPermit is the sequence number of the former.
	requests   []permitRequest
	lastPermit uint64
	// released is set once the gateway was asked to close the link.
	released   bool
	usage      usage
	recentEnds []recentEnd
}

// permitRequest is a permit request that was sent on the present link.
type permitRequest struct {
	sequence uint64
	sent     time.Time
}

// recentEnd is the end of a run that the gateway may have missed.
type recentEnd struct {
	at    time.Time
	ended Ended
}

// phase is the state of a run as the agent knows it.
type phase uint8

const (
	// starting runs have been ordered from the worker, which has not answered.
	starting phase = iota
	// running runs were accepted by the worker.
	running
	// uncertain runs may or may not have started, because the order to start them was
	// not answered in time. They are stopped, so that they either end or never start.
	uncertain
	// stopping runs were accepted by the worker and must be stopped.
	stopping
	// queued runs wait at the agent for free capacity. The worker does not know them.
	queued
)

// execution is the state of one run.
type execution struct {
	gateway     identifier.Entry
	incarnation identifier.Incarnation
	queue       string
	demand      specifier.Resources
	priority    int
	spec        string
	// worker is the incarnation of the worker that was ordered to start the run.
	worker WorkerIncarnation
	phase  phase
	// confirmed is set when that incarnation has listed the run in a hold reply. The
	// answer to a start order does not say which incarnation gave it.
	confirmed bool
	// missing is set when a hold reply has not listed the run although the hold was sent well
	// after its start order, until one lists it: the order was lost or is late.
	missing bool
	// percent is the progress that the worker reported last, and progressedAt is when
	// it last changed.
	percent      int
	progressedAt time.Time
	// since is when the run was queued, ordered or found to be running, whichever came last.
	since time.Time
	// revoked is set when the run may not continue: the permit of its gateway has
	// expired, or the gateway has restarted.
	revoked bool
	// stopRequested is a time after which the gateway first asked to stop the run.
	stopRequested time.Time
	// stopSent is when the last order to stop the run was sent, and stopAnswered is
	// when the worker accepted one.
	stopSent, stopAnswered time.Time
	stopInFlight           bool
	// expected is the expected run time on an average worker, or zero if it is not known, and pace
	// measures the progress.
	expected time.Duration
	pace     estimator.Pace
	// cutOff is set while the run is taken not to end before the worker leaves, and its gateway has been
	// told so.
	cutOff bool
}

// GatewayLinked handles a new link to a gateway. Its effects begin with stopping the runs of
// an earlier incarnation of the gateway, and end with the Attach message and a permit
// request.
func (x *Executor) GatewayLinked(now time.Time, gateway identifier.Entry, incarnation identifier.Incarnation) []Effect {
	if x.gateways == nil {
		x.gateways = make(map[identifier.Entry]*gatewayState)
	}
	var effects []Effect
	g := x.gateways[gateway]
	if g == nil || g.incarnation != incarnation {
		effects = x.revoke(now, gateway, func(e *execution) bool { return e.incarnation != incarnation })
		g = &gatewayState{incarnation: incarnation}
		x.gateways[gateway] = g
	}
	g.linked, g.released, g.usage.backlog, g.requests, g.lastPermit = true, false, Backlog{}, nil, 0
	attach := &Attach{Status: x.status(now, g), Crashes: x.recentCrashes(now)}
	g.usage.lastReported = attach.Status.UsedByOthers
	for _, run := range x.sortedRuns() {
		if e := x.runs[run]; e.gateway == gateway && e.incarnation == incarnation {
			attach.Runs = append(attach.Runs, run)
		}
	}
	for _, recent := range g.recentEnds {
		if now.Sub(recent.at) < endRetention {
			attach.Ends = append(attach.Ends, recent.ended)
		}
	}
	return append(effects, Send{gateway, attach}, Send{gateway, x.requestPermit(now, g)})
}

// GatewayUnlinked handles the end of a link. Runs continue until the permit expires.
func (x *Executor) GatewayUnlinked(gateway identifier.Entry) {
	if g := x.gateways[gateway]; g != nil {
		g.linked = false
	}
}

// HandleStart starts, queues or refuses a run.
func (x *Executor) HandleStart(now time.Time, gateway identifier.Entry, m *Start) []Effect {
	g := x.gateways[gateway]
	if g == nil {
		return nil
	}
	x.HandlePermit(now, gateway, &m.Permit)
	reason := x.refusalReason(now, g, m)
	waits := reason == NoRoom && x.queueable(m.Demand)
	if reason != "" && !waits {
		return x.sendEnd(now, gateway, g, Ended{Run: m.Run, Outcome: Refused, Reason: reason}, Evidence{Ground: RefusedOnArrival})
	}
	if x.runs == nil {
		x.runs = make(map[RunID]*execution)
	}
	e := &execution{gateway: gateway, incarnation: g.incarnation, queue: m.Queue, demand: m.Demand, priority: m.Priority, spec: m.Spec, worker: x.worker.WorkerIncarnation, since: now, expected: m.Expected}
	x.runs[m.Run] = e
	if waits {
		x.enqueue(m.Run, g, e)
		return nil
	}
	return x.startRun(now, m.Run, g, e)
}

// refusalReason returns why a run cannot start now, or "" if it can. Another run of the task comes before all
// other reasons: for any of those, the gateway starts the task elsewhere at once.
func (x *Executor) refusalReason(now time.Time, g *gatewayState, m *Start) Reason {
	for run := range x.runs {
		if run.Job == m.Run.Job && run.Index == m.Run.Index {
			return Duplicate
		}
	}
	switch {
	case x.worker == nil || !x.worker.usable() || x.worker.report.Service != m.Service || !m.meantFor(x.worker):
		return NoWorker
	case x.draining || x.worker.report.Draining:
		return Draining
	case !now.Before(g.permitExpiry) || x.leaseBlocked(now) || !x.workerChecked(now):
		return NoPermit
	}
	if x.Evacuated() {
		return Evacuated
	}
	if !x.hasRoom(g, m.Demand) {
		return NoRoom
	}
	return ""
}

// HandleStop stops a run at the request of its gateway.
func (x *Executor) HandleStop(now time.Time, gateway identifier.Entry, m *Stop) []Effect {
	if e := x.runs[m.Run]; e != nil {
		if e.stopRequested.IsZero() {
			e.stopRequested = x.latestPermit(now, e)
		}
		return x.stopRun(now, m.Run, e)
	}
	g := x.gateways[gateway]
	if g == nil {
		return nil
	}
	if x.worker == nil || !x.worker.fenced {
		// An earlier incarnation of this agent may have started the run. The gateway waits
		// until the worker has accepted this one, or permit and lease have expired.
		return nil
	}
	// Either the end of the run has been sent already, or its start was lost with a
	// broken link and the run never starts.
	for _, recent := range g.recentEnds {
		if recent.ended.Run == m.Run {
			return nil
		}
	}
	evidence := Evidence{Ground: StopUnknown}
	x.past.add(&pastRun{run: m.Run, worker: x.worker.WorkerIncarnation, evidence: evidence, at: now})
	return x.sendEnd(now, gateway, g, Ended{Run: m.Run, Outcome: Refused, Reason: Unanswered}, evidence)
}

// latestPermit returns the time of the latest permit for a run, or now if there is none. Messages of a
// gateway arrive in order, and what a broken link has lost is sent after its last permit, so what
// the gateway asks for now it has not asked for before that time.
func (x *Executor) latestPermit(now time.Time, e *execution) time.Time {
	g := x.gatewayOf(e)
	if g == nil || g.permitExpiry.IsZero() {
		return now
	}
	return g.permitExpiry.Add(-PermitDuration)
}

// stopRun orders the worker to stop a run, unless an order is in flight, was sent less
// than stopRetryInterval ago or has been accepted. A queued run ends at once.
func (x *Executor) stopRun(now time.Time, run RunID, e *execution) []Effect {
	switch e.phase {
	case queued:
		return x.finish(now, run, e, Stopped, "", Evidence{StoppedInQueue, now.Sub(e.since)})
	case starting:
		e.phase = uncertain
	case running:
		e.phase = stopping
	}
	if e.stopInFlight || x.worker == nil || now.Sub(e.stopSent) < stopRetryInterval || !e.stopAnswered.IsZero() {
		return nil
	}
	e.stopSent, e.stopInFlight = now, true
	return []Effect{StopRun{Worker: x.worker.WorkerIncarnation, Run: run, Fence: x.worker.fence, Sent: now}}
}

// revoke stops the runs of a gateway for which match returns true.
func (x *Executor) revoke(now time.Time, gateway identifier.Entry, match func(*execution) bool) []Effect {
	var effects []Effect
	for _, run := range x.sortedRuns() {
		if e := x.runs[run]; e.gateway == gateway && match(e) {
			e.revoked = true
			effects = append(effects, x.stopRun(now, run, e)...)
		}
	}
	return effects
}

// finish removes a run that has ended, reports the end to its gateway and reuses the
// capacity.
func (x *Executor) finish(now time.Time, run RunID, e *execution, outcome Outcome, reason Reason, evidence Evidence) []Effect {
	delete(x.runs, run)
	x.learnEnd(now, e, outcome)
	x.past.add(&pastRun{run: run, worker: e.worker, evidence: evidence, at: now})
	g := x.gatewayOf(e)
	var effects []Effect
	if e.phase == queued {
		x.dequeue(run, e)
	} else {
		effects = x.free(now, g, e.demand)
	}
	ended := Ended{Run: run, Outcome: outcome, Reason: reason, Took: now.Sub(e.since)}
	if g == nil {
		return append([]Effect{RunEnded{e.gateway, ended, evidence}}, effects...)
	}
	return append(x.sendEnd(now, e.gateway, g, ended, evidence), effects...)
}

// sendEnd keeps the end of a run for endRetention, and sends it if the gateway is linked.
func (x *Executor) sendEnd(now time.Time, gateway identifier.Entry, g *gatewayState, ended Ended, evidence Evidence) []Effect {
	for len(g.recentEnds) > 0 && now.Sub(g.recentEnds[0].at) >= endRetention {
		g.recentEnds = g.recentEnds[1:]
	}
	g.recentEnds = append(g.recentEnds, recentEnd{now, ended})
	effects := []Effect{RunEnded{gateway, ended, evidence}}
	if !g.linked {
		return effects
	}
	ended.UsedByOthers = x.reportUsedByOthers(g)
	return append(effects, Send{gateway, &ended})
}

// Drain makes the executor refuse new runs and reports that to the gateways.
func (x *Executor) Drain(now time.Time) []Effect {
	x.draining = true
	return x.sendStatus(now)
}

// sortedRuns returns the runs sorted by number and index.
func (x *Executor) sortedRuns() []RunID {
	return slices.SortedFunc(maps.Keys(x.runs), func(a, b RunID) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Index, b.Index))
	})
}

// Idle reports whether there are no runs, not even queued ones.
func (x *Executor) Idle() bool {
	return len(x.runs) == 0
}
