package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

const (
	// longPollTimeout is how long the store may wait for a change. A silent connection shows
	// only after it, so it stays well under the time in which a manifest must be in
	// force; other gateways tell of a new one meanwhile.
	longPollTimeout = time.Second
	// firstRetryPause and lastRetry bound the pause after a failed call. The last leaves
	// room in the store's rate for a cell of some hundred processes.
	firstRetryPause = 100 * time.Millisecond
	maxRetryPause   = time.Second
)

// announce stores the address of this gateway once.
func (r *Runner) announce(ctx context.Context) {
	r.pollStore(ctx, "announce", func(ctx context.Context) (bool, error) {
		err := r.deps.Store.Announce(ctx, r.settings.Name, r.settings.LinkAddr())
		return err == nil, err
	})
}

// followManifest puts each manifest in force until ctx ends.
func (r *Runner) followManifest(ctx context.Context) {
	position := uint64(0)
	r.pollStore(ctx, "read_manifest", func(ctx context.Context) (bool, error) {
		m, found, version, err := r.deps.Store.Manifest(ctx, position, longPollTimeout)
		position = version
		if err != nil {
			position = 0
			return false, err
		}
		if found {
			r.adoptManifest(m, "store")
		}
		return false, nil
	})
}

// followGateways learns of gateways until ctx ends.
func (r *Runner) followGateways(ctx context.Context) {
	position := uint64(0)
	r.pollStore(ctx, "read_gateways", func(ctx context.Context) (bool, error) {
		addrs, skipped, version, err := r.deps.Store.Gateways(ctx, position, longPollTimeout)
		position = version
		if err != nil {
			position = 0
			return false, err
		}
		if skipped > 0 {
			r.log.Warn("rows_unread", zap.Int("rows", skipped))
		}
		r.learnGateways(addrs)
		return false, nil
	})
}

// pollStore calls the store until done, with growing pauses after failures. It logs when
// the store is lost for a purpose and when it is back.
func (r *Runner) pollStore(ctx context.Context, purpose string, call func(context.Context) (done bool, err error)) {
	pause := firstRetryPause
	lost := false
	for ctx.Err() == nil {
		done, err := call(ctx)
		if done {
			return
		}
		if err == nil {
			if lost {
				r.log.Info("store_regained", zap.String("purpose", purpose))
			}
			lost, pause = false, firstRetryPause
			continue
		}
		r.counters.storeFailures.Inc()
		if !lost && ctx.Err() == nil {
			r.log.Warn("store_lost", zap.String("purpose", purpose), logger.Error(err))
		}
		lost = true
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		pause = min(2*pause, maxRetryPause)
	}
}
