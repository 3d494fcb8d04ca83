package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/owner"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/member/sealer"
	"github.com/dandeliongrade/dandeliongrade/internal/platform/storer"
)

// sendHandover sends the handover of a lost partition to its new owner. Without a link, the
// new owner takes the partition over from the records of the agents alone.
func (r *Runner) sendHandover(p identifier.Partition) {
	link := r.dialled[r.claimer.Owner(p)]
	if link == nil {
		return
	}
	for _, m := range r.owner.ExportHandover(p) {
		// The last message marks the handover as complete, so it must not follow
		// a message that was not sent.
		if !r.sendOn(link, m) {
			return
		}
	}
}

// handleHandover imports a message of a handover, and serves the partition once the handover
// is complete. The takeover still waits for the agents' seals, which make the agents report
// to the new owner and refuse the earlier one.
func (r *Runner) handleHandover(now time.Time, m *owner.Handover) {
	if !r.owner.ImportHandover(m) {
		return
	}
	for _, t := range r.takeovers {
		t.MarkHandedOver(m.Partition)
	}
	claim := starter.Claim{Partition: m.Partition, Epoch: m.Epoch + 1}
	r.perform(r.owner.Serve(now, claim, m.Cutoff))
}

// startTakeover starts a takeover of the given claims, and of those left over from earlier
// attempts. It reads the roster, which has to happen after the claims were read back, and
// asks the linked agents to seal the claims.
func (r *Runner) startTakeover(ctx context.Context, claims []starter.Claim) error {
	r.mu.Lock()
	r.unsealed = append(r.unsealed, claims...)
	unsealed := len(r.unsealed)
	r.mu.Unlock()
	if unsealed == 0 {
		return nil
	}
	roster, err := r.readRoster(ctx)
	if err != nil {
		return err
	}
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	lease := r.settings.Lease + r.settings.Lease/clockDriftDivisor
	readLease := r.readLease() + r.readLease()/clockDriftDivisor
	t := sealer.New(now, r.unsealed, roster, r.owner.ImportFinalReport, lease, readLease, r.settings.Retention+r.settings.ClockBound)
	if !r.claimer.Acknowledged() {
		t.RequireAllAgents()
	}
	r.unsealed = nil
	r.takeovers = append(r.takeovers, t)
	for name, a := range r.agents {
		r.sendSeal(t, name, a.incarnation)
	}
	r.checkTakeovers(now)
	return nil
}

// handleFinalReport stores the records of an agent that leaves. Takeovers, open and later
// ones, then need no seal from that agent.
func (r *Runner) handleFinalReport(now time.Time, agent identifier.Agent, m *starter.FinalReport) {
	if !r.owner.HandleFinalReport(now, agent, m) || !r.owner.ImportFinalReport(agent, m.Incarnation) {
		return
	}
	for _, t := range r.takeovers {
		t.MarkFinalReport(agent, m.Incarnation)
	}
}

// parseRoster parses the registrations of all agents.
func parseRoster(records []storer.Record) ([]registrar.Registration, error) {
	roster := make([]registrar.Registration, 0, len(records))
	for _, record := range records {
		reg, err := registrar.ParseRegistration(record.Value)
		if err != nil {
			return nil, err
		}
		roster = append(roster, reg)
	}
	return roster, nil
}

// checkAgentReachability tells the claimer whether all agents of the roster are linked here.
// It does so only while another entry is cut off from this one, when the claimer needs it.
func (r *Runner) checkAgentReachability(ctx context.Context) error {
	r.mu.Lock()
	cut := r.claimer.HasCutOffEntry(r.clock())
	r.mu.Unlock()
	if !cut {
		return nil
	}
	roster, err := r.readRoster(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	all := true
	for _, reg := range roster {
		all = all && (!reg.Left.IsZero() || r.agents[reg.Agent].incarnation == reg.Incarnation)
	}
	r.claimer.SetReachesAllAgents(all)
	return nil
}

func (r *Runner) readRoster(ctx context.Context) ([]registrar.Registration, error) {
	records, err := r.deps.Table.Scan(ctx, registrar.RosterPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read the roster")
	}
	return parseRoster(records)
}

// sendSeal asks an agent to seal the claims of a takeover, if the takeover needs its seal.
func (r *Runner) sendSeal(t *sealer.Takeover, agent identifier.Agent, incarnation identifier.Incarnation) {
	if m := t.SealFor(agent, incarnation); m != nil {
		r.sendToAgent(agent, m)
	}
}

// checkTakeovers serves the partitions whose takeover is done. If records of agents were
// lost, it serves them with a cutoff: the starts of submissions created up to then may be
// unknown.
func (r *Runner) checkTakeovers(now time.Time) {
	var open []*sealer.Takeover
	for _, t := range r.takeovers {
		done, recordsLost := t.Done(now)
		if !done {
			open = append(open, t)
			continue
		}
		var cutoff time.Time
		if recordsLost {
			cutoff = now.Add(r.settings.ClockBound)
		}
		claims := t.Remaining()
		for _, c := range claims {
			r.perform(r.owner.Serve(now, c, cutoff))
		}
		r.log.Info("taken_over", zap.Int("handed", len(t.Claims)-len(claims)), zap.Int("sealed", len(claims)), zap.Bool("cautious", recordsLost))
	}
	r.takeovers = open
}
