package executor

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/load/estimator"
)

// learnEnd adds a run that has succeeded to the speed of the worker.
func (x *Executor) learnEnd(now time.Time, e *execution, outcome Outcome) {
	if outcome == Done && x.learns(e) {
		x.worker.learner.Ended(now, now.Sub(e.since), e.expected)
	}
}

// learnProgress adds the progress of a listed run to the speed of the worker.
func (x *Executor) learnProgress(now time.Time, e *execution) {
	if x.learns(e) && e.phase == running {
		e.pace.Progressed(now, e.since, e.percent, e.expected)
	}
}

// learns reports whether a run shows the speed of the present worker.
func (x *Executor) learns(e *execution) bool {
	return x.Policy.WorkerSpeeds && x.worker != nil && e.worker.Equal(x.worker.WorkerIncarnation)
}

// reportSpeed compares the progress of the runs, and sends the status of the worker if its speed has
// changed. While the worker is stalled, its speed says nothing.
func (x *Executor) reportSpeed(now time.Time) []Effect {
	w := x.worker
	if !x.Policy.WorkerSpeeds || w.stalled {
		return nil
	}
	w.learner.Compare(now, func(yield func(*estimator.Pace) bool) {
		for _, e := range x.runs {
			if e.phase == running && !yield(&e.pace) {
				return
			}
		}
	})
	if !w.usable() || !w.learner.Report(now) {
		return nil
	}
	var effects []Effect
	for _, gateway := range x.linkedGateways() {
		effects = append(effects, x.sendStatusTo(now, gateway))
	}
	return effects
}

// sendStatusTo sends the status of the worker to a linked gateway, with the usage that this one knows
// already: free capacity that is announced to all gateways at once makes most of their starts refused.
func (x *Executor) sendStatusTo(now time.Time, gateway identifier.Entry) Effect {
	g := x.gateways[gateway]
	s := x.status(now, g)
	s.UsedByOthers = g.usage.lastReported
	return Send{gateway, &s}
}

// WorkerSpeed returns the speed of the present worker. It is the zero value if there is no worker.
func (x *Executor) WorkerSpeed() estimator.Speed {
	if x.worker == nil {
		return estimator.Speed{}
	}
	return x.worker.learner.Speed()
}

const (
	// stallPercents is the least progress, in percent, that a running task is expected to make within
	// the time after which it counts as one without progress.
	stallPercents = 2
	// maxStallAfter bounds that time, so that a worker that stalls while it is slow is found.
	maxStallAfter = time.Second
)

// stallAfter returns how long a run may go without progress. On a slow worker, a run of several
// seconds takes longer than StallAfter for each percent.
func (x *Executor) stallAfter(e *execution) time.Duration {
	if !x.Policy.WorkerSpeeds {
		return StallAfter
	}
	percent := time.Duration(float64(e.expected) * x.worker.learner.Speed().Factor / 100)
	return min(max(StallAfter, stallPercents*percent), maxStallAfter)
}
