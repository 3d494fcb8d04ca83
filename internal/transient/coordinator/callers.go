package coordinator

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// Callers knows the callers of jobs.
type Callers interface {
	// Waits reports whether the caller of a job still waits for its answer. A caller that has
	// left submits the job again after a while, to any gateway.
	Waits(id specifier.JobID) bool
}

// callerWaits reports whether the caller of a job still waits for its answer.
func (c *Coordinator) callerWaits(j *job) bool {
	return c.Callers == nil || c.Callers.Waits(j.ID)
}

// callerCheckInterval is the time between two checks of all callers.
const callerCheckInterval = 100 * time.Millisecond

// checkCallers stops the started jobs whose callers have closed their connections. It is called before
// each permit, so that no permit keeps a run alive whose caller left more than callerCheckInterval
// before. Waiting jobs are left out: under peak load there are many, and placeJob checks them.
func (c *Coordinator) checkCallers(now time.Time) []Effect {
	if now.Sub(c.callersChecked) < callerCheckInterval {
		return nil
	}
	c.callersChecked = now
	var effects []Effect
	for _, j := range c.sortedJobs() {
		if j.started && !j.ended && !c.callerWaits(j) {
			effects = append(effects, c.end(now, j, j.abandonedAnswer(), CauseConnectionClosed)...)
		}
	}
	return effects
}
