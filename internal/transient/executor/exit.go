package executor

import (
	"slices"
	"time"
)

// handleWorkerExit handles a call, sent at the given time, whose outcome shows that a worker has exited
// or that nothing listens at its address. It ends the worker's runs, and adopts its successor if one was
// reported. The worker gets no more runs until it has accepted a higher fencing token, because
// it may restart under the same name.
//
// A worker that shuts down may close its port before its runs have ended. After its announcement
// the runs therefore end only when the lease has expired, unless another incarnation answers.
func (x *Executor) handleWorkerExit(now time.Time, worker WorkerIncarnation, outcome CallOutcome, sent time.Time) []Effect {
	w := x.worker
	if w == nil || !w.WorkerIncarnation.Equal(worker) {
		return nil
	}
	if outcome == Closed && w.leaving() && w.fenced && !w.leaseOver(now) {
		return x.handleClosed(now)
	}
	var effects []Effect
	if w.fenced {
		ground := exitGround(outcome)
		effects = append(x.recordExit(now, ground), x.endRuns(now, ground, sent)...)
		w.fenced = false
		x.Fence++
		w.fence = x.Fence
		effects = append(effects, x.sendStatus(now)...)
	}
	w.presence = exited
	switch {
	case x.successor != nil:
		effects = append(effects, x.adopt(now, x.successor.report)...)
	case w.left:
		x.worker = nil
	}
	return effects
}

// handleClosed handles the first refusal of a connection by a worker that is leaving.
func (x *Executor) handleClosed(now time.Time) []Effect {
	if x.worker.closed {
		return nil
	}
	x.worker.closed = true
	return append(x.refuseQueue(now, NoWorker), x.sendStatus(now)...)
}

// refuseQueue refuses the queued runs, which the worker does not know.
func (x *Executor) refuseQueue(now time.Time, reason Reason) []Effect {
	var effects []Effect
	for _, run := range slices.Clone(x.queue) {
		e := x.runs[run]
		effects = append(effects, x.finish(now, run, e, Refused, reason, Evidence{QueueRefused, now.Sub(e.since)})...)
	}
	return effects
}

// endRuns ends the runs of a worker that has exited, as a call showed that was sent at the given
// time. Two kinds of runs become uncertain instead, until the next incarnation has accepted a higher
// fencing token: those whose start order got no answer, because the next incarnation may still carry
// it out, and those that no hold reply has confirmed, if the next incarnation may be the one that
// answered their start order. That is so if it has started already, or if the answer came after the
// call was sent: the outcome of the call may be handled late.
func (x *Executor) endRuns(now time.Time, ground Ground, sent time.Time) []Effect {
	effects := x.refuseQueue(now, NoWorker)
	for _, run := range x.sortedRuns() {
		e := x.runs[run]
		if e.phase == starting || e.phase == uncertain || (!e.confirmed && (ground.restarted() || e.since.After(sent))) {
			e.phase, e.stopInFlight, e.stopAnswered = uncertain, false, time.Time{}
			continue
		}
		effects = append(effects, x.finish(now, run, e, Lapsed, "", Evidence{ground, x.sinceAnswered(now)})...)
	}
	return effects
}

// restarted reports whether the next incarnation of the worker has started already, and may have
// answered calls that were meant for the one that has exited.
func (g Ground) restarted() bool {
	return g == WorkerRestarted || g == WorkerReplaced
}

// sinceAnswered returns the time since the last hold was sent that the worker answered, or zero if it
// has answered none.
func (x *Executor) sinceAnswered(now time.Time) time.Duration {
	if x.worker == nil || x.worker.lastAnswered.IsZero() {
		return 0
	}
	return now.Sub(x.worker.lastAnswered)
}
