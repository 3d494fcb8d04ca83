package coordinator

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// Addresses this load: at the end of an evacuation all workers of a data centre become
// free at the same moment, and the work that waits at a peak would fill them within milliseconds,
// while they are slow after their start. The same holds for a single worker that has just started.
const (
	// rampDuration is the time within which the share of a returned worker that is used rises
	// from 1/rampStart to all.
	rampDuration = 2 * time.Second
	rampStart    = 4
	// coldPenalty ranks cold workers behind warm ones, and rampPenalty the part of a returned
	// worker that is not to be used yet behind all others. Both exceed any difference in run time,
	// and are less than avoidancePenalty.
	coldPenalty = 5 * time.Second
	rampPenalty = 20 * time.Second
)

// ramp is what a gateway knows of the return of a worker.
type ramp struct {
	// evacuated is set while the worker was known to be evacuated, and returnedAt is when it was
	// not any more, or when it was first seen cold.
	evacuated  bool
	returnedAt time.Time
	// coldUntil is until when the worker is slow after its start.
	coldUntil time.Time
}

// noteStatus records what the status of an agent says of the worker's return. A worker that is
// cold for longer than rampDuration has one ramp, not several.
func (r *ramp) noteStatus(now time.Time, s *executor.Status) {
	if r.evacuated && !s.Evacuated {
		r.returnedAt = now
	}
	r.evacuated = s.Evacuated
	if s.ColdFor > 0 && !now.Before(r.coldUntil) {
		r.returnedAt = now
	}
	r.coldUntil = time.Time{}
	if s.ColdFor > 0 {
		r.coldUntil = now.Add(s.ColdFor)
	}
}

// rampShare returns the part of a capacity that is used at a time after a return.
func rampShare(since time.Duration, capacity int) int {
	if since < 0 || since >= rampDuration {
		return capacity
	}
	first := capacity / rampStart
	return first + int(int64(capacity-first)*int64(since)/int64(rampDuration))
}

// returnCost returns the penalty for a task at a worker that is cold, or that would use more than
// its share since its return or since the end of the evacuation of its data centre. It is a
// penalty and no refusal, so that the whole worker is used if no other one has free capacity.
func (c *Coordinator) returnCost(now time.Time, a *agent, demand specifier.Resources) time.Duration {
	cost := time.Duration(0)
	if now.Before(a.ramp.coldUntil) {
		cost = coldPenalty
	}
	returned := a.ramp.returnedAt
	if at := c.evacuations.withdrawn[identifier.DataCentre(a.status.Zone)]; at.After(returned) {
		returned = at
	}
	if returned.IsZero() {
		return cost
	}
	used := a.status.UsedByOthers.Add(a.used).CPU
	if used > 0 && used+demand.CPU > rampShare(now.Sub(returned), a.status.Capacity.CPU) {
		cost += rampPenalty
	}
	return cost
}
