package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/member/claimer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/extender"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// silentReadings is how many readings of the assignment may fail before the other
// entries are asked for promises.
const silentReadings = 2

// extend keeps the lease up by promises while the table service gives no answer.
func (r *Runner) extend(now time.Time) {
	if !r.claimer.Joined() || now.Sub(r.readAt) < silentReadings*r.settings.Refresh {
		return
	}
	others := r.claimer.Others()
	if now.Sub(r.askedAt) >= r.settings.Refresh {
		r.askedAt = now
		for _, name := range others {
			r.sendOn(r.dialled[name], r.promiser.NewRequest(now, name, r.claimer.Member.Incarnation, r.claimer.Version()))
		}
	}
	if lease, ok := r.promiser.Lease(now, others); ok {
		r.perform(r.owner.ExtendLease(now, lease))
	}
}

// answerAsk answers another entry's wish for a promise. One with an older view gets
// the newest that this entry has.
func (r *Runner) answerAsk(now time.Time, from identifier.Entry, m *extender.Request) *extender.Promise {
	answer := r.promiser.HandleRequest(now, from, m, r.claimer.Version())
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

// takePromise takes the answer to a question of this entry. A newer assignment that
// comes with a refusal is observed; it confirms nothing.
func (r *Runner) takePromise(now time.Time, from identifier.Entry, m *extender.Promise) {
	r.promiser.HandlePromise(from, m)
	if len(m.Assignment) == 0 {
		return
	}
	a, err := claimer.ParseAssignment(m.Assignment)
	if err != nil {
		r.log.Error("assignment_not_parsed", zap.String("entry", string(from)), logger.Error(err))
		return
	}
	claims, _ := r.observe(now, a, m.Version)
	r.unsealed = append(r.unsealed, claims...)
}
