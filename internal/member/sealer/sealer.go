// Package sealer follows a takeover: which agents have sealed the epochs of the
// earlier owner, which are known to be gone, and when the partitions may be
// served.
package sealer

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

// Takeover is one claim of some partitions. It is not safe for use by several
// goroutines at once.
type Takeover struct {
	Claims []starter.Claim

	// handed are the partitions that their earlier owners have handed over.
	handed map[identifier.Partition]bool
	// readLeaseEnd is when the earlier owner can no longer say that something was not
	// run.
	readLeaseEnd time.Time
	// strict means that silence proves nothing: every agent must seal.
	strict bool
	// leaseEnd is when an agent that has not answered can no longer start work
	// for the earlier owner.
	leaseEnd time.Time
	missing  map[identifier.Agent]identifier.Incarnation
	// cautious means that the record of some agent is lost.
	cautious bool
}

// ImportFinalReport reports whether the records of an incarnation of an agent, which left in
// good order, are with this entry.
type ImportFinalReport func(identifier.Agent, identifier.Incarnation) bool

// New begins a takeover of claims that were observed in the table service at now.
// The roster must have been read after the claims were written: an agent that
// registers later reads the claims itself. Lease and readLease are the longest that
// the earlier owner can have been confirmed for, with an allowance for clock drift.
func New(now time.Time, claims []starter.Claim, roster []registrar.Registration, use ImportFinalReport, lease, readLease, retention time.Duration) *Takeover {
	t := &Takeover{
		Claims:       claims,
		readLeaseEnd: now.Add(readLease),
		leaseEnd:     now.Add(lease),
		missing:      make(map[identifier.Agent]identifier.Incarnation),
		handed:       make(map[identifier.Partition]bool),
	}
	for _, m := range roster {
		if m.Replaced > 0 && now.Sub(m.Registered) < retention && !use(m.Agent, m.Replaced) {
			t.cautious = true
		}
		switch {
		case use(m.Agent, m.Incarnation):
		case m.Left.IsZero():
			t.missing[m.Agent] = m.Incarnation
		case now.Sub(m.Left) < retention:
			t.cautious = true
		}
	}
	return t
}

// SealFor returns the seal to send to an agent that is linked now, or nil when it
// need not be asked.
func (t *Takeover) SealFor(agent identifier.Agent, incarnation identifier.Incarnation) *starter.Seal {
	wanted, missing := t.missing[agent]
	if !missing || incarnation < wanted {
		return nil
	}
	if incarnation > wanted {
		delete(t.missing, agent)
		t.cautious = true
		return nil
	}
	return &starter.Seal{Incarnation: incarnation, Claims: t.Claims}
}

// RequireAllAgents makes the takeover wait for every agent, however long it is silent.
func (t *Takeover) RequireAllAgents() {
	t.strict = true
}

// HandleSealed takes one message of an agent that has sealed, and reports whether it was
// awaited. The agent is no longer missing after the last one.
func (t *Takeover) HandleSealed(agent identifier.Agent, m *starter.Sealed) bool {
	wanted, missing := t.missing[agent]
	if !missing || wanted != m.Incarnation || len(m.Claims) != len(t.Claims) {
		return false
	}
	for i, c := range m.Claims {
		if c != t.Claims[i] {
			return false
		}
	}
	if m.Last {
		delete(t.missing, agent)
	}
	return true
}

// MarkHandedOver notes that the earlier owner has handed a partition over, so that it need
// not wait for the agents' records.
func (t *Takeover) MarkHandedOver(p identifier.Partition) {
	t.handed[p] = true
}

// Remaining returns the claims that were not handed over.
func (t *Takeover) Remaining() []starter.Claim {
	var open []starter.Claim
	for _, c := range t.Claims {
		if !t.handed[c.Partition] {
			open = append(open, c)
		}
	}
	return open
}

// MarkFinalReport notes that an agent has left in good order, with its records here.
func (t *Takeover) MarkFinalReport(agent identifier.Agent, incarnation identifier.Incarnation) {
	if t.missing[agent] == incarnation {
		delete(t.missing, agent)
	}
}

// Done reports whether the partitions may be served, and whether the record of
// some agent is lost.
func (t *Takeover) Done(now time.Time) (done, cautious bool) {
	if now.Before(t.readLeaseEnd) {
		return false, false
	}
	if len(t.missing) == 0 {
		return true, t.cautious
	}
	if t.strict || now.Before(t.leaseEnd) {
		return false, false
	}
	return true, true
}
