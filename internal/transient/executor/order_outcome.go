package executor

import "time"

// HandleStartOutcome handles the outcome of a call to start a run.
func (x *Executor) HandleStartOutcome(now time.Time, order StartRun, outcome CallOutcome) []Effect {
	e := x.runs[order.Run]
	if outcome == Gone || outcome == Closed {
		effects := x.handleWorkerExit(now, order.Worker, outcome, order.Sent)
		// The order was not carried out, but the run may have ended with the worker already.
		if e != nil && x.runs[order.Run] == e && !e.confirmed && e.worker.Equal(order.Worker) {
			effects = append(effects, x.finish(now, order.Run, e, Refused, NoWorker, Evidence{StartUndelivered, now.Sub(e.since)})...)
		}
		return effects
	}
	if outcome == Silent {
		// The call may extend the lease even if its run has ended meanwhile.
		x.noteUnanswered(now, order.Worker)
		x.fenceOff(order.Worker, order.Fence)
	}
	if e == nil || !e.worker.Equal(order.Worker) {
		return nil
	}
	switch {
	case outcome == Declined:
		return x.finish(now, order.Run, e, Refused, Rejected, Evidence{StartDeclined, now.Sub(e.since)})
	case outcome == StaleFence:
		return x.finish(now, order.Run, e, Refused, Rejected, Evidence{StartFenced, now.Sub(e.since)})
	case outcome == Silent:
		if e.confirmed {
			return nil
		}
		return x.stopRun(now, order.Run, e)
	case e.phase == starting:
		e.phase, e.since = running, now
	case e.phase == uncertain:
		e.phase, e.since = stopping, now
	}
	return nil
}

// HandleStopOutcome handles the outcome of a call to stop a run.
func (x *Executor) HandleStopOutcome(now time.Time, order StopRun, outcome CallOutcome) []Effect {
	e := x.runs[order.Run]
	if e != nil {
		e.stopInFlight = false
	}
	if outcome == Gone || outcome == Closed {
		return x.handleWorkerExit(now, order.Worker, outcome, order.Sent)
	}
	if e == nil {
		return nil
	}
	if outcome == Silent {
		x.noteUnanswered(now, order.Worker)
	}
	if outcome != Accepted || x.worker == nil || !x.worker.WorkerIncarnation.Equal(order.Worker) {
		return nil
	}
	e.stopAnswered = now
	if e.phase == uncertain {
		return []Effect{HoldNow{}}
	}
	return nil
}
