package runner

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// drain marks this entry as leaving, and waits until the other entries have claimed all of
// its partitions. It returns early if no other entry can take them, or after
// drainTimeout.
func (r *Runner) drain() {
	if err := r.lifecycle.Drain(); err != nil {
		r.log.Error("stage_change_failed", logger.Error(err))
	}
	r.mu.Lock()
	r.claimer.Leave()
	r.mu.Unlock()
	timeout := time.NewTimer(r.drainTimeout())
	defer timeout.Stop()
	for {
		r.mu.Lock()
		owned := r.claimer.OwnedCount()
		alone := !r.claimer.HasSuccessor(r.clock())
		changed := r.routesChanged
		r.mu.Unlock()
		if owned == 0 || alone {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		}
	}
}

// drainTimeout returns how long drain waits. It leaves enough refreshes for this entry to
// write that it is leaving, for the others to read that and claim, and for this entry to
// read their claims.
func (r *Runner) drainTimeout() time.Duration {
	return 4 * r.settings.Refresh
}
