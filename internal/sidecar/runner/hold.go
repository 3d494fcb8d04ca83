package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// minHoldInterval is the minimum time between two holds. Without it, a worker that answers at
// once would be called in a busy loop.
const minHoldInterval = 4 * time.Millisecond

// idleInterval is the time between two holds while there is no worker, or after repeated
// failures. The first failure may be that of a connection, which the next hold replaces: it tells
// at once whether the worker's process has ended.
const idleInterval = 50 * time.Millisecond

// runHolds sends holds to the worker until ctx ends. Holds extend the worker's lease and
// return the runs that have ended.
func (r *Runner) runHolds(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		r.mu.Lock()
		h, ok := r.executor.NextHold(r.clock())
		r.mu.Unlock()
		interval := minHoldInterval
		switch {
		case !ok:
			interval = idleInterval
		case r.sendHold(ctx, h):
			failures = 0
		default:
			failures++
		}
		if failures > 1 {
			interval = idleInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-r.holdNow:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// sendHold sends one hold and reports whether it was accepted.
func (r *Runner) sendHold(ctx context.Context, h executor.Hold) bool {
	reply, outcome := r.deps.Worker.Hold(ctx, h)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if outcome == executor.Accepted {
		r.perform(r.executor.HandleHoldReply(now, h, reply))
		return true
	}
	if ctx.Err() == nil {
		r.log.Warn("hold_failed", zap.String("worker", h.Worker.Name), zap.Uint64("fence", h.Fence), zap.Stringer("reply", outcome))
	}
	r.perform(r.executor.HoldFailed(now, h, outcome))
	return false
}
