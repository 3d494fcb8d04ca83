package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// HandleReport handles a report of the worker. A report that differs from the last one in
// more than its sequence number is stored, unless it describes an incarnation that
// has not answered a call yet. An error means that the report was refused.
func (r *Runner) HandleReport(report executor.WorkerReport) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, confirmed := r.executor.WorkerReport()
	effects, err := r.executor.WorkerReported(r.clock(), report)
	if err != nil {
		return err
	}
	r.perform(effects)
	if confirmed && previous.Describes(&report) {
		return nil
	}
	confirmed = confirmed && previous.WorkerIncarnation.Equal(report.WorkerIncarnation)
	r.log.Info("worker_reported", zap.String("worker", report.Name), zap.Time("born", report.StartedAt), zap.Bool("draining", report.Draining), zap.Bool("confirmed", confirmed))
	if confirmed {
		r.storeReport()
	}
	return nil
}

// storeReport makes persistReports store the latest report.
func (r *Runner) storeReport() {
	select {
	case r.reportChanged <- struct{}{}:
	default:
	}
}

// WorkerLeft handles a deregistration. One that names another worker, or repeats an earlier one,
// has no effect.
func (r *Runner) WorkerLeft(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	effects := r.executor.WorkerLeft(r.clock(), worker)
	r.log.Info("worker_left", zap.String("worker", worker), zap.Bool("ignored", effects == nil))
	r.perform(effects)
}

// saveRetryInterval is the time between two attempts to store a report.
const saveRetryInterval = time.Second

// persistReports restores the worker from the store, because the worker's next report may be
// some time away. It then stores the latest report whenever reportChanged holds a value.
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

// restore passes the stored report of the worker to the executor.
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
	effects, err := r.executor.WorkerRestored(r.clock(), report)
	if err != nil {
		r.log.Warn("worker_not_restored", logger.Error(err))
		return
	}
	r.log.Info("worker_restored", zap.String("worker", report.Name), zap.Time("born", report.StartedAt), zap.Bool("draining", report.Draining), zap.Bool("ignored", effects == nil))
	r.stored = report
	r.perform(effects)
}

// save stores the latest report, if there is one that is not stored already. It returns false
// if that failed.
func (r *Runner) save(ctx context.Context) bool {
	r.mu.Lock()
	report, known := r.executor.WorkerReport()
	r.mu.Unlock()
	if !known || r.stored.Describes(&report) {
		return true
	}
	if err := r.deps.Store.SaveWorker(ctx, r.settings.Name, report); err != nil {
		r.log.Warn("worker_not_stored", logger.Error(err))
		return false
	}
	r.stored = report
	return true
}
