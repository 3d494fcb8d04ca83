package coordinator

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// estimator predicts the run times of tasks from earlier run times and from the callers'
// estimates.
type estimator struct {
	queues map[string]*queueStats
}

// queueStats holds the moving averages of the run times in a queue and of the ratio of run
// time to estimate.
type queueStats struct {
	mean  time.Duration
	ratio float64
}

// meanDivisor is the inverse weight of one observation in a moving average.
const meanDivisor = 32

// defaultRunTime is the expected run time of a task without an estimate in a queue without
// observations.
const defaultRunTime = 200 * time.Millisecond

// observe adds a measured run time of a task of a job.
func (e *estimator) observe(j *specifier.Job, run time.Duration) {
	if e.queues == nil {
		e.queues = make(map[string]*queueStats)
	}
	stats := e.queues[j.Queue.Name]
	if stats == nil {
		stats = &queueStats{mean: run, ratio: 1}
		e.queues[j.Queue.Name] = stats
	}
	stats.mean += (run - stats.mean) / meanDivisor
	if j.Estimate > 0 {
		stats.ratio += (float64(run)/float64(j.Estimate) - stats.ratio) / meanDivisor
	}
}

// expectedRunTime returns the expected run time of a task of a job.
func (e *estimator) expectedRunTime(j *specifier.Job) time.Duration {
	stats := e.queues[j.Queue.Name]
	switch {
	case stats == nil && j.Estimate == 0:
		return defaultRunTime
	case stats == nil:
		return j.Estimate
	case j.Estimate == 0:
		return stats.mean
	}
	return time.Duration(float64(j.Estimate) * stats.ratio)
}

// slowdown tracks how long tasks run on a worker in relation to an average one. The zero
// value stands for an average worker.
type slowdown struct {
	// excess is the moving average of the ratio of actual to expected run time, minus one.
	excess float64
}

// maxRatio caps the ratio of a single run, because some tasks run many times as long as
// others of their queue on any worker.
const maxRatio = 3

// observe adds the actual and the expected run time of a run.
func (s *slowdown) observe(run, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(float64(run)/float64(expected), maxRatio)
	s.excess += (ratio - 1 - s.excess) / meanDivisor
}

// factor returns the ratio of run times on the worker to those on an average one.
func (s *slowdown) factor() float64 {
	return 1 + s.excess
}
