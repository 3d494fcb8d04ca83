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

// handOver passes a lost partition to its new owner, if that is linked. The new
// owner does without when it is not.
func (r *Runner) handOver(p identifier.Partition) {
	link := r.dialled[r.claimer.Owner(p)]
	if link == nil {
		return
	}
	for _, m := range r.owner.ExportHandover(p) {
		// Without one part the next owner must not take the others for all.
		if !r.sendOn(link, m) {
			return
		}
	}
}

// takeHandover adds a handover to the evidence, and serves the partition when that
// is complete. The agents are sealed all the same: they report to the new owner
// then, and refuse the earlier one.
func (r *Runner) takeHandover(now time.Time, m *owner.Handover) {
	if !r.owner.ImportHandover(m) {
		return
	}
	for _, t := range r.takeovers {
		t.MarkHandedOver(m.Partition)
	}
	claim := starter.Claim{Partition: m.Partition, Epoch: m.Epoch + 1}
	r.perform(r.owner.Serve(now, claim, m.Cutoff))
}

// takeOver reads the roster, after the claims were read back, and asks the agents
// to seal them.
func (r *Runner) takeOver(ctx context.Context, claims []starter.Claim) error {
	r.mu.Lock()
	r.unsealed = append(r.unsealed, claims...)
	wanted := len(r.unsealed)
	r.mu.Unlock()
	if wanted == 0 {
		return nil
	}
	roster, err := r.readRoster(ctx)
	if err != nil {
		return err
	}
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	lease := r.settings.Lease + r.settings.Lease/driftDivisor
	readLease := r.readLease() + r.readLease()/driftDivisor
	t := sealer.New(now, r.unsealed, roster, r.owner.ImportFinalReport, lease, readLease, r.settings.Retention+r.settings.ClockBound)
	if !r.claimer.Acknowledged() {
		t.RequireAllAgents()
	}
	r.unsealed = nil
	r.takeovers = append(r.takeovers, t)
	for name, a := range r.agents {
		r.askSeal(t, name, a.incarnation)
	}
	r.checkTakeovers(now)
	return nil
}

// takeFinalReport keeps the records of an agent that leaves, for the takeovers that are
// under way and those to come.
func (r *Runner) takeFinalReport(now time.Time, agent identifier.Agent, m *starter.FinalReport) {
	if !r.owner.HandleFinalReport(now, agent, m) || !r.owner.ImportFinalReport(agent, m.Incarnation) {
		return
	}
	for _, t := range r.takeovers {
		t.MarkFinalReport(agent, m.Incarnation)
	}
}

func parseRoster(records []storer.Record) ([]registrar.Registration, error) {
	roster := make([]registrar.Registration, 0, len(records))
	for _, record := range records {
		m, err := registrar.ParseRegistration(record.Value)
		if err != nil {
			return nil, err
		}
		roster = append(roster, m)
	}
	return roster, nil
}

// checkReach compares the roster with the linked agents, while an entry is cut off
// from this one.
func (r *Runner) checkReach(ctx context.Context) error {
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
	for _, m := range roster {
		all = all && (!m.Left.IsZero() || r.agents[m.Agent].incarnation == m.Incarnation)
	}
	r.claimer.SetReachesAllAgents(all)
	return nil
}

func (r *Runner) readRoster(ctx context.Context) ([]registrar.Registration, error) {
	records, err := r.edges.Table.Scan(ctx, registrar.RosterPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read the roster")
	}
	return parseRoster(records)
}

func (r *Runner) askSeal(t *sealer.Takeover, agent identifier.Agent, incarnation identifier.Incarnation) {
	if m := t.SealFor(agent, incarnation); m != nil {
		r.sendAgent(agent, m)
	}
}

// checkTakeovers serves the partitions whose takeover is done.
func (r *Runner) checkTakeovers(now time.Time) {
	var open []*sealer.Takeover
	for _, t := range r.takeovers {
		done, cautious := t.Done(now)
		if !done {
			open = append(open, t)
			continue
		}
		var cutoff time.Time
		if cautious {
			cutoff = now.Add(r.settings.ClockBound)
		}
		claims := t.Remaining()
		for _, c := range claims {
			r.perform(r.owner.Serve(now, c, cutoff))
		}
		r.log.Info("taken_over", zap.Int("handed", len(t.Claims)-len(claims)), zap.Int("sealed", len(claims)), zap.Bool("cautious", cautious))
	}
	r.takeovers = open
}
