package executor

import (
	"maps"
	"slices"
	"time"
)

const (
	// holdWait is how long a worker waits for a run to end before it answers a hold. It
	// is also the interval at which the lease is extended.
	holdWait = 120 * time.Millisecond
	// shortHoldWait replaces holdWait for shortHoldPeriod after a call without an answer.
	// More holds may be lost then, and the agent learns of no ends until a lost hold has
	// timed out; a hold with a shorter wait times out earlier.
	shortHoldWait   = 20 * time.Millisecond
	shortHoldPeriod = 3 * time.Second
	// overdueAfter is when a start order becomes overdue: if the reply to a hold that was
	// sent so long after the order does not list the run, the order was lost or is late.
	// Both calls go to the worker on the same machine, so they take about the same time.
	overdueAfter = 20 * time.Millisecond
	// unresponsiveAfter is how long holds may go unanswered before the worker counts as
	// unresponsive. By then its lease has expired.
	unresponsiveAfter = LeaseDuration + ExpiryMargin
)

// Hold is a long-polling call to the worker. It extends the worker's lease and returns
// the runs that are running or have ended.
type Hold struct {
	Worker WorkerIncarnation
	Fence  uint64
	// ExtendLease reports whether the lease is to be extended to LeaseEnd.
	ExtendLease bool
	// LeaseEnd is the end of the lease, on the worker's clock.
	LeaseEnd time.Duration
	// LastSeen is the number of the last end received. The worker lists only later ones.
	LastSeen int64
	// Wait is how long the worker may wait for a run to end before it answers.
	Wait time.Duration
	Sent time.Time
}

// HoldReply is the answer to a Hold.
type HoldReply struct {
	// Clock is the reading of the worker's clock.
	Clock   time.Duration
	Running []RunProgress
	Ended   []EndedRun
}

// RunProgress is a run that is running at a worker.
type RunProgress struct {
	Run RunID
	// Percent is how much of the run is complete.
	Percent int
}

// EndedRun is a run that has ended, as a worker lists it. Number orders the ends of one
// incarnation of the worker.
type EndedRun struct {
	Number  int64
	Run     RunID
	Outcome Outcome
}

// NextHold returns the hold to send at now, if there is a worker.
func (x *Executor) NextHold(now time.Time) (Hold, bool) {
	w := x.worker
	if w == nil {
		return Hold{}, false
	}
	checked := x.workerChecked(now)
	h := Hold{Worker: w.WorkerIncarnation, Fence: w.fence, LastSeen: w.lastSeenEnd, Wait: holdWait, Sent: now}
	switch {
	case !w.fenced || !checked || x.awaitingHold():
		h.Wait = 0
	case now.Sub(w.lastUnanswered) < shortHoldPeriod:
		h.Wait = shortHoldWait
	}
	if w.fenced && !w.closed && len(x.runs) > 0 && !x.leaseBlocked(now) {
		h.ExtendLease, h.LeaseEnd = true, w.extendLease(now)
	}
	return h, true
}

// awaitingHold reports whether the stop of an uncertain run was accepted, so that the next
// hold shows whether the run ever started.
func (x *Executor) awaitingHold() bool {
	for _, e := range x.runs {
		if e.phase == uncertain && !e.stopAnswered.IsZero() {
			return true
		}
	}
	return false
}

// leaseBlocked reports whether the lease must not be extended, because the worker has not
// accepted an order to stop a run that may not go on. It compares permits with now, because the
// tick that revokes expired permits may be late.
func (x *Executor) leaseBlocked(now time.Time) bool {
	for _, e := range x.runs {
		if e.phase == queued || !e.stopAnswered.IsZero() {
			continue
		}
		if e.revoked || !x.permitted(now, e) || e.stopOverdue(now) {
			return true
		}
	}
	return false
}

// permitted reports whether the gateway of a run allows it to go on.
func (x *Executor) permitted(now time.Time, e *execution) bool {
	g := x.gatewayOf(e)
	return g != nil && now.Before(g.permitExpiry)
}

// stopOverdue reports whether the worker has accepted no order to stop the run for maxStopWait. The
// time for which the gateway's request was on its way counts.
func (e *execution) stopOverdue(now time.Time) bool {
	return !e.stopRequested.IsZero() && now.Sub(e.stopRequested) >= maxStopWait
}

// HandleHoldReply handles the reply to a Hold.
func (x *Executor) HandleHoldReply(now time.Time, h Hold, reply HoldReply) []Effect {
	w := x.worker
	if w == nil || !w.WorkerIncarnation.Equal(h.Worker) {
		return nil
	}
	wasUsable, wasChecked := w.usable(), x.workerChecked(now)
	w.setClock(now, reply.Clock)
	w.lastAnswered, w.closed = h.Sent, false
	effects := x.confirm(h)
	effects = append(effects, x.finishEnded(now, h, reply.Ended)...)
	listed := make(map[RunID]bool, len(reply.Running))
	for _, r := range reply.Running {
		listed[r.Run] = true
		e := x.runs[r.Run]
		if e == nil {
			effects = append(effects, x.checkListed(now, h, r.Run)...)
			effects = append(effects, StopRun{Worker: w.WorkerIncarnation, Run: r.Run, Fence: w.fence, Sent: now})
			continue
		}
		e.confirmed, e.missing = e.worker.Equal(w.WorkerIncarnation), false
		if e.confirmed && e.phase == starting {
			e.phase, e.since = running, now
		}
		if e.progressedAt.IsZero() || e.percent != r.Percent {
			e.percent, e.progressedAt = r.Percent, now
		}
		x.learnProgress(now, e)
		w.showsProgress = w.showsProgress || r.Percent > 0
	}
	for _, run := range x.sortedRuns() {
		if !listed[run] {
			effects = append(effects, x.handleMissing(now, h, run, x.runs[run])...)
		}
	}
	effects = append(effects, x.checkStall(now)...)
	// A worker gets no runs until a reply to its present fencing token shows that no runs of
	// an earlier agent are left.
	if w.usable() || (len(reply.Running) == 0 && h.Fence == w.fence) {
		w.fenced, w.unresponsive = true, false
	}
	if w.usable() && !wasUsable {
		effects = append(effects, x.sendStatus(now)...)
	}
	if !wasChecked {
		effects = append(effects, x.startQueued(now)...)
	}
	effects = append(effects, x.reportSpeed(now)...)
	return append(effects, x.reportCutOff(now)...)
}

// confirm records that the worker has answered a hold. A successor that was reported before
// the hold was sent cannot have replaced it.
func (x *Executor) confirm(h Hold) []Effect {
	w := x.worker
	if h.Fence != w.fence {
		// The hold was sent before a call showed that the worker has exited.
		return nil
	}
	if x.successor != nil && h.Sent.After(x.successor.reportedAt) {
		x.successor = nil
	}
	if w.presence == present {
		return nil
	}
	w.presence = present
	return []Effect{WorkerConfirmed{Worker: w.WorkerIncarnation}}
}

const (
	// StallAfter is how long runs may go without progress before the worker counts as
	// stalled. A run of a few seconds reports progress several times in that period.
	StallAfter = 200 * time.Millisecond
	// minStalledRuns is the minimum number of runs without progress. A single one may be
	// a task that does not progress steadily.
	minStalledRuns = 2
)

// checkStall reports to the gateways when the worker becomes stalled, and when it
// recovers. A worker is stalled when at least minStalledRuns runs make no progress and no
// other run does. A worker that has never reported progress is not.
func (x *Executor) checkStall(now time.Time) []Effect {
	stalledRuns, movingRuns := 0, 0
	for _, e := range x.runs {
		switch {
		case e.phase != running || !e.confirmed:
		case now.Sub(e.progressedAt) >= x.stallAfter(e):
			stalledRuns++
		case e.percent > 0:
			movingRuns++
		}
	}
	stalled := x.worker.showsProgress && stalledRuns >= minStalledRuns && movingRuns == 0
	if stalled == x.worker.stalled {
		return nil
	}
	x.worker.stalled = stalled
	return x.sendStatus(now)
}

// finishEnded finishes the runs that the worker lists as ended for the first time.
func (x *Executor) finishEnded(now time.Time, h Hold, ends []EndedRun) []Effect {
	var effects []Effect
	for _, end := range ends {
		if end.Number <= x.worker.lastSeenEnd {
			continue
		}
		x.worker.lastSeenEnd = end.Number
		if e := x.runs[end.Run]; e != nil {
			effects = append(effects, x.finish(now, end.Run, e, end.Outcome, "", Evidence{ListedEnd, now.Sub(h.Sent)})...)
			continue
		}
		effects = append(effects, x.checkEndListed(now, end)...)
	}
	return effects
}

// handleMissing handles a run that a hold reply lists neither as running nor as ended.
func (x *Executor) handleMissing(now time.Time, h Hold, run RunID, e *execution) []Effect {
	age := now.Sub(h.Sent)
	switch {
	case !e.worker.Equal(h.Worker):
		// The run was ordered from an earlier incarnation of the worker. The order cannot
		// be carried out any more, because the worker now refuses its fencing token.
		return x.finish(now, run, e, Refused, Unanswered, Evidence{EarlierIncarnation, age})
	case e.phase == uncertain && !e.stopAnswered.IsZero() && h.Sent.After(e.stopAnswered):
		return x.finish(now, run, e, Refused, Unanswered, Evidence{NotListedAfterStop, age})
	case (e.phase == running || e.phase == stopping) && h.Sent.After(e.since):
		return x.finish(now, run, e, Lapsed, "", Evidence{NotListed, age})
	case (e.phase == starting || e.phase == uncertain) && h.Sent.Sub(e.since) >= overdueAfter:
		e.missing = true
	}
	if e.phase == starting && e.missing {
		return x.stopRun(now, run, e)
	}
	return nil
}

// HoldFailed handles a hold whose outcome was not Accepted.
func (x *Executor) HoldFailed(now time.Time, h Hold, outcome CallOutcome) []Effect {
	if outcome == Gone || outcome == Closed || outcome == Restarted {
		return x.handleWorkerExit(now, h.Worker, outcome, h.Sent)
	}
	x.noteUnanswered(now, h.Worker)
	switch {
	case outcome == StaleFence:
		return x.raiseFence(h)
	case outcome == Silent && h.ExtendLease:
		x.fenceOff(h.Worker, h.Fence)
	}
	return nil
}

// noteUnanswered records that a call to the worker got no answer, or that a hold failed.
func (x *Executor) noteUnanswered(now time.Time, w WorkerIncarnation) {
	if x.worker != nil && x.worker.WorkerIncarnation.Equal(w) {
		x.worker.lastUnanswered = now
	}
}

// Tick handles what depends on time alone: permits to be renewed, permits, leases,
// reservations and queued runs that have expired, and stop orders that must be sent again.
func (x *Executor) Tick(now time.Time) []Effect {
	x.noteStandstill(now)
	x.lastTick = now
	var effects []Effect
	for _, gateway := range slices.Sorted(maps.Keys(x.gateways)) {
		g := x.gateways[gateway]
		if !now.Before(g.permitExpiry) {
			effects = append(effects, x.revoke(now, gateway, func(e *execution) bool { return e.incarnation == g.incarnation })...)
		}
	}
	for _, run := range x.sortedRuns() {
		if e := x.runs[run]; e.phase == uncertain || e.phase == stopping {
			effects = append(effects, x.stopRun(now, run, e)...)
		}
	}
	effects = append(effects, x.renewPermits(now)...)
	effects = append(effects, x.expireReservations(now)...)
	effects = append(effects, x.expireQueue(now)...)
	return append(effects, x.checkUnresponsive(now)...)
}

// checkUnresponsive reports a worker that has stopped answering, and ends its runs once its
// lease has certainly expired. Uncertain runs stay, because the worker may still carry out
// the orders to start them.
func (x *Executor) checkUnresponsive(now time.Time) []Effect {
	w := x.worker
	if w == nil || !w.fenced || now.Sub(w.lastAnswered) < unresponsiveAfter {
		return nil
	}
	var effects []Effect
	if !w.unresponsive {
		w.unresponsive = true
		effects = x.sendStatus(now)
	}
	if !w.leaseOver(now) {
		return effects
	}
	for _, run := range x.sortedRuns() {
		if e := x.runs[run]; e.phase == running || e.phase == stopping {
			effects = append(effects, x.finish(now, run, e, Lapsed, "", Evidence{LeaseOver, now.Sub(w.lastExtended)})...)
		}
	}
	return effects
}
