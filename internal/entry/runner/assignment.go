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
	"github.com/dandeliongrade/dandeliongrade/internal/platform/storer"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// clockDriftDivisor bounds how far the clocks of two machines may drift apart during a
// lease: by at most the duration of the lease divided by this number.
const clockDriftDivisor = 20

// maxRefreshAttempts bounds how often one refresh reads the assignment: again after each
// write, and again after a conflict with another entry's write.
const maxRefreshAttempts = 5

// followAssignment refreshes the assignment periodically, and early when triggerRefresh
// is called, until ctx ends. After a failed refresh it waits for the next tick, so that
// triggers do not lead to immediate retries.
func (r *Runner) followAssignment(ctx context.Context) {
	ticker := time.NewTicker(r.settings.Refresh)
	defer ticker.Stop()
	for {
		refreshNow := r.refreshNow
		if err := r.refreshAssignment(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("assignment_read_failed", logger.Error(err))
			refreshNow = nil
		}
		select {
		case <-ticker.C:
		case <-refreshNow:
		case <-ctx.Done():
			return
		}
	}
}

// refreshAssignment reads the assignment, starts the takeovers that follow from it, and
// writes a changed assignment if the claimer wants one. After a write, it reads the
// assignment again, since only that shows which claims took effect.
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
		if err != nil && !errors.Is(err, storer.ErrConflict) {
			return err
		}
		if !written && err == nil {
			return nil
		}
	}
	return nil
}

// readAssignment reads the assignment once, confirms the lease by it, and returns the
// claims of partitions that have to be taken over from an earlier owner. The lease counts
// from the time before the read was sent.
func (r *Runner) readAssignment(ctx context.Context) ([]starter.Claim, error) {
	sent := r.clock()
	record, err := r.deps.Table.Get(ctx, claimer.AssignmentKey)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
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

// observeAssignment applies an assignment that this entry has read or has received from
// another entry. It hands over and releases the partitions that were lost, claims the new
// ones, and returns the claims of partitions that have to be taken over. It reports false,
// and changes nothing, if a newer assignment was observed before. The caller holds the
// lock.
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

// claimPartitions makes this entry the owner of partitions. It serves at once those that
// never had an owner, and returns the claims of the others, which have to be taken over
// first.
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

// publishPeers updates the list of entries to link to, and sends the list to all linked
// agents. A list that the link task has not received yet is replaced.
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

// writeAssignment writes the assignment that the claimer plans, if it differs from the
// newest one read, and reports whether it does. The write is conditional on the version
// that was read. A write that returns an error may still have taken effect.
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
	return true, r.deps.Table.Transact(ctx, storer.Transaction{
		Token:  uuid.NewString(),
		Writes: []storer.Write{{Key: claimer.AssignmentKey, Value: value, Expect: version}},
	})
}

// readLease returns how long after a read of the assignment this entry may state that a
// task was not run. It is short because a takeover by another entry waits for its end.
func (r *Runner) readLease() time.Duration {
	return r.settings.Refresh + r.settings.Refresh/2
}
