package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// minHoldInterval is the shortest time between two holds, so that a worker that answers at
// once is not asked without end.
const minHoldInterval = 4 * time.Millisecond

// idleInterval is the time between two looks for a worker.
const idleInterval = 50 * time.Millisecond

// runHolds extends the worker's lease and takes the ends that it lists, until ctx ends.
func (r *Runner) runHolds(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		h, ok := r.executor.NextHold(r.clock())
		r.mu.Unlock()
		pause := idleInterval
		if ok && r.sendHold(ctx, h) {
			pause = minHoldInterval
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-r.holdNow:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// sendHold sends one hold and reports whether it was answered.
func (r *Runner) sendHold(ctx context.Context, h executor.Hold) bool {
	held, reply := r.deps.Worker.Hold(ctx, h)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if reply == executor.Accepted {
		r.perform(r.executor.HandleHoldReply(now, h, held))
		return true
	}
	if ctx.Err() == nil {
		r.log.Warn("hold_not_answered", zap.String("worker", h.Worker.Name), zap.Uint64("fence", h.Fence), zap.Stringer("reply", reply))
	}
	r.perform(r.executor.HoldFailed(now, h, reply))
	return false
}
