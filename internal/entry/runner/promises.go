package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/member/claimer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/extender"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// maxMissedRefreshes is how many refresh intervals may pass without a successful read of
// the assignment before the other entries are asked for promises.
const maxMissedRefreshes = 2

// extendLease extends the lease by promises of the other entries while the table service
// does not answer. It repeats the requests once per refresh interval. The caller holds the
// lock.
func (r *Runner) extendLease(now time.Time) {
	if !r.claimer.Joined() || now.Sub(r.readAt) < maxMissedRefreshes*r.settings.Refresh {
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

// handlePromiseRequest returns the reply to another entry's request for a promise. If the
// promise is refused because that entry has read an older assignment, the reply carries the
// newest one that this entry has read.
func (r *Runner) handlePromiseRequest(now time.Time, from identifier.Entry, m *extender.Request) *extender.Promise {
	promise := r.extender.HandleRequest(now, from, m, r.claimer.Version())
	if promise.Duration == 0 && promise.Version > m.Version {
		a := r.claimer.Assignment()
		value, err := a.Encode()
		if err != nil {
			r.log.Error("assignment_not_encoded", logger.Error(err))
		}
		promise.Assignment = value
	}
	return promise
}

// handlePromise handles the reply to a request of this entry. A refusal may carry a newer
// assignment, which is observed like one that was read, but does not confirm the lease.
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
