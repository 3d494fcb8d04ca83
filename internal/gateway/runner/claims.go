package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/distributor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/arbiter"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/canceller"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/coordinator"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// peerLink is a link with another gateway, whichever side dialled.
type peerLink struct {
	*connector.Link
	process arbiter.Process
}

// arbiters names the arbiters of jobs.
type arbiters struct{ r *Runner }

// ArbitersOf returns the arbiters of a job. Beyond a full mesh, gateways that are linked to different
// others would choose different arbiters, so there are none.
func (a arbiters) ArbitersOf(now time.Time, id specifier.JobID) []identifier.Entry {
	if !a.r.linker.FullMesh() {
		return nil
	}
	return a.r.arbiter.ArbitersOf(now, id)
}

// Linked reports whether a gateway can be reached.
func (a arbiters) Linked(gateway identifier.Entry) bool {
	return a.r.arbiter.Linked(gateway)
}

// SuspendedOf returns the suspended gateways that are to be told of a claim on a job.
func (a arbiters) SuspendedOf(now time.Time, id specifier.JobID) []identifier.Entry {
	if !a.r.linker.FullMesh() {
		return nil
	}
	return a.r.arbiter.SuspendedOf(now, id)
}

// FallbacksOf returns the gateways to ask in place of an arbiter that does not answer.
func (a arbiters) FallbacksOf(now time.Time, id specifier.JobID, asked []identifier.Entry) []identifier.Entry {
	return a.r.arbiter.FallbacksOf(now, id, asked)
}

// Joining reports whether this gateway has just started and is not linked to all others that it knows.
func (a arbiters) Joining(now time.Time) bool {
	return a.r.arbiter.JustStarted(now) && a.r.linker.FullMesh() && a.r.arbiter.Joining(now, len(a.r.linker.Known()))
}

// Cancelled reports whether this gateway knows that a job was cancelled.
func (a arbiters) Cancelled(now time.Time, id specifier.JobID) bool {
	return a.r.arbiter.Cancelled(now, id)
}

// self returns the identity of this process as a gateway.
func (r *Runner) self() arbiter.Process {
	return arbiter.Process{Gateway: r.settings.Name, Incarnation: r.incarnation}
}

// sendGateway sends a message about a claim to a gateway, which may be this one. Without a link, the
// message is dropped: claims are sent again, or time out. The caller holds the lock.
func (r *Runner) sendGateway(now time.Time, to identifier.Entry, message any) {
	if to == r.settings.Name {
		r.handleClaimMessage(now, r.self(), message)
		return
	}
	best := distributor.LinkID(0)
	for id, l := range r.peerLinks {
		if l.process.Gateway == to && id > best {
			best = id
		}
	}
	if best != 0 {
		r.send(r.peerLinks[best].Link, message)
	}
}

// handleClaimMessage handles a message about a claim, and reports whether it is one. The caller holds
// the lock.
func (r *Runner) handleClaimMessage(now time.Time, from arbiter.Process, message any) bool {
	switch m := message.(type) {
	case *arbiter.Claim:
		if from != r.self() {
			r.perform(r.coordinator.ClaimedByOther(now, r.settings.Name, m.Job))
		}
		r.sendDecisions(now, r.arbiter.HandleClaim(now, from, m))
	case *arbiter.Yield:
		r.sendDecisions(now, r.arbiter.HandleYield(from, m))
	case *arbiter.Grant:
		if r.coordinator.Awaits(from.Gateway, m.Job, m.Number) {
			r.arbiter.Answered(from.Gateway)
		}
		r.perform(r.coordinator.HandleGrant(now, from.Gateway, m))
	case *arbiter.Contested:
		if r.coordinator.Awaits(from.Gateway, m.Job, m.Number) {
			r.arbiter.Answered(from.Gateway)
		}
		r.perform(r.coordinator.HandleContested(from.Gateway, m))
	case *arbiter.Cancelled:
		if r.coordinator.Awaits(from.Gateway, m.Job, m.Number) {
			r.arbiter.Answered(from.Gateway)
		}
		r.perform(r.coordinator.HandleCancelled(now, m))
	case *arbiter.Cancel:
		r.handleCancel(now, m)
	case *canceller.Outcome:
		sends, ended := r.canceller.HandleOutcome(now, from.Gateway, m, r.linkedGateways())
		r.sendDecisions(now, sends)
		r.endCancels(ended)
	case *arbiter.Recall:
		r.perform(r.coordinator.HandleRecall(now, from.Gateway, m))
	default:
		return false
	}
	return true
}

// sendDecisions sends what the arbiter has decided. The caller holds the lock.
func (r *Runner) sendDecisions(now time.Time, effects []arbiter.Send) {
	for _, e := range effects {
		switch e.Message.(type) {
		case *arbiter.Recall:
			r.counters.claimsRecalled.Inc()
		case *arbiter.Grant:
			r.counters.claimsGranted.Inc()
		}
		r.sendGateway(now, e.To, e.Message)
	}
}

// handleClaimEvent logs what has become of a claim, and asks other arbiters if one does not answer. The
// caller holds the lock.
func (r *Runner) handleClaimEvent(now time.Time, e *coordinator.ClaimEvent) {
	r.counters.events[e.Name].Inc()
	r.log.Info(e.Name, zap.String("job", string(e.Job)), zap.String("arbiter", string(e.Arbiter)), zap.String("claim", e.State))
	if e.Name == coordinator.EventClaimUnanswered && r.arbiter.Unanswered(now, e.Arbiter) {
		r.log.Warn("arbiter_suspended", zap.String("arbiter", string(e.Arbiter)))
		r.perform(r.coordinator.ArbitersChanged(now))
	}
}
