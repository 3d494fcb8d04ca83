package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/internal/member/drainer"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/coordinator"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// maxManifestWait is how long a request waits for the first manifest. After a start, the
// first manifest is normally read within about ten milliseconds.
const maxManifestWait = 150 * time.Millisecond

// Route returns the queue for a host and a path according to the current manifest, and
// the rest of the path. Before the first manifest it waits for up to maxManifestWait;
// ready reports whether there is a manifest.
func (r *Runner) Route(ctx context.Context, host, path string) (queue specifier.Queue, rest string, found, ready bool) {
	limit := time.NewTimer(maxManifestWait)
	defer limit.Stop()
	select {
	case <-r.firstManifest:
	case <-limit.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	queue, rest, found = r.router.Route(host, path)
	return queue, rest, found, r.router.Manifest().Version > 0
}

// caller is a caller that waits for the answer of a job.
type caller struct {
	answer chan coordinator.Answer
	// connected reports whether the caller has not closed its connection.
	connected func() bool
}

// callers holds the caller of each job.
type callers map[specifier.JobID]*caller

// Waits reports whether the caller of a job still waits for its answer.
func (c callers) Waits(id specifier.JobID) bool {
	return c[id] != nil && c[id].connected()
}

// Submit submits a job and waits for its answer. When a second caller submits the same
// job, it replaces the first, which is told that the job is unfinished.
func (r *Runner) Submit(ctx context.Context, job specifier.Job) coordinator.Answer {
	c := &caller{answer: make(chan coordinator.Answer, 1), connected: func() bool { return listener.PeerConnected(ctx) }}
	r.acceptJob(c, job)
	select {
	case a := <-c.answer:
		return a
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.callers[job.ID] == c {
		delete(r.callers, job.ID)
		r.perform(r.coordinator.CallerLeft(r.clock(), job.ID))
	}
	return coordinator.Answer{State: coordinator.Unfinished}
}

// acceptJob passes the job of a caller to the coordinator.
func (r *Runner) acceptJob(c *caller, job specifier.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.jobs.Inc()
	if !c.connected() {
		// The caller may have submitted the job again, and must not be replaced by one who has left.
		r.counters.closedUnread.Inc()
		r.log.Info("job_refused", zap.String("job", string(job.ID)), zap.String("cause", coordinator.CauseConnectionClosed))
		c.answer <- coordinator.Answer{State: coordinator.Unfinished}
		return
	}
	if previous := r.callers[job.ID]; previous != nil {
		previous.answer <- coordinator.Answer{State: coordinator.Unfinished}
	}
	r.callers[job.ID] = c
	now := r.clock()
	resubmitted := r.coordinator.Knows(now, job.ID)
	if resubmitted {
		r.counters.resubmitted.Inc()
	}
	r.log.Info("job_accepted", zap.String("job", string(job.ID)), zap.String("queue", job.Queue.Name), zap.Int("tasks", job.Tasks),
		zap.Duration("budget", job.Budget), zap.Duration("estimate", job.Estimate), zap.Uint64("manifest", r.router.Manifest().Version),
		zap.Bool("resubmitted", resubmitted))
	r.perform(r.coordinator.Submit(now, job))
}

// JobState returns the state of a job.
func (r *Runner) JobState(id specifier.JobID) coordinator.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coordinator.State(r.clock(), id)
}

// WaitingJobs returns the number of jobs of a queue that wait with no task started.
func (r *Runner) WaitingJobs(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coordinator.WaitingJobs(queue)
}

// Draining reports whether the gateway is not yet or no longer serving. Connections should
// then be closed after an answer.
func (r *Runner) Draining() bool {
	return r.lifecycle.Stage() != drainer.Serving
}
