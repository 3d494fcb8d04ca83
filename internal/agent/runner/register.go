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

// registerRetryPause is the pause before a failed registration is retried.
const registerRetryPause = 200 * time.Millisecond

// The bounds of the pause between two readings of the assignment while a link is
// missing.
const (
	minRereadPause = 500 * time.Millisecond
	maxRereadPause = 8 * time.Second
)

// leaveTimeout is the time limit for recording that the agent has left.
const leaveTimeout = 2 * time.Second

// register writes this incarnation to the roster and reads the assignment. It retries
// until the table service answers or ctx ends.
//
// The assignment must be read after the roster record is written. A takeover first
// writes its claim and then reads the roster. So either the takeover finds this agent
// and seals it, or this agent finds the claim and raises its fences.
func (r *Runner) register(ctx context.Context) (registrar.Registration, error) {
	token := uuid.NewString()
	var registration registrar.Registration
	err := r.retry(ctx, func() (err error) {
		registration, err = r.tryRegister(ctx, token)
		return err
	})
	if err != nil {
		return registration, err
	}
	r.mu.Lock()
	r.starter.Incarnation = registration.Incarnation
	r.mu.Unlock()
	return registration, r.retry(ctx, func() error { return r.readAssignment(ctx) })
}

// retry calls try until it succeeds or ctx ends.
func (r *Runner) retry(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		r.log.Warn("register_failed", logger.Error(err))
		select {
		case <-time.After(registerRetryPause):
		case <-ctx.Done():
			return errors.Wrap(err, "stopped before the agent was registered")
		}
	}
}

// tryRegister writes the roster record. If an earlier try with the same token has
// written it, but the reply was lost, tryRegister returns that record.
func (r *Runner) tryRegister(ctx context.Context, token string) (registrar.Registration, error) {
	now := r.clock()
	registration := registrar.Registration{
		Agent:      r.settings.Name,
		DataCentre: r.settings.DataCentre,
		Rack:       r.settings.Rack,
		Slots:      r.settings.Slots,
		Registered: now,
	}
	stored, err := r.deps.Table.Get(ctx, registrar.RosterKey(r.settings.Name))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return registration, err
	}
	var previous registrar.Registration
	if err == nil {
		if previous, err = registrar.ParseRegistration(stored.Value); err != nil {
			return registration, err
		}
		if stored.Token == token {
			return previous, nil
		}
		registration.Replaced = previous.Incarnation
	}
	registration.Incarnation = identifier.NextIncarnation(now, previous.Incarnation)
	return registration, r.writeRegistration(ctx, registration, stored.Version, token)
}

// writeRegistration writes a roster record if the stored record has the version expect.
func (r *Runner) writeRegistration(ctx context.Context, registration registrar.Registration, expect uint64, token string) error {
	value, err := registration.Encode()
	if err != nil {
		return err
	}
	return r.deps.Table.Transact(ctx, storer.Transaction{
		Token:  token,
		Writes: []storer.Write{{Key: registrar.RosterKey(registration.Agent), Value: value, Expect: expect}},
	})
}

// readAssignment reads the assignment. It raises the fences to the epochs found there
// and updates the list of entries to link to.
func (r *Runner) readAssignment(ctx context.Context) error {
	record, err := r.deps.Table.Get(ctx, claimer.AssignmentKey)
	if err != nil {
		return errors.Wrap(err, "read the assignment; check that an entry is running")
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
	r.log.Info("assignment_read", zap.Uint64("incarnation", uint64(r.starter.Incarnation)), zap.Uint64("version", record.Version), zap.Int("entries", len(a.Entries)))
	r.setPeers(record.Version, a.Peers())
	return nil
}

// rereadAssignment reads the assignment again while a listed entry is not linked, until
// ctx ends. The agent may have missed a newer list of entries if the only entry
// that could have sent it has died. The pauses are randomised and grow, because all
// agents lose their link to a dead entry at the same time.
func (r *Runner) rereadAssignment(ctx context.Context) {
	pause := minRereadPause
	for {
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
			return
		}
		if !r.isLinkMissing() {
			pause = minRereadPause
			continue
		}
		pause = min(2*pause, maxRereadPause)
		if err := r.readAssignment(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("assignment_read_failed", logger.Error(err))
		}
	}
}

// isLinkMissing reports whether a listed entry is not linked.
func (r *Runner) isLinkMissing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		if r.links[p.Entry] == nil {
			return true
		}
	}
	return false
}

// recordLeft records in the roster that the agent has left and runs no task. If that
// fails, a later takeover waits for this agent in vain, which does no other harm.
func (r *Runner) recordLeft(registration registrar.Registration) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	record, err := r.deps.Table.Get(ctx, registrar.RosterKey(registration.Agent))
	if err == nil {
		registration.Left = r.clock()
		err = r.writeRegistration(ctx, registration, record.Version, uuid.NewString())
	}
	if err != nil {
		r.log.Warn("leave_not_recorded", logger.Error(err))
	}
}
