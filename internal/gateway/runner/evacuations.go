package runner

import (
	"fmt"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/evacuator"
)

// adoptEvacuations adopts evacuations that another gateway has announced.
func (r *Runner) adoptEvacuations(rows []evacuator.Row) {
	if r.settings.Policy.Evacuations {
		r.evacuationsChanged(r.evacuator.Adopt(rows), "gateway")
	}
}

// adoptOperatorRows adopts the evacuations that were read from the store.
func (r *Runner) adoptOperatorRows(read evacuator.Read) {
	if !r.settings.Policy.Evacuations {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if read.Skipped > 0 {
		r.counters.operatorRowsSkipped.Add(read.Skipped)
		r.log.Warn("operator_rows_skipped", zap.Int("rows", read.Skipped), zap.Uint64("position", read.Version))
	}
	r.evacuationsChanged(r.evacuator.AdoptRead(read), "store")
}

// evacuationsChanged tells agents and gateways of changed evacuations, before any start that follows.
// The caller holds the lock.
func (r *Runner) evacuationsChanged(changed []evacuator.Row, source string) {
	if len(changed) == 0 {
		return
	}
	for _, row := range changed {
		r.log.Info("evacuation_changed", zap.String("data_centre", string(row.DataCentre)), zap.Bool("evacuated", row.Evacuated), zap.Uint64("version", row.Version), zap.String("source", source))
		version := uint64(0)
		if row.Evacuated {
			version = row.Version
		}
		r.counters.set.GetOrCreateGauge(fmt.Sprintf("dandeliongrade_gateway_evacuation_version{data_centre=%q}", row.DataCentre), nil).Set(float64(version))
	}
	for _, link := range r.agentLinks {
		r.sendEvacuations(link)
	}
	r.distribute(r.distributor.EvacuationsChanged(r.evacuator.Rows()))
	r.perform(r.coordinator.EvacuationsChanged(r.clock(), r.evacuator.Rows()))
}

// sendEvacuations sends the evacuations to an agent. The caller holds the lock.
func (r *Runner) sendEvacuations(link *connector.Link) {
	if r.settings.Policy.Evacuations {
		r.send(link, &evacuator.Update{Rows: r.evacuator.Rows()})
	}
}
