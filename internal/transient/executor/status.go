package executor

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// status returns the status of the worker as a gateway sees it.
func (x *Executor) status(now time.Time, g *gatewayState) Status {
	s := Status{UsedByOthers: x.usedByOthers(g)}
	if x.worker == nil {
		return s
	}
	r := x.worker.report
	s.Worker = x.worker.WorkerIncarnation
	s.Stalled = x.worker.stalled
	s.Available = x.worker.usable() && !x.draining && !r.Draining
	s.Service, s.Zone, s.Labels, s.Capacity = r.Service, r.Zone, r.Labels, r.Capacity
	s.Evacuated, s.ColdFor = x.Evacuated(), r.ColdFor
	s.Leaving, s.LeavesIn = x.leaves(now)
	s.CutOff = x.cutOff(g)
	if x.Policy.WorkerSpeeds {
		s.Speed = x.worker.learner.Speed()
	}
	return s
}

// sendStatus sends the status of the worker to every linked gateway.
func (x *Executor) sendStatus(now time.Time) []Effect {
	var effects []Effect
	for _, gateway := range x.linkedGateways() {
		g := x.gateways[gateway]
		s := x.status(now, g)
		g.usage.lastReported = s.UsedByOthers
		effects = append(effects, Send{gateway, &s})
	}
	return effects
}

// linkedGateways returns the names of the linked gateways, sorted.
func (x *Executor) linkedGateways() []identifier.Entry {
	var names []identifier.Entry
	for name, g := range x.gateways {
		if g.linked {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
