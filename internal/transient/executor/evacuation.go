package executor

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/evacuator"
)

// EvacuationChanged reports a change of an evacuation that a gateway has told, to be logged.
type EvacuationChanged evacuator.Row

func (EvacuationChanged) effect() {}

// HandleEvacuations adopts the evacuations that a gateway has told. When the worker's data centre
// is evacuated, its queued runs are refused, so that they are started elsewhere at once, and the gateways
// learn of it before they learn of these refusals. Runs in progress go on.
func (x *Executor) HandleEvacuations(now time.Time, rows []evacuator.Row) []Effect {
	if !x.Policy.Evacuations {
		return nil
	}
	before := x.Evacuated()
	var effects []Effect
	for _, row := range x.evacuations.Adopt(rows) {
		effects = append(effects, EvacuationChanged(row))
	}
	if x.Evacuated() == before {
		return effects
	}
	effects = append(effects, x.sendStatus(now)...)
	return append(effects, x.refuseEvacuated(now)...)
}

// Evacuated reports whether the data centre of the agent or that of its worker is evacuated.
func (x *Executor) Evacuated() bool {
	if !x.Policy.Evacuations {
		return false
	}
	return x.evacuations.Evacuated(x.DataCentre) || x.worker != nil && x.evacuations.Evacuated(identifier.DataCentre(x.worker.report.Zone))
}

// refuseEvacuated refuses the queued runs if the worker's data centre is evacuated.
func (x *Executor) refuseEvacuated(now time.Time) []Effect {
	if !x.Evacuated() {
		return nil
	}
	return x.refuseQueue(now, Evacuated)
}
