package dispatcher

import "time"

// Estimator learns how long the tasks of a template run. The zero value knows
// nothing and answers with the given default.
type Estimator struct {
	means map[string]time.Duration
}

// weight is the share of one observation in the moving mean, as a divisor.
const weight = 16

// Observe adds a run of one task.
func (e *Estimator) Observe(template string, run time.Duration) {
	if e.means == nil {
		e.means = make(map[string]time.Duration)
	}
	mean, ok := e.means[template]
	if !ok {
		e.means[template] = run
		return
	}
	e.means[template] = mean + (run-mean)/weight
}

// Mean returns the moving mean of a template's runs, or def when none was seen.
func (e *Estimator) Mean(template string, def time.Duration) time.Duration {
	if mean, ok := e.means[template]; ok {
		return mean
	}
	return def
}
