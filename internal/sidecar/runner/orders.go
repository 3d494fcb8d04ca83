package runner

import (
	"context"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// perform carries out the effects that the executor returned. The caller holds the lock.
func (r *Runner) perform(effects []executor.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case executor.Send:
			r.send(&e)
		case executor.CloseLink:
			r.closeLink(e.To)
		case executor.RunEnded:
			r.logEnd(&e)
		case executor.StartRun:
			r.counters.starts.Inc()
			r.dispatch(func() { r.startRun(e) })
		case executor.StopRun:
			r.dispatch(func() { r.stopRun(e) })
		case executor.HoldNow:
			r.requestHold()
		case executor.WorkerConfirmed:
			r.log.Info("worker_confirmed", zap.String("worker", e.Worker.Name), zap.Time("born", e.Worker.StartedAt))
			r.storeReport()
		case executor.WorkerExited:
			r.counters.workerExits.Inc()
			r.log.Warn("worker_exited", zap.String("worker", e.Worker.Name), zap.Time("born", e.Worker.StartedAt), zap.Bool("announced", e.Announced), zap.Stringers("runs", e.Runs))
		case executor.EvacuationChanged:
			r.log.Info("evacuation_changed", zap.String("data_centre", string(e.DataCentre)), zap.Bool("evacuated", e.Evacuated), zap.Uint64("version", e.Version))
		case executor.EndedRunListed:
			r.counters.listedAfterEnd.Inc()
			listed := "running"
			if e.Outcome != 0 {
				listed = e.Outcome.String()
			}
			r.log.Warn("run_listed_after_end", zap.Stringer("run", e.Run), zap.String("listed", listed), zap.String("worker", e.Worker.Name), zap.Time("born", e.Worker.StartedAt), zap.Bool("same_incarnation", e.SameIncarnation),
				zap.Stringer("ground", e.Evidence.Ground), zap.Duration("evidence_age", e.Evidence.Age), zap.Duration("ended_before", e.Ago))
		case executor.UnknownRunListed:
			r.counters.listedUnknown.Inc()
			r.log.Warn("unknown_run_listed", zap.Stringer("run", e.Run), zap.String("worker", e.Worker.Name), zap.Time("born", e.Worker.StartedAt))
		}
	}
}

// send sends a message to a gateway, if it is linked.
func (r *Runner) send(e *executor.Send) {
	link := r.links[e.To]
	if link == nil {
		return
	}
	r.counters.messagesSent.Inc()
	if err := link.Send(e.Message); err != nil {
		r.log.Error("send_failed", zap.String("gateway", string(e.To)), logger.Error(err))
	}
}

// closeLink closes the link to a gateway that does not answer.
func (r *Runner) closeLink(gateway identifier.Entry) {
	if link := r.links[gateway]; link != nil {
		r.log.Warn("gateway_silent", zap.String("gateway", string(gateway)))
		link.Close()
	}
}

// logEnd counts and logs the end of a run.
func (r *Runner) logEnd(e *executor.RunEnded) {
	m := &e.Ended
	r.counters.ends[e.Evidence.Ground].Inc()
	if m.Outcome == executor.Refused {
		r.counters.refused.Inc()
	}
	if m.Reason == executor.Evacuated {
		r.counters.refusedEvacuated.Inc()
	}
	r.log.Info("run_ended", zap.Stringer("run", m.Run), zap.String("gateway", string(e.Gateway)), zap.Stringer("how", m.Outcome),
		zap.String("reason", string(m.Reason)), zap.Duration("took", m.Took), zap.Stringer("ground", e.Evidence.Ground), zap.Duration("evidence_age", e.Evidence.Age))
}

// dispatch makes a call to the worker in a goroutine of its own. The caller holds the lock.
func (r *Runner) dispatch(call func()) {
	r.pendingOrders++
	go func() {
		call()
		r.orderDone <- struct{}{}
	}()
}

func (r *Runner) startRun(order executor.StartRun) {
	outcome := r.deps.Worker.StartRun(context.Background(), order)
	r.logOutcome("start", order.Run, outcome)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(r.executor.HandleStartOutcome(r.clock(), order, outcome))
}

func (r *Runner) stopRun(order executor.StopRun) {
	outcome := r.deps.Worker.StopRun(context.Background(), order)
	r.logOutcome("stop", order.Run, outcome)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(r.executor.HandleStopOutcome(r.clock(), order, outcome))
}

// logOutcome logs an order that the worker did not accept, and counts those without an answer.
func (r *Runner) logOutcome(order string, run executor.RunID, outcome executor.CallOutcome) {
	if outcome == executor.Accepted {
		return
	}
	if outcome == executor.Silent {
		r.counters.unansweredOrders.Inc()
	}
	r.log.Warn("order_failed", zap.String("order", order), zap.Stringer("run", run), zap.Stringer("reply", outcome))
}
