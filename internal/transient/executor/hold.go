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
	shortHoldLength = 3 * time.Second
	// overdueAfter is how long after a start a hold must have been sent whose answer
	// proves that the start was lost or will be late. Both go the same short way.
	overdueAfter = 20 * time.Millisecond
	// silentAfter is how long no hold may be answered before the worker counts as
	// silent. Its lease is over then.
	silentAfter = LeaseDuration + ExpiryMargin
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

var replies = [...]string{Accepted: "accepted", Declined: "declined", Silent: "silent", Gone: "gone", Restarted: "restarted", StaleFence: "outdated"}

// String returns the word for r.
func (r CallOutcome) String() string {
	return replies[r]
}

// NextHold returns the hold that is to be sent at now, if there is a worker.
func (x *Executor) NextHold(now time.Time) (Hold, bool) {
	w := x.worker
	if w == nil {
		return Hold{}, false
	}
	h := Hold{Worker: w.WorkerIncarnation, Fence: w.fence, LastSeen: w.seen, Wait: holdWait, Sent: now}
	switch {
	case !w.fenced || x.unsettled():
		h.Wait = 0
	case now.Sub(w.unanswered) < shortHoldLength:
		h.Wait = shortHoldWait
	}
	if w.fenced && len(x.runs) > 0 && !x.withholds(now) {
		h.ExtendLease, h.LeaseEnd = true, w.until(now)
	}
	return h, true
}

// unsettled reports whether a run waits for a hold to show that it never began.
func (x *Executor) unsettled() bool {
	for _, e := range x.runs {
		if e.phase == doubtful && !e.stopAnswered.IsZero() {
			return true
		}
	}
	return false
}

// withholds reports whether the lease must not be extended, because a run whose permit
// is over has not been stopped. A tick may come late, so the time counts and not only what
// the last one saw.
func (x *Executor) withholds(now time.Time) bool {
	for _, e := range x.runs {
		if e.phase == queued || !e.stopAnswered.IsZero() {
			continue
		}
		if o := x.ownerOf(e); e.revoked || o == nil || !now.Before(o.permitUntil) {
			return true
		}
	}
	return false
}

// HandleStartOutcome takes the reply to a Begin.
func (x *Executor) HandleStartOutcome(now time.Time, b StartRun, reply CallOutcome) []Effect {
	e := x.runs[b.Run]
	if reply == Gone {
		effects := x.gone(now, b.Worker, false)
		if e != nil && e.life.Equal(b.Worker) {
			effects = append(effects, x.finish(now, b.Run, e, Refused, NoWorker)...)
		}
		return effects
	}
	if e == nil || !e.life.Equal(b.Worker) {
		return nil
	}
	switch {
	case reply == Declined, reply == StaleFence:
		return x.finish(now, b.Run, e, Refused, Rejected)
	case reply == Silent:
		x.noteSilence(now, b.Worker)
		if e.confirmed {
			return nil
		}
		return x.halt(now, b.Run, e)
	case e.phase == beginning:
		e.phase, e.began = working, now
	case e.phase == doubtful:
		e.phase, e.began = stopping, now
	}
	return nil
}

// HandleStopOutcome takes the reply to a Halt.
func (x *Executor) HandleStopOutcome(now time.Time, h StopRun, reply CallOutcome) []Effect {
	if reply == Gone {
		return x.gone(now, h.Worker, false)
	}
	e := x.runs[h.Run]
	if e == nil {
		return nil
	}
	e.stopInFlight = false
	if reply == Silent {
		x.noteSilence(now, h.Worker)
	}
	if reply != Accepted || x.worker == nil || !x.worker.WorkerIncarnation.Equal(h.Worker) {
		return nil
	}
	e.stopAnswered = now
	if e.phase == doubtful {
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
	w.read(now, a.Clock)
	w.answered = h.Sent
	effects := x.takeEnds(now, a.Ended)
	listed := make(map[RunID]bool, len(a.Running))
	for _, r := range a.Running {
		listed[r.Run] = true
		e := x.runs[r.Run]
		if e == nil {
			effects = append(effects, StopRun{Worker: w.WorkerIncarnation, Run: r.Run, Fence: w.fence})
			continue
		}
		e.confirmed = e.life.Equal(w.WorkerIncarnation)
		if e.confirmed && e.phase == beginning {
			e.phase, e.began = working, now
		}
		if e.moved.IsZero() || e.percent != r.Percent {
			e.percent, e.moved = r.Percent, now
		}
		w.progresses = w.progresses || r.Percent > 0
	}
	for _, run := range x.order() {
		if !listed[run] {
			effects = append(effects, x.missing(now, h, run, x.runs[run])...)
		}
	}
	effects = append(effects, x.checkProgress(now)...)
	// Starts wait for the first answer that shows nothing of an earlier agent.
	if before := w.usable(); len(a.Running) == 0 || before {
		w.fenced, w.silent = true, false
		if !before {
			effects = append(effects, x.tellStatus()...)
		}
	}
	return effects
}

const (
	// StallAfter is how long no run may make progress before the worker counts as
	// stalled. A run of some seconds shows progress several times in it.
	StallAfter = 200 * time.Millisecond
	// stallLeast is the least number of runs that must stand still: one may be a task
	// that makes no steady progress.
	stallLeast = 2
)

// checkProgress tells the gateways when a worker begins to stall, and when it has ended.
func (x *Executor) checkProgress(now time.Time) []Effect {
	still, moving := 0, 0
	for _, e := range x.runs {
		switch {
		case e.phase != working || !e.confirmed:
		case now.Sub(e.moved) >= StallAfter:
			still++
		case e.percent > 0:
			moving++
		}
	}
	stalled := x.worker.progresses && still >= stallLeast && moving == 0
	if stalled == x.worker.stalled {
		return nil
	}
	x.worker.stalled = stalled
	return x.tellStatus()
}

// takeEnds finishes the runs that a worker lists as ended.
func (x *Executor) takeEnds(now time.Time, ends []EndedRun) []Effect {
	var effects []Effect
	for _, end := range ends {
		if end.Number <= x.worker.seen {
			continue
		}
		x.worker.seen = end.Number
		if e := x.runs[end.Run]; e != nil {
			effects = append(effects, x.finish(now, end.Run, e, end.Outcome, "")...)
		}
	}
	return effects
}

// missing decides about a run that a hold shows neither as running nor as ended.
func (x *Executor) missing(now time.Time, h Hold, run RunID, e *execution) []Effect {
	switch {
	case !e.life.Equal(h.Worker):
		// The order names an earlier life, and its fence is refused now.
		return x.finish(now, run, e, Refused, Unanswered)
	case e.phase == doubtful && !e.stopAnswered.IsZero() && h.Sent.After(e.stopAnswered):
		return x.finish(now, run, e, Refused, Unanswered)
	case (e.phase == working || e.phase == stopping) && h.Sent.After(e.began):
		return x.finish(now, run, e, Lapsed, "")
	case e.phase == beginning && h.Sent.Sub(e.began) >= overdueAfter:
		return x.halt(now, run, e)
	}
	return nil
}

// HoldFailed takes a hold that got no answer, or showed that the worker has ended.
func (x *Executor) HoldFailed(now time.Time, h Hold, reply CallOutcome) []Effect {
	if reply == Gone || reply == Restarted {
		return x.gone(now, h.Worker, reply == Restarted)
	}
	x.noteSilence(now, h.Worker)
	if reply == StaleFence {
		return x.raiseFence(h)
	}
	return nil
}

// firstRaise is the first step by which a fence is raised that a worker has refused. First
// fences are times of day in milliseconds, and clocks are set by seconds.
const firstRaise = 1 << 10

// raiseFence raises the fence of a worker that has not obeyed yet, by a step that doubles
// with each refusal. One that has obeyed and then refuses is in the hands of another agent.
func (x *Executor) raiseFence(h Hold) []Effect {
	w := x.worker
	if w == nil || !w.WorkerIncarnation.Equal(h.Worker) || w.fenced || w.fence != h.Fence {
		return nil
	}
	x.raise = max(firstRaise, 2*x.raise)
	x.Fence += x.raise
	w.fence = x.Fence
	return []Effect{HoldNow{}}
}

// noteSilence notes that a worker has not answered a call.
func (x *Executor) noteSilence(now time.Time, l WorkerIncarnation) {
	if x.worker != nil && x.worker.WorkerIncarnation.Equal(l) {
		x.worker.unanswered = now
	}
}

// gone ends everything of a life that has ended. The worker must be fenced anew before
// it gets work, for it may come back under its name.
func (x *Executor) gone(now time.Time, l WorkerIncarnation, restarted bool) []Effect {
	if x.worker == nil || !x.worker.WorkerIncarnation.Equal(l) || !x.worker.fenced {
		return nil
	}
	effects := x.endRuns(now, restarted)
	x.worker.fenced = false
	x.Fence++
	x.worker.fence = x.Fence
	return append(effects, x.tellStatus()...)
}

// Tick looks at what time alone decides: permits and leases that are over, and orders
// to stop that got no answer.
func (x *Executor) Tick(now time.Time) []Effect {
	var effects []Effect
	for _, entry := range slices.Sorted(maps.Keys(x.owners)) {
		o := x.owners[entry]
		if !now.Before(o.permitUntil) {
			effects = append(effects, x.revoke(now, entry, func(e *execution) bool { return e.incarnation == o.incarnation })...)
		}
	}
	for _, run := range x.order() {
		if e := x.runs[run]; e.phase == doubtful || e.phase == stopping {
			effects = append(effects, x.halt(now, run, e)...)
		}
	}
	effects = append(effects, x.expireReservations(now)...)
	effects = append(effects, x.expireQueue(now)...)
	return append(effects, x.checkSilence(now)...)
}

// checkSilence ends what the worker was at work on when its lease is surely over. A
// start without an answer may still be carried out, so that one stays.
func (x *Executor) checkSilence(now time.Time) []Effect {
	w := x.worker
	if w == nil || !w.fenced || now.Sub(w.answered) < silentAfter {
		return nil
	}
	var effects []Effect
	if !w.silent {
		w.silent = true
		effects = x.tellStatus()
	}
	if now.Sub(w.extended) < silentAfter {
		return effects
	}
	for _, run := range x.order() {
		if e := x.runs[run]; e.phase == working || e.phase == stopping {
			effects = append(effects, x.finish(now, run, e, Lapsed, "")...)
		}
	}
	return effects
}
