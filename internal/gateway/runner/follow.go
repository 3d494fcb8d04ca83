package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/member/selector"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

const (
	// longPollTimeout is how long the store may wait for a change before it replies. A
	// dead connection is detected only after this time, so it is well below the time
	// within which a new manifest must be in force. Until then, other gateways pass on
	// the new manifest.
	longPollTimeout = time.Second
	// firstRetryPause and maxRetryPause bound the pause after a failed call. At the
	// maximum, a cell of a few hundred processes stays well below the store's rate limit.
	firstRetryPause = 100 * time.Millisecond
	maxRetryPause   = time.Second
)

// announce stores the address and the data centre of this gateway. It retries until that succeeds.
func (r *Runner) announce(ctx context.Context) {
	r.pollStore(ctx, "announce", func(ctx context.Context) (bool, error) {
		err := r.deps.Store.Announce(ctx, r.settings.Name, selector.Gateway{Link: r.settings.LinkAddr(), DataCentre: r.settings.DataCentre})
		return err == nil, err
	})
}

// followOperator adopts each new manifest and each change of an evacuation in the store until ctx
// ends. An error may concern the manifest alone: the evacuations that came with it are valid.
func (r *Runner) followOperator(ctx context.Context) {
	position := uint64(0)
	r.pollStore(ctx, "read_manifest", func(ctx context.Context) (bool, error) {
		m, found, evacuations, version, err := r.deps.Store.OperatorRows(ctx, position, longPollTimeout)
		position = version
		r.adoptOperatorRows(evacuations)
		if err != nil {
			return false, err
		}
		if found {
			r.adoptManifest(m, "store")
		}
		return false, nil
	})
}

// followGateways reads the addresses of other gateways from the store until ctx ends.
func (r *Runner) followGateways(ctx context.Context) {
	position := uint64(0)
	r.pollStore(ctx, "read_gateways", func(ctx context.Context) (bool, error) {
		gateways, skipped, version, err := r.deps.Store.Gateways(ctx, position, longPollTimeout)
		position = version
		if err != nil {
			return false, err
		}
		if skipped > 0 {
			r.log.Warn("rows_skipped", zap.Int("rows", skipped))
		}
		r.learnGateways(gateways)
		return false, nil
	})
}

// pollStore makes a call to the store repeatedly until the call reports that it is done
// or ctx ends, with exponential backoff after failures. It logs the first of several
// failures, and the first success after them.
func (r *Runner) pollStore(ctx context.Context, purpose string, call func(context.Context) (done bool, err error)) {
	pause := firstRetryPause
	failing := false
	for ctx.Err() == nil {
		done, err := call(ctx)
		if done {
			return
		}
		if err == nil {
			if failing {
				r.log.Info("store_regained", zap.String("purpose", purpose))
			}
			failing, pause = false, firstRetryPause
			continue
		}
		r.counters.storeFailures.Inc()
		if !failing && ctx.Err() == nil {
			r.log.Warn("store_lost", zap.String("purpose", purpose), logger.Error(err))
		}
		failing = true
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		pause = min(2*pause, maxRetryPause)
	}
}
