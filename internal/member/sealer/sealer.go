// Package sealer tracks the takeover of partitions from an earlier owner: which agents
// have sealed its epochs, which agents have ended, and when the new owner may serve the
// partitions. An agent that has sealed an epoch refuses starts from that owner.
package sealer

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

// Takeover is the takeover of partitions that were claimed together. It is not safe for
// concurrent use.
type Takeover struct {
	Claims []starter.Claim

	// handedOver is the set of partitions that their earlier owners have handed over.
	handedOver map[identifier.Partition]bool
	// readLeaseEnd is when the read lease of the earlier owner has ended. Until then it
	// may answer that a task was not run.
	readLeaseEnd time.Time
	// requireAll means that every agent must seal, even after leaseEnd.
	requireAll bool
	// leaseEnd is when the lease of the earlier owner has ended. After that an agent
	// starts nothing for it, even if it has not sealed.
	leaseEnd time.Time
	// missing holds the agents that have yet to seal.
	missing map[identifier.Agent]identifier.Incarnation
	// recordsLost means that the records of some agent are lost, so that tasks which it
	// started are unknown.
	recordsLost bool
}

// ImportFinalReport imports the records of an incarnation of an agent that left
// gracefully, and reports whether this entry has all of them.
type ImportFinalReport func(identifier.Agent, identifier.Incarnation) bool

// New starts a takeover of claims that were read from the table service by now. The
// roster must have been read after the claims were written: an agent that registers
// later reads the claims itself. The arguments lease and readLease are the longest times
// for which the leases of the earlier owner can still last, with an allowance for clock
// drift. An agent that ended longer ago than retention is disregarded.
func New(now time.Time, claims []starter.Claim, roster []registrar.Registration, importReport ImportFinalReport, lease, readLease, retention time.Duration) *Takeover {
	t := &Takeover{
		Claims:       claims,
		readLeaseEnd: now.Add(readLease),
		leaseEnd:     now.Add(lease),
		missing:      make(map[identifier.Agent]identifier.Incarnation),
		handedOver:   make(map[identifier.Partition]bool),
	}
	for _, r := range roster {
		if r.Replaced > 0 && now.Sub(r.Registered) < retention && !importReport(r.Agent, r.Replaced) {
			t.recordsLost = true
		}
		switch {
		case importReport(r.Agent, r.Incarnation):
		case r.Left.IsZero():
			t.missing[r.Agent] = r.Incarnation
		case now.Sub(r.Left) < retention:
			t.recordsLost = true
		}
	}
	return t
}

// SealFor returns the seal to send to an agent that has linked, or nil when it need not
// be asked. A newer incarnation than the one on the roster proves that the older one has
// ended and that its records are lost.
func (t *Takeover) SealFor(agent identifier.Agent, incarnation identifier.Incarnation) *starter.Seal {
	wanted, missing := t.missing[agent]
	if !missing || incarnation < wanted {
		return nil
	}
	if incarnation > wanted {
		delete(t.missing, agent)
		t.recordsLost = true
		return nil
	}
	return &starter.Seal{Incarnation: incarnation, Claims: t.Claims}
}

// RequireAllAgents makes the takeover wait for every agent, even after the lease of the
// earlier owner has ended.
func (t *Takeover) RequireAllAgents() {
	t.requireAll = true
}

// HandleSealed handles a message of an agent that has sealed, and reports whether this
// takeover was waiting for it. The agent is missing until the last of its messages.
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

// MarkHandedOver records that the earlier owner has handed over a partition, which need
// not wait for the agents' records then.
func (t *Takeover) MarkHandedOver(p identifier.Partition) {
	t.handedOver[p] = true
}

// Remaining returns the claims that were not handed over.
func (t *Takeover) Remaining() []starter.Claim {
	var remaining []starter.Claim
	for _, c := range t.Claims {
		if !t.handedOver[c.Partition] {
			remaining = append(remaining, c)
		}
	}
	return remaining
}

// MarkFinalReport records that an agent has left gracefully and that this entry has its
// records.
func (t *Takeover) MarkFinalReport(agent identifier.Agent, incarnation identifier.Incarnation) {
	if t.missing[agent] == incarnation {
		delete(t.missing, agent)
	}
}

// Done reports whether the partitions may be served, and whether the records of some
// agent are lost or missing.
func (t *Takeover) Done(now time.Time) (done, recordsLost bool) {
	if now.Before(t.readLeaseEnd) {
		return false, false
	}
	if len(t.missing) == 0 {
		return true, t.recordsLost
	}
	if t.requireAll || now.Before(t.leaseEnd) {
		return false, false
	}
	return true, true
}
