package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/member/claimer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/platform/storer"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// registerPause is the wait before the table service is asked again.
const registerPause = 200 * time.Millisecond

// The pauses between two readings of the assignment while a link is missing.
const (
	firstRelearnPause = 500 * time.Millisecond
	lastRelearnPause  = 8 * time.Second
)

// leaveTimeout bounds the try to record that the agent has left.
const leaveTimeout = 2 * time.Second

// register puts this incarnation on the roster and learns the entries. It waits
// as long as the table service does not answer.
//
// The assignment is read after the roster record is written. A takeover claims
// first and reads the roster then; so either it finds this agent and seals it, or
// this agent finds the claim and fences itself.
func (r *Runner) register(ctx context.Context) (registrar.Registration, error) {
	token := uuid.NewString()
	var member registrar.Registration
	err := r.insist(ctx, func() (err error) {
		member, err = r.tryRegister(ctx, token)
		return err
	})
	if err != nil {
		return member, err
	}
	r.mu.Lock()
	r.starter.Incarnation = member.Incarnation
	r.mu.Unlock()
	return member, r.insist(ctx, func() error { return r.learn(ctx) })
}

// insist calls try until it succeeds or ctx ends.
func (r *Runner) insist(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		r.log.Warn("register_failed", logger.Error(err))
		select {
		case <-time.After(registerPause):
		case <-ctx.Done():
			return errors.Wrap(err, "stopped before the agent was registered")
		}
	}
}

// tryRegister writes the roster record, or finds that an earlier try with this
// token did so although its reply was lost.
func (r *Runner) tryRegister(ctx context.Context, token string) (registrar.Registration, error) {
	now := r.clock()
	member := registrar.Registration{
		Agent:      r.settings.Name,
		DataCentre: r.settings.DataCentre,
		Rack:       r.settings.Rack,
		Slots:      r.settings.Slots,
		Registered: now,
	}
	before, err := r.edges.Table.Get(ctx, registrar.RosterKey(r.settings.Name))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return member, err
	}
	var last registrar.Registration
	if err == nil {
		if last, err = registrar.ParseRegistration(before.Value); err != nil {
			return member, err
		}
		if before.Token == token {
			return last, nil
		}
		member.Replaced = last.Incarnation
	}
	member.Incarnation = identifier.NextIncarnation(now, last.Incarnation)
	return member, r.write(ctx, member, before.Version, token)
}

// write stores a roster record on the condition that it has the given version.
func (r *Runner) write(ctx context.Context, member registrar.Registration, expect uint64, token string) error {
	value, err := member.Encode()
	if err != nil {
		return err
	}
	return r.edges.Table.Transact(ctx, storer.Transaction{
		Token:  token,
		Writes: []storer.Write{{Key: registrar.RosterKey(member.Agent), Value: value, Expect: expect}},
	})
}

// learn reads the assignment for the fences and the entries to link to.
func (r *Runner) learn(ctx context.Context) error {
	record, err := r.edges.Table.Get(ctx, claimer.AssignmentKey)
	if err != nil {
		return errors.Wrap(err, "read the assignment; start an entry")
	}
	a, err := claimer.ParseAssignment(record.Value)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, o := range a.Partitions {
		r.starter.RaiseFence(o.Owner, starter.Claim{Partition: identifier.Partition(i), Epoch: o.Epoch})
	}
	r.log.Info("learned", zap.Uint64("incarnation", uint64(r.starter.Incarnation)), zap.Uint64("version", record.Version), zap.Int("entries", len(a.Entries)))
	r.follow(record.Version, a.Peers())
	return nil
}

// relearn reads the assignment again while an entry that is listed cannot be
// linked, until ctx ends: a newer list may stand there of which no linked entry has
// told, because the only one that could has died. The pauses vary and grow, for all
// agents lose the link to a dead entry at once.
func (r *Runner) relearn(ctx context.Context) {
	pause := firstRelearnPause
	for {
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
			return
		}
		if !r.missesLink() {
			pause = firstRelearnPause
			continue
		}
		pause = min(2*pause, lastRelearnPause)
		if err := r.learn(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("relearn_failed", logger.Error(err))
		}
	}
}

func (r *Runner) missesLink() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		if r.links[p.Entry] == nil {
			return true
		}
	}
	return false
}

// recordLeave notes that the agent left with nothing running. When that fails,
// a later takeover waits for it in vain, and no harm is done.
func (r *Runner) recordLeave(member registrar.Registration) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	record, err := r.edges.Table.Get(ctx, registrar.RosterKey(member.Agent))
	if err == nil {
		member.Left = r.clock()
		err = r.write(ctx, member, record.Version, uuid.NewString())
	}
	if err != nil {
		r.log.Warn("leave_not_recorded", logger.Error(err))
	}
}
