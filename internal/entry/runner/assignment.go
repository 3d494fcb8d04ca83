package runner

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/member/claimer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/platform/keeper"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// clockDriftDivisor bounds how far two machines' clocks may drift apart during a
// lease: one part in this many.
const clockDriftDivisor = 20

// maxRefreshAttempts bounds how often a lost race for the assignment is run again at
// once.
const maxRefreshAttempts = 5

// followAssignment reads the assignment again and again until ctx ends. When a reading has
// failed, it waits for the next turn, however much there is to change.
func (r *Runner) followAssignment(ctx context.Context) {
	ticker := time.NewTicker(r.settings.Refresh)
	defer ticker.Stop()
	for {
		woken := r.refreshNow
		if err := r.refreshAssignment(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("assignment_read_failed", logger.Error(err))
			woken = nil
		}
		select {
		case <-ticker.C:
		case <-woken:
		case <-ctx.Done():
			return
		}
	}
}

// refreshAssignment reads the assignment, and changes it if this entry wants another. What
// a change achieved is known only from reading it back.
func (r *Runner) refreshAssignment(ctx context.Context) error {
	for range maxRefreshAttempts {
		claims, err := r.readAssignment(ctx)
		if err != nil {
			return err
		}
		if err := r.startTakeover(ctx, claims); err != nil {
			return err
		}
		if err := r.checkAgentReachability(ctx); err != nil {
			return err
		}
		written, err := r.writeAssignment(ctx)
		if err != nil && !errors.Is(err, keeper.ErrConflict) {
			return err
		}
		if !written && err == nil {
			return nil
		}
	}
	return nil
}

// readAssignment confirms the lease from one reading of the assignment, and returns the
// partitions that were claimed and have to be taken over.
func (r *Runner) readAssignment(ctx context.Context) ([]starter.Claim, error) {
	sent := r.clock()
	record, err := r.deps.Table.Get(ctx, claimer.AssignmentKey)
	if err != nil && !errors.Is(err, keeper.ErrNotFound) {
		return nil, err
	}
	var a claimer.Assignment
	if err == nil {
		if a, err = claimer.ParseAssignment(record.Value); err != nil {
			return nil, err
		}
	}
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimer.Member.Incarnation == 0 {
		r.claimer.ChooseIncarnation(now, a.Entries[r.settings.Name].Incarnation)
	}
	r.extender.ObserveVersion(record.Version)
	r.readAt = sent
	claims, fresh := r.observeAssignment(now, a, record.Version)
	if fresh && r.claimer.Joined() {
		r.perform(r.owner.ConfirmLease(now, sent.Add(r.settings.Lease), sent.Add(r.readLease())))
	}
	return claims, nil
}

// observeAssignment takes an assignment that was read by this entry or another, and returns
// the partitions that were claimed and have to be taken over. It reports false for
// one that is older than the newest.
func (r *Runner) observeAssignment(now time.Time, a claimer.Assignment, version uint64) ([]starter.Claim, bool) {
	before := r.claimer.Version()
	change, fresh := r.claimer.Observe(now, a, version)
	if !fresh {
		return nil, false
	}
	for _, p := range change.Lost {
		r.sendHandover(p)
		r.perform(r.owner.Release(p))
	}
	claims := r.claimPartitions(now, change.Claimed)
	if version != before {
		r.publishPeers(version, a.Peers())
		r.notifyRoutesChanged()
	}
	return claims, true
}

// claimPartitions begins to own partitions, and serves those that never had an owner.
func (r *Runner) claimPartitions(now time.Time, claimed []claimer.Claimed) []starter.Claim {
	var claims []starter.Claim
	for _, c := range claimed {
		r.owner.Claim(c.Claim)
		if c.FirstOwner {
			r.perform(r.owner.Serve(now, c.Claim, time.Time{}))
			continue
		}
		claims = append(claims, c.Claim)
	}
	if len(claimed) > 0 {
		r.log.Info("claimed", zap.Int("partitions", len(claimed)), zap.Int("sealing", len(claims)))
	}
	return claims
}

// publishPeers tells entries and agents which entries there are.
func (r *Runner) publishPeers(version uint64, peers []registrar.Peer) {
	select {
	case <-r.peerUpdates:
	default:
	}
	r.peerUpdates <- connector.Without(peers, r.settings.Name)
	for name := range r.agents {
		r.sendToAgent(name, &registrar.Peers{Version: version, Entries: peers})
	}
}

// writeAssignment stores the assignment that this entry wants, and reports whether it
// wanted another than it has read. A failed writeAssignment may have taken effect.
func (r *Runner) writeAssignment(ctx context.Context) (bool, error) {
	r.mu.Lock()
	next, changed := r.claimer.Plan(r.clock())
	version := r.claimer.Version()
	if changed {
		r.extender.BeginWrite(version)
	}
	r.mu.Unlock()
	if !changed {
		return false, nil
	}
	value, err := next.Encode()
	if err != nil {
		return true, err
	}
	return true, r.deps.Table.Transact(ctx, keeper.Transaction{
		Token:  uuid.NewString(),
		Writes: []keeper.Write{{Key: claimer.AssignmentKey, Value: value, Expect: version}},
	})
}

// readLease is how long a reading of the assignment lets this entry say that something
// was not run. It is short, for a takeover waits for its end.
func (r *Runner) readLease() time.Duration {
	return r.settings.Refresh + r.settings.Refresh/2
}
