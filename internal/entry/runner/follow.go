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

// driftDivisor bounds how far two machines' clocks may drift apart during a
// lease: one part in this many.
const driftDivisor = 20

// raceRetries bounds how often a lost race for the assignment is run again at
// once.
const raceRetries = 5

// follow reads the assignment again and again until ctx ends. When a reading has
// failed, it waits for the next turn, however much there is to change.
func (r *Runner) follow(ctx context.Context) {
	ticker := time.NewTicker(r.settings.Refresh)
	defer ticker.Stop()
	for {
		woken := r.woken
		if err := r.refresh(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("assignment_unread", logger.Error(err))
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

// refresh reads the assignment, and changes it if this entry wants another. What
// a change achieved is known only from reading it back.
func (r *Runner) refresh(ctx context.Context) error {
	for range raceRetries {
		claims, err := r.read(ctx)
		if err != nil {
			return err
		}
		if err := r.takeOver(ctx, claims); err != nil {
			return err
		}
		if err := r.checkReach(ctx); err != nil {
			return err
		}
		written, err := r.write(ctx)
		if err != nil && !errors.Is(err, storer.ErrConflict) {
			return err
		}
		if !written && err == nil {
			return nil
		}
	}
	return nil
}

// read confirms the lease from one reading of the assignment, and returns the
// partitions that were claimed and have to be taken over.
func (r *Runner) read(ctx context.Context) ([]starter.Claim, error) {
	sent := r.clock()
	record, err := r.edges.Table.Get(ctx, claimer.AssignmentKey)
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
	r.promiser.ObserveVersion(record.Version)
	r.readAt = sent
	claims, fresh := r.observe(now, a, record.Version)
	if fresh && r.claimer.Joined() {
		r.perform(r.owner.ConfirmLease(now, sent.Add(r.settings.Lease), sent.Add(r.readLease())))
	}
	return claims, nil
}

// observe takes an assignment that was read by this entry or another, and returns
// the partitions that were claimed and have to be taken over. It reports false for
// one that is older than the newest.
func (r *Runner) observe(now time.Time, a claimer.Assignment, version uint64) ([]starter.Claim, bool) {
	before := r.claimer.Version()
	change, fresh := r.claimer.Observe(now, a, version)
	if !fresh {
		return nil, false
	}
	for _, p := range change.Lost {
		r.handOver(p)
		r.perform(r.owner.Release(p))
	}
	claims := r.claim(now, change.Claimed)
	if version != before {
		r.spread(version, a.Peers())
		r.announceMove()
	}
	return claims, true
}

// claim begins to own partitions, and serves those that never had an owner.
func (r *Runner) claim(now time.Time, claimed []claimer.Claimed) []starter.Claim {
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

// spread tells entries and agents which entries there are.
func (r *Runner) spread(version uint64, peers []registrar.Peer) {
	select {
	case <-r.wanted:
	default:
	}
	r.wanted <- connector.Without(peers, r.settings.Name)
	for name := range r.agents {
		r.sendAgent(name, &registrar.Peers{Version: version, Entries: peers})
	}
}

// write stores the assignment that this entry wants, and reports whether it
// wanted another than it has read. A failed write may have taken effect.
func (r *Runner) write(ctx context.Context) (bool, error) {
	r.mu.Lock()
	next, changed := r.claimer.Plan(r.clock())
	version := r.claimer.Version()
	if changed {
		r.promiser.BeginWrite(version)
	}
	r.mu.Unlock()
	if !changed {
		return false, nil
	}
	value, err := next.Encode()
	if err != nil {
		return true, err
	}
	return true, r.edges.Table.Transact(ctx, storer.Transaction{
		Token:  uuid.NewString(),
		Writes: []storer.Write{{Key: claimer.AssignmentKey, Value: value, Expect: version}},
	})
}

// readLease is how long a reading of the assignment lets this entry say that something
// was not run. It is short, for a takeover waits for its end.
func (r *Runner) readLease() time.Duration {
	return r.settings.Refresh + r.settings.Refresh/2
}
