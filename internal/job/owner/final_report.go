package owner

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
)

// finalReport holds the records of the tasks that one incarnation of an agent had started
// when it left gracefully. In a takeover it replaces the agent's reply to a seal.
type finalReport struct {
	records  []starter.Record
	complete bool
	expiry   time.Time
}

// agentIncarnation identifies an incarnation of an agent.
type agentIncarnation struct {
	agent       identifier.Agent
	incarnation identifier.Incarnation
}

// HandleFinalReport keeps the records of an agent that is about to leave. It reports
// whether the report is complete with this message.
func (o *Owner) HandleFinalReport(now time.Time, agent identifier.Agent, m *starter.FinalReport) bool {
	key := agentIncarnation{agent, m.Incarnation}
	r := o.finalReports[key]
	if r == nil {
		r = &finalReport{}
		o.finalReports[key] = r
	}
	r.records = append(r.records, m.Records...)
	r.complete = m.Last
	r.expiry = now.Add(o.settings.Retention + o.settings.ClockBound)
	return r.complete
}

// ImportFinalReport adds the final report of an agent to the partitions that are
// claimed and not yet served. It returns false if there is no complete report.
func (o *Owner) ImportFinalReport(agent identifier.Agent, incarnation identifier.Incarnation) bool {
	r := o.finalReports[agentIncarnation{agent, incarnation}]
	if r == nil || !r.complete {
		return false
	}
	o.addRecords(agent, incarnation, r.records)
	return true
}

func (o *Owner) expireFinalReports(now time.Time) {
	for key, r := range o.finalReports {
		if !now.Before(r.expiry) {
			delete(o.finalReports, key)
		}
	}
}
