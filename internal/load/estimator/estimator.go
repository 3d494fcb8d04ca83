package estimator

import "time"

// Estimator predicts the run times of tasks from earlier run times in their queue and from the
// callers' estimates, which are wrong by tens of percent. The zero value is ready for use.
type Estimator struct {
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

// Observe adds a measured run time of a task in a queue. An estimate of zero means none.
func (e *Estimator) Observe(queue string, estimate, run time.Duration) {
	if e.queues == nil {
		e.queues = make(map[string]*queueStats)
	}
	stats := e.queues[queue]
	if stats == nil {
		stats = &queueStats{mean: run, ratio: 1}
		e.queues[queue] = stats
	}
	stats.mean += (run - stats.mean) / meanDivisor
	if estimate > 0 {
		stats.ratio += (float64(run)/float64(estimate) - stats.ratio) / meanDivisor
	}
}

// Expected returns the expected run time of a task in a queue on an average worker.
func (e *Estimator) Expected(queue string, estimate time.Duration) time.Duration {
	stats := e.queues[queue]
	switch {
	case stats == nil && estimate == 0:
		return defaultRunTime
	case stats == nil:
		return estimate
	case estimate == 0:
		return stats.mean
	}
	return time.Duration(float64(estimate) * stats.ratio)
}

// Slowdown tracks how long the tasks of one gateway run on a worker in relation to an average one.
// The zero value stands for an average worker.
type Slowdown struct {
	// excess is the moving average of the ratio of actual to expected run time, minus one.
	excess float64
}

// maxRatio caps the ratio of a single run, because some tasks run many times as long as
// others of their queue on any worker.
const maxRatio = 3

// Observe adds the actual and the expected run time of a run.
func (s *Slowdown) Observe(run, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(float64(run)/float64(expected), maxRatio)
	s.excess += (ratio - 1 - s.excess) / meanDivisor
}

// Factor returns the ratio of run times on the worker to those on an average one.
func (s *Slowdown) Factor() float64 {
	return 1 + s.excess
}
