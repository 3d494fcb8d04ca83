package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// HandleReport takes a report of the worker.
func (r *Runner) HandleReport(report executor.WorkerReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, known := r.executor.WorkerReport()
	r.perform(r.executor.WorkerReported(r.clock(), report))
	if known && before.WorkerIncarnation.Equal(report.WorkerIncarnation) && before.Draining == report.Draining {
		return
	}
	r.log.Info("worker_reported", zap.String("worker", report.Name), zap.Time("born", report.StartedAt), zap.Bool("draining", report.Draining))
	select {
	case r.reportChanged <- struct{}{}:
	default:
	}
}

// WorkerLeft takes the goodbye of the worker.
func (r *Runner) WorkerLeft(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Info("worker_left", zap.String("worker", worker))
	r.perform(r.executor.WorkerLeft(r.clock(), worker))
}

// saveRetryInterval is the time between two tries to store a report.
const saveRetryInterval = time.Second

// persistReports restores the worker from the store, for it reports itself only now and then,
// and stores each report that differs from the one before.
func (r *Runner) persistReports(ctx context.Context) {
	r.restore(ctx)
	for {
		select {
		case <-r.reportChanged:
		case <-ctx.Done():
			return
		}
		for !r.save(ctx) {
			select {
			case <-time.After(saveRetryInterval):
			case <-ctx.Done():
				return
			}
		}
	}
}

func (r *Runner) restore(ctx context.Context) {
	report, found, err := r.deps.Store.LoadWorker(ctx, r.settings.Name)
	if err != nil {
		r.log.Warn("worker_not_restored", logger.Error(err))
		return
	}
	if !found {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Info("worker_restored", zap.String("worker", report.Name), zap.Time("born", report.StartedAt), zap.Bool("draining", report.Draining))
	r.perform(r.executor.WorkerRestored(r.clock(), report))
}

// save stores the newest report, and reports whether it did.
func (r *Runner) save(ctx context.Context) bool {
	r.mu.Lock()
	report, known := r.executor.WorkerReport()
	r.mu.Unlock()
	if !known {
		return true
	}
	if err := r.deps.Store.SaveWorker(ctx, r.settings.Name, report); err != nil {
		r.log.Warn("worker_not_stored", logger.Error(err))
		return false
	}
	return true
}
