package executor

import (
	"maps"
	"slices"
	"time"
)

const (
	// holdWait is how long a worker waits for an end before it answers a hold. It is
	// also the pace at which the lease is extended.
	holdWait = 120 * time.Millisecond
	// shortHoldWait takes the place of holdWait for shortHoldLength after a call without an
	// answer. Ends wait as long as a lost hold does.
	shortHoldWait   = 20 * time.Millisecond
	shortHoldPeriod = 3 * time.Second
	// overdueAfter is how long after a start a hold must have been sent whose answer
	// proves that the start was lost or will be late. Both go the same short way.
	overdueAfter = 20 * time.Millisecond
	// unresponsiveAfter is how long no hold may be answered before the worker counts as
	// silent. Its lease is over then.
	unresponsiveAfter = LeaseDuration + ExpiryMargin
)

// Hold is a call that extends the worker's lease and looks at its runs.
type Hold struct {
	Worker WorkerIncarnation
	Fence  uint64
	// ExtendLease tells whether Until counts.
	ExtendLease bool
	// LeaseEnd is the end of the lease, on the worker's clock.
	LeaseEnd time.Duration
	// LastSeen is the number of the last end that need not be listed again.
	LastSeen int64
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
	Sent time.Time
}

// HoldReply is the answer to a Hold.
type HoldReply struct {
	Clock   time.Duration
	Running []RunProgress
	Ended   []EndedRun
}

// RunProgress is a run that a worker is at work on.
type RunProgress struct {
	Run RunID
	// Percent is how much of the work is done.
	Percent int
}

// EndedRun is an end as a worker lists it.
type EndedRun struct {
	Number  int64
	Run     RunID
	Outcome Outcome
}

// CallOutcome is how a call to a worker went.
type CallOutcome uint8

// The outcomes of a call.
const (
	// Accepted means that the order was carried out.
	Accepted CallOutcome = iota + 1
	// Declined means that the order was not carried out and never will be.
	Declined
	// Silent means that nothing is known: the order may be carried out, even later.
	Silent
	// Gone means that the worker has ended.
	Gone
	// Restarted means that another life of the worker has answered.
	Restarted
	// StaleFence means that the order was not carried out, because the worker has seen a
	// higher fence.
	StaleFence
)

var callOutcomeNames = [...]string{Accepted: "accepted", Declined: "declined", Silent: "silent", Gone: "gone", Restarted: "restarted", StaleFence: "outdated"}

// String returns the word for r.
func (r CallOutcome) String() string {
	return callOutcomeNames[r]
}

// NextHold returns the hold that is to be sent at now, if there is a worker.
func (x *Executor) NextHold(now time.Time) (Hold, bool) {
	w := x.worker
	if w == nil {
		return Hold{}, false
	}
	h := Hold{Worker: w.WorkerIncarnation, Fence: w.fence, LastSeen: w.lastSeenEnd, Wait: holdWait, Sent: now}
	switch {
	case !w.fenced || x.awaitingHold():
		h.Wait = 0
	case now.Sub(w.lastUnanswered) < shortHoldPeriod:
		h.Wait = shortHoldWait
	}
	if w.fenced && len(x.runs) > 0 && !x.leaseBlocked(now) {
		h.ExtendLease, h.LeaseEnd = true, w.extendLease(now)
	}
	return h, true
}

// awaitingHold reports whether a run waits for a hold to show that it never began.
func (x *Executor) awaitingHold() bool {
	for _, e := range x.runs {
		if e.phase == uncertain && !e.stopAnswered.IsZero() {
			return true
		}
	}
	return false
}

// leaseBlocked reports whether the lease must not be extended, because a run whose permit
// is over has not been stopped. A tick may come late, so the time counts and not only what
// the last one saw.
func (x *Executor) leaseBlocked(now time.Time) bool {
	for _, e := range x.runs {
		if e.phase == queued || !e.stopAnswered.IsZero() {
			continue
		}
		if o := x.gatewayOf(e); e.revoked || o == nil || !now.Before(o.permitExpiry) {
			return true
		}
	}
	return false
}

// HandleStartOutcome takes the reply to a Begin.
func (x *Executor) HandleStartOutcome(now time.Time, b StartRun, reply CallOutcome) []Effect {
	e := x.runs[b.Run]
	if reply == Gone {
		effects := x.handleWorkerExit(now, b.Worker, false)
		if e != nil && e.worker.Equal(b.Worker) {
			effects = append(effects, x.finish(now, b.Run, e, Refused, NoWorker)...)
		}
		return effects
	}
	if e == nil || !e.worker.Equal(b.Worker) {
		return nil
	}
	switch {
	case reply == Declined, reply == StaleFence:
		return x.finish(now, b.Run, e, Refused, Rejected)
	case reply == Silent:
		x.noteUnanswered(now, b.Worker)
		if e.confirmed {
			return nil
		}
		return x.stopRun(now, b.Run, e)
	case e.phase == starting:
		e.phase, e.since = running, now
	case e.phase == uncertain:
		e.phase, e.since = stopping, now
	}
	return nil
}

// HandleStopOutcome takes the reply to a Halt.
func (x *Executor) HandleStopOutcome(now time.Time, h StopRun, reply CallOutcome) []Effect {
	if reply == Gone {
		return x.handleWorkerExit(now, h.Worker, false)
	}
	e := x.runs[h.Run]
	if e == nil {
		return nil
	}
	e.stopInFlight = false
	if reply == Silent {
		x.noteUnanswered(now, h.Worker)
	}
	if reply != Accepted || x.worker == nil || !x.worker.WorkerIncarnation.Equal(h.Worker) {
		return nil
	}
	e.stopAnswered = now
	if e.phase == uncertain {
		return []Effect{HoldNow{}}
	}
	return nil
}

// HandleHoldReply takes the answer to a Hold.
func (x *Executor) HandleHoldReply(now time.Time, h Hold, a HoldReply) []Effect {
	w := x.worker
	if w == nil || !w.WorkerIncarnation.Equal(h.Worker) {
		return nil
	}
	w.setClock(now, a.Clock)
	w.lastAnswered = h.Sent
	effects := x.finishEnded(now, a.Ended)
	listed := make(map[RunID]bool, len(a.Running))
	for _, r := range a.Running {
		listed[r.Run] = true
		e := x.runs[r.Run]
		if e == nil {
			effects = append(effects, StopRun{Worker: w.WorkerIncarnation, Run: r.Run, Fence: w.fence})
			continue
		}
		e.confirmed = e.worker.Equal(w.WorkerIncarnation)
		if e.confirmed && e.phase == starting {
			e.phase, e.since = running, now
		}
		if e.progressedAt.IsZero() || e.percent != r.Percent {
			e.percent, e.progressedAt = r.Percent, now
		}
		w.showsProgress = w.showsProgress || r.Percent > 0
	}
	for _, run := range x.sortedRuns() {
		if !listed[run] {
			effects = append(effects, x.handleMissing(now, h, run, x.runs[run])...)
		}
	}
	effects = append(effects, x.checkStall(now)...)
	// Starts wait for the first answer that shows nothing of an earlier agent.
	if before := w.usable(); len(a.Running) == 0 || before {
		w.fenced, w.unresponsive = true, false
		if !before {
			effects = append(effects, x.sendStatus()...)
		}
	}
	return effects
}

const (
	// StallAfter is how long no run may make progress before the worker counts as
	// stalled. A run of some seconds shows progress several times in it.
	StallAfter = 200 * time.Millisecond
	// minStalledRuns is the least number of runs that must stand still: one may be a task
	// that makes no steady progress.
	minStalledRuns = 2
)

// checkStall tells the gateways when a worker begins to stall, and when it has ended.
func (x *Executor) checkStall(now time.Time) []Effect {
	still, moving := 0, 0
	for _, e := range x.runs {
		switch {
		case e.phase != running || !e.confirmed:
		case now.Sub(e.progressedAt) >= StallAfter:
			still++
		case e.percent > 0:
			moving++
		}
	}
	stalled := x.worker.showsProgress && still >= minStalledRuns && moving == 0
	if stalled == x.worker.stalled {
		return nil
	}
	x.worker.stalled = stalled
	return x.sendStatus()
}

// finishEnded finishes the runs that a worker lists as ended.
func (x *Executor) finishEnded(now time.Time, ends []EndedRun) []Effect {
	var effects []Effect
	for _, end := range ends {
		if end.Number <= x.worker.lastSeenEnd {
			continue
		}
		x.worker.lastSeenEnd = end.Number
		if e := x.runs[end.Run]; e != nil {
			effects = append(effects, x.finish(now, end.Run, e, end.Outcome, "")...)
		}
	}
	return effects
}

// handleMissing decides about a run that a hold shows neither as running nor as ended.
func (x *Executor) handleMissing(now time.Time, h Hold, run RunID, e *execution) []Effect {
	switch {
	case !e.worker.Equal(h.Worker):
		// The order names an earlier life, and its fence is refused now.
		return x.finish(now, run, e, Refused, Unanswered)
	case e.phase == uncertain && !e.stopAnswered.IsZero() && h.Sent.After(e.stopAnswered):
		return x.finish(now, run, e, Refused, Unanswered)
	case (e.phase == running || e.phase == stopping) && h.Sent.After(e.since):
		return x.finish(now, run, e, Lapsed, "")
	case e.phase == starting && h.Sent.Sub(e.since) >= overdueAfter:
		return x.stopRun(now, run, e)
	}
	return nil
}

// HoldFailed takes a hold that got no answer, or showed that the worker has ended.
func (x *Executor) HoldFailed(now time.Time, h Hold, reply CallOutcome) []Effect {
	if reply == Gone || reply == Restarted {
		return x.handleWorkerExit(now, h.Worker, reply == Restarted)
	}
	x.noteUnanswered(now, h.Worker)
	if reply == StaleFence {
		return x.raiseFence(h)
	}
	return nil
}

// initialFenceStep is the first step by which a fence is raised that a worker has refused. First
// fences are times of day in milliseconds, and clocks are set by seconds.
const initialFenceStep = 1 << 10

// raiseFence raises the fence of a worker that has not obeyed yet, by a step that doubles
// with each refusal. One that has obeyed and then refuses is in the hands of another agent.
func (x *Executor) raiseFence(h Hold) []Effect {
	w := x.worker
	if w == nil || !w.WorkerIncarnation.Equal(h.Worker) || w.fenced || w.fence != h.Fence {
		return nil
	}
	x.fenceStep = max(initialFenceStep, 2*x.fenceStep)
	x.Fence += x.fenceStep
	w.fence = x.Fence
	return []Effect{HoldNow{}}
}

// noteUnanswered notes that a worker has not answered a call.
func (x *Executor) noteUnanswered(now time.Time, l WorkerIncarnation) {
	if x.worker != nil && x.worker.WorkerIncarnation.Equal(l) {
		x.worker.lastUnanswered = now
	}
}

// handleWorkerExit ends everything of a life that has ended. The worker must be fenced anew before
// it gets work, for it may come back under its name.
func (x *Executor) handleWorkerExit(now time.Time, l WorkerIncarnation, restarted bool) []Effect {
	if x.worker == nil || !x.worker.WorkerIncarnation.Equal(l) || !x.worker.fenced {
		return nil
	}
	effects := x.endRuns(now, restarted)
	x.worker.fenced = false
	x.Fence++
	x.worker.fence = x.Fence
	return append(effects, x.sendStatus()...)
}

// Tick looks at what time alone decides: permits and leases that are over, and orders
// to stop that got no answer.
func (x *Executor) Tick(now time.Time) []Effect {
	var effects []Effect
	for _, entry := range slices.Sorted(maps.Keys(x.gateways)) {
		o := x.gateways[entry]
		if !now.Before(o.permitExpiry) {
			effects = append(effects, x.revoke(now, entry, func(e *execution) bool { return e.incarnation == o.incarnation })...)
		}
	}
	for _, run := range x.sortedRuns() {
		if e := x.runs[run]; e.phase == uncertain || e.phase == stopping {
			effects = append(effects, x.stopRun(now, run, e)...)
		}
	}
	effects = append(effects, x.expireReservations(now)...)
	effects = append(effects, x.expireQueue(now)...)
	return append(effects, x.checkUnresponsive(now)...)
}

// checkUnresponsive ends what the worker was at work on when its lease is surely over. A
// start without an answer may still be carried out, so that one stays.
func (x *Executor) checkUnresponsive(now time.Time) []Effect {
	w := x.worker
	if w == nil || !w.fenced || now.Sub(w.lastAnswered) < unresponsiveAfter {
		return nil
	}
	var effects []Effect
	if !w.unresponsive {
		w.unresponsive = true
		effects = x.sendStatus()
	}
	if now.Sub(w.lastExtended) < unresponsiveAfter {
		return effects
	}
	for _, run := range x.sortedRuns() {
		if e := x.runs[run]; e.phase == running || e.phase == stopping {
			effects = append(effects, x.finish(now, run, e, Lapsed, "")...)
		}
	}
	return effects
}
