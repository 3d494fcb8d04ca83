package dispatcher

import "time"

// Estimator estimates how long the tasks of a template run. The zero value has no
// observations.
type Estimator struct {
	means map[string]time.Duration
}

// smoothingDivisor is the inverse of the weight that one observation has in the moving
// mean.
const smoothingDivisor = 16

// Observe adds the run time of one task to the mean of its template.
func (e *Estimator) Observe(template string, run time.Duration) {
	if e.means == nil {
		e.means = make(map[string]time.Duration)
	}
	mean, ok := e.means[template]
	if !ok {
		e.means[template] = run
		return
	}
	e.means[template] = mean + (run-mean)/smoothingDivisor
}

// Mean returns the exponential moving mean of a template's run times, or def if there
// are no observations.
func (e *Estimator) Mean(template string, def time.Duration) time.Duration {
	if mean, ok := e.means[template]; ok {
		return mean
	}
	return def
}
