package runner

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/arbiter"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/canceller"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/coordinator"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// Cancel cancels a job, wherever it is, and returns its state after that. It waits until the arbiters of
// the job know of it and the gateways with the job have answered, or for some 200 ms at most.
func (r *Runner) Cancel(id specifier.JobID) coordinator.State {
	return <-r.beginCancel(id)
}

// beginCancel cancels a job here and asks other gateways to do so. The returned channel receives the
// state of the job.
func (r *Runner) beginCancel(id specifier.JobID) <-chan coordinator.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.cancels.Inc()
	now := r.clock()
	state, effects := r.coordinator.Cancel(now, id)
	r.perform(effects)
	r.arbiter.NoteCancel(now, id)
	var toAsk []identifier.Entry
	if r.linker.FullMesh() {
		toAsk = r.arbiter.CancelArbitersOf(now, id)
	}
	number, sends, ended := r.canceller.Begin(now, id, state, toAsk, r.arbiter.HoldersOf(now, id), r.linkedGateways())
	result := make(chan coordinator.State, 1)
	r.cancels[number] = result
	r.sendDecisions(now, sends)
	r.endCancels(ended)
	return result
}

// handleCancel cancels a job at the request of another gateway, and passes that on to those that have
// claimed the job here. The caller holds the lock.
func (r *Runner) handleCancel(now time.Time, m *arbiter.Cancel) {
	state, effects := r.coordinator.Cancel(now, m.Job)
	r.perform(effects)
	sends := r.arbiter.HandleCancel(now, m)
	r.sendDecisions(now, sends)
	if m.Number == 0 {
		return
	}
	outcome := &canceller.Outcome{Job: m.Job, Number: m.Number, State: state}
	for _, s := range sends {
		outcome.PassedOn = append(outcome.PassedOn, s.To)
	}
	r.sendGateway(now, m.Asker, outcome)
}

// tickCancels asks further gateways where some have not answered, and answers callers that have waited
// for long enough. The caller holds the lock.
func (r *Runner) tickCancels(now time.Time) {
	sends, ended := r.canceller.Tick(now, r.linkedGateways())
	r.sendDecisions(now, sends)
	r.endCancels(ended)
}

// endCancels answers the callers of cancels. The caller holds the lock.
func (r *Runner) endCancels(ended []canceller.Ended) {
	for _, e := range ended {
		if len(e.Unanswered) > 0 {
			r.counters.cancelsUnanswered.Inc()
		}
		r.log.Info("job_cancelled", zap.String("job", string(e.Job)), zap.Stringer("state", e.State), zap.Int("unanswered", len(e.Unanswered)))
		if result := r.cancels[e.Number]; result != nil {
			delete(r.cancels, e.Number)
			result <- e.State
		}
	}
}

// linkedGateways returns the other gateways that are linked. The caller holds the lock.
func (r *Runner) linkedGateways() []identifier.Entry {
	var names []identifier.Entry
	for _, l := range r.peerLinks {
		names = append(names, l.process.Gateway)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
