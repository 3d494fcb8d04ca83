package owner

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
)

// finalReport is what one incarnation of an agent had started when it left in good
// order. It stands in for the agent in a takeover.
type finalReport struct {
	records  []starter.Record
	complete bool
	expiry   time.Time
}

// reporter names an incarnation of an agent.
type reporter struct {
	agent       identifier.Agent
	incarnation identifier.Incarnation
}

// HandleFinalReport keeps the records of an agent that leaves, and reports whether it has all
// of them now.
func (o *Owner) HandleFinalReport(now time.Time, agent identifier.Agent, m *starter.FinalReport) bool {
	name := reporter{agent, m.Incarnation}
	b := o.finalReports[name]
	if b == nil {
		b = &finalReport{}
		o.finalReports[name] = b
	}
	b.records = append(b.records, m.Records...)
	b.complete = m.Last
	b.expiry = now.Add(o.settings.Retention + o.settings.ClockBound)
	return b.complete
}

// ImportFinalReport adds what an agent left behind to the evidence of the partitions that
// are claimed and not yet served. It reports whether all of it is here.
func (o *Owner) ImportFinalReport(agent identifier.Agent, incarnation identifier.Incarnation) bool {
	b := o.finalReports[reporter{agent, incarnation}]
	if b == nil || !b.complete {
		return false
	}
	o.addRecords(agent, incarnation, b.records)
	return true
}

func (o *Owner) expireFinalReports(now time.Time) {
	for name, b := range o.finalReports {
		if !now.Before(b.expiry) {
			delete(o.finalReports, name)
		}
	}
}
