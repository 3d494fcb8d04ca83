package coordinator

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/evacuator"
)

// evacuations holds which data centres are evacuated, and since when others are not any more. The
// zero value has none.
type evacuations struct {
	evacuated map[identifier.DataCentre]bool
	withdrawn map[identifier.DataCentre]time.Time
}

// EvacuationsChanged replaces the evacuations that are known, and refuses the jobs of which nothing
// was started if they have no worker left.
func (c *Coordinator) EvacuationsChanged(now time.Time, rows []evacuator.Row) []Effect {
	before := c.evacuations.evacuated
	c.evacuations.evacuated = make(map[identifier.DataCentre]bool)
	for _, row := range rows {
		switch {
		case row.Evacuated:
			c.evacuations.evacuated[row.DataCentre] = true
		case before[row.DataCentre]:
			if c.evacuations.withdrawn == nil {
				c.evacuations.withdrawn = make(map[identifier.DataCentre]time.Time)
			}
			c.evacuations.withdrawn[row.DataCentre] = now
		}
	}
	c.updateLanes(now)
	return append(c.refuseEvacuated(now), c.place(now)...)
}

// evacuated reports whether the worker of an agent is in an evacuated data centre, by what this
// gateway knows or by what the agent says: its own data centre may differ from its worker's.
func (c *Coordinator) evacuated(a *agent) bool {
	return a.status.Evacuated || c.evacuations.evacuated[identifier.DataCentre(a.status.Zone)]
}

// available reports whether the worker of an agent accepts starts.
func (c *Coordinator) available(a *agent) bool {
	return a.status.Available && !c.evacuated(a)
}

// allEvacuated reports whether all known workers of a service are in evacuated data centres. One
// that is unavailable for a moment may come back before a job is due, unless it is evacuated.
func (c *Coordinator) allEvacuated(service string) bool {
	known := false
	for _, a := range c.agents {
		switch {
		case a.status.Service != service:
		case !c.evacuated(a):
			return false
		default:
			known = true
		}
	}
	return known
}

// refuseEvacuated ends the waiting jobs of which nothing was started and whose workers are all in
// evacuated data centres. An evacuation lasts longer than callers wait, so waiting is in vain.
func (c *Coordinator) refuseEvacuated(now time.Time) []Effect {
	if len(c.waiting) == 0 || !c.anyEvacuated() {
		return nil
	}
	all := make(map[string]bool)
	var effects []Effect
	for _, j := range slices.Clone(c.waiting) {
		if j.started {
			continue
		}
		if _, known := all[j.Queue.Service]; !known {
			all[j.Queue.Service] = c.allEvacuated(j.Queue.Service)
		}
		if all[j.Queue.Service] {
			effects = append(effects, c.end(now, j, Answer{State: NotRun, RetryAfter: spread(minRetryAfter, j.ID)}, causeEvacuated)...)
		}
	}
	return effects
}

// anyEvacuated reports whether an evacuation is known. It spares the searches for evacuated workers
// when there is none.
func (c *Coordinator) anyEvacuated() bool {
	if len(c.evacuations.evacuated) > 0 {
		return true
	}
	for _, a := range c.agents {
		if a.status.Evacuated {
			return true
		}
	}
	return false
}
