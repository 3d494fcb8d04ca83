// Package estimator estimates the run times of tasks and the speeds of workers.
package estimator

// Speed is the speed of a worker as its sidecar has learned it. The zero value stands for an
// average worker of which nothing is known.
type Speed struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Factor is the ratio of run times on the worker to those on an average one.
	Factor float64
	// Runs is the number of runs that Factor rests on.
	Runs int
}
