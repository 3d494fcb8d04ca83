package runner

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// drain gives the partitions to other entries, and returns when none is left or
// nobody takes them.
func (r *Runner) drain() {
	if err := r.life.Drain(); err != nil {
		r.log.Error("stage_change_failed", logger.Error(err))
	}
	r.mu.Lock()
	r.claimer.Leave()
	r.mu.Unlock()
	limit := time.NewTimer(r.drainTimeout())
	defer limit.Stop()
	for {
		r.mu.Lock()
		left := r.claimer.OwnedCount()
		alone := !r.claimer.HasSuccessor(r.clock())
		moved := r.routesChanged
		r.mu.Unlock()
		if left == 0 || alone {
			return
		}
		select {
		case <-moved:
		case <-limit.C:
			return
		}
	}
}

// drainTimeout is time for this entry to say that it leaves, for the others to see
// it, and for this one to see that they have claimed.
func (r *Runner) drainTimeout() time.Duration {
	return 4 * r.settings.Refresh
}
