package owner

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
)

// bequest is what one incarnation of an agent had started when it left in good
// order. It stands in for the agent in a takeover.
type bequest struct {
	records  []starter.Record
	complete bool
	expiry   time.Time
}

// bequeather names an incarnation of an agent.
type bequeather struct {
	agent       identifier.Agent
	incarnation identifier.Incarnation
}

// Inherit keeps the records of an agent that leaves, and reports whether it has all
// of them now.
func (o *Owner) Inherit(now time.Time, agent identifier.Agent, m *starter.Bequest) bool {
	name := bequeather{agent, m.Incarnation}
	b := o.bequests[name]
	if b == nil {
		b = &bequest{}
		o.bequests[name] = b
	}
	b.records = append(b.records, m.Records...)
	b.complete = m.Last
	b.expiry = now.Add(o.settings.Retention + o.settings.ClockBound)
	return b.complete
}

// Inherited adds what an agent left behind to the evidence of the partitions that
// are claimed and not yet served. It reports whether all of it is here.
func (o *Owner) Inherited(agent identifier.Agent, incarnation identifier.Incarnation) bool {
	b := o.bequests[bequeather{agent, incarnation}]
	if b == nil || !b.complete {
		return false
	}
	o.addRecords(agent, incarnation, b.records)
	return true
}

func (o *Owner) expireBequests(now time.Time) {
	for name, b := range o.bequests {
		if !now.Before(b.expiry) {
			delete(o.bequests, name)
		}
	}
}
