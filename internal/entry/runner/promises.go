package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/member/claimer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/extender"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// toleratedReadFailures is how many readings of the assignment may fail before the other
// entries are asked for promises.
const toleratedReadFailures = 2

// extendLease keeps the lease up by promises while the table service gives no answer.
func (r *Runner) extendLease(now time.Time) {
	if !r.claimer.Joined() || now.Sub(r.readAt) < toleratedReadFailures*r.settings.Refresh {
		return
	}
	others := r.claimer.Others()
	if now.Sub(r.requestedAt) >= r.settings.Refresh {
		r.requestedAt = now
		for _, name := range others {
			r.sendOn(r.dialled[name], r.extender.NewRequest(now, name, r.claimer.Member.Incarnation, r.claimer.Version()))
		}
	}
	if lease, ok := r.extender.Lease(now, others); ok {
		r.perform(r.owner.ExtendLease(now, lease))
	}
}

// handlePromiseRequest answers another entry's wish for a promise. One with an older view gets
// the newest that this entry has.
func (r *Runner) handlePromiseRequest(now time.Time, from identifier.Entry, m *extender.Request) *extender.Promise {
	answer := r.extender.HandleRequest(now, from, m, r.claimer.Version())
	if answer.Duration == 0 && answer.Version > m.Version {
		a := r.claimer.Assignment()
		value, err := a.Encode()
		if err != nil {
			r.log.Error("assignment_not_encoded", logger.Error(err))
		}
		answer.Assignment = value
	}
	return answer
}

// handlePromise takes the answer to a question of this entry. A newer assignment that
// comes with a refusal is observed; it confirms nothing.
func (r *Runner) handlePromise(now time.Time, from identifier.Entry, m *extender.Promise) {
	r.extender.HandlePromise(from, m)
	if len(m.Assignment) == 0 {
		return
	}
	a, err := claimer.ParseAssignment(m.Assignment)
	if err != nil {
		r.log.Error("assignment_not_parsed", zap.String("entry", string(from)), logger.Error(err))
		return
	}
	claims, _ := r.observeAssignment(now, a, m.Version)
	r.unsealed = append(r.unsealed, claims...)
}
