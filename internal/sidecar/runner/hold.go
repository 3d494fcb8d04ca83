package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// minHoldGap is the shortest time between two holds, so that a worker that answers at
// once is not asked without end.
const minHoldGap = 4 * time.Millisecond

// idlePause is the time between two looks for a worker.
const idlePause = 50 * time.Millisecond

// hold extends the worker's lease and takes the ends that it lists, until ctx ends.
func (r *Runner) hold(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		h, ok := r.executor.NextHold(r.clock())
		r.mu.Unlock()
		pause := idlePause
		if ok && r.holdOnce(ctx, h) {
			pause = minHoldGap
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-r.look:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// holdOnce sends one hold and reports whether it was answered.
func (r *Runner) holdOnce(ctx context.Context, h executor.Hold) bool {
	held, reply := r.edges.Worker.Hold(ctx, h)
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
