package runner

import (
	"context"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/allocator"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/member/drainer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// session dials one entry and handles what it says until the link ends. It
// reports whether the link was up.
func (r *Runner) session(ctx context.Context, p registrar.Peer) bool {
	hello := registrar.Hello{Agent: r.settings.Name, Incarnation: r.starter.Incarnation}
	link, welcome, err := connector.Dial(ctx, r.edges.Dial, p.Link, r.settings.Timing, hello)
	if err != nil {
		if ctx.Err() == nil {
			r.log.Warn("dial_failed", zap.String("entry", string(p.Entry)), logger.Error(err))
		}
		return false
	}
	if welcome.Entry != p.Entry {
		r.log.Warn("wrong_entry", zap.String("entry", string(p.Entry)), zap.String("answered", string(welcome.Entry)))
		return false
	}
	link.NewHeartbeat = func() any { return r.askLease(p.Entry) }
	r.link(p.Entry, link)
	err = link.Run(ctx, func(message any) error { return r.handle(p.Entry, message) })
	r.unlink(p.Entry)
	r.log.Info("unlinked", zap.String("entry", string(p.Entry)), logger.Error(err))
	return true
}

func (r *Runner) link(entry identifier.Entry, link *connector.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Info("linked", zap.String("entry", string(entry)))
	r.links[entry] = link
	r.send(entry, r.askLeaseLocked(entry))
	r.sendChanges(r.offerer.Link(entry))
	if r.life.Stage() != drainer.Serving {
		r.send(entry, &allocator.Leave{Incarnation: r.starter.Incarnation})
	}
}

func (r *Runner) unlink(entry identifier.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, entry)
	r.starter.Unlink(entry)
	r.sendChanges(r.offerer.Unlink(entry))
	delete(r.released, entry)
	r.announceChange()
}

// announceChange wakes whoever waits for the links to end or to be released.
func (r *Runner) announceChange() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *Runner) askLease(entry identifier.Entry) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.askLeaseLocked(entry)
}

func (r *Runner) askLeaseLocked(entry identifier.Entry) any {
	r.sequence++
	r.starter.RecordLeaseRequest(r.clock(), entry, r.sequence)
	return &starter.LeaseRequest{Sequence: r.sequence, Linked: r.offerer.Linked()}
}

// handle takes one message of an entry.
func (r *Runner) handle(from identifier.Entry, message any) error {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.received.Inc()
	switch m := message.(type) {
	case *registrar.Heartbeat:
	case *starter.LeaseReply:
		r.starter.HandleLeaseReply(from, m)
	case *starter.Start:
		r.start(from, m)
	case *starter.Revoke:
		if answer, ok := r.starter.Revoke(now, from, m); ok {
			r.send(from, &answer)
		}
	case *starter.Seal:
		sendParts(r, from, r.starter.Seal(from, m))
	case *allocator.Want:
		r.sendChanges(r.offerer.Want(from, m.Waiting))
	case *allocator.Return:
		if m.Incarnation == r.starter.Incarnation {
			r.sendChanges(r.offerer.Return(from, m.Slots))
		}
	case *allocator.LeaveAck:
		r.released[from] = true
		r.announceChange()
	case *registrar.Peers:
		r.follow(m.Version, m.Entries)
	default:
		return &connector.UnexpectedMessageError{Message: message}
	}
	return nil
}

// start reads the clock after the lock is held: the wait for the lock must not
// let a start pass whose lease ends in the meantime.
func (r *Runner) start(from identifier.Entry, m *starter.Start) {
	slot := r.offerer.Use(from, m.Waiting)
	reason := r.starter.Start(r.clock(), from, m, slot)
	if reason == starter.Accepted {
		r.counters.started.Inc()
		go r.run(context.Background(), from, m)
		r.sendChanges(r.offerer.Rebalance(from))
		return
	}
	r.counters.refused.Inc()
	r.log.Warn("start_refused", zap.Stringer("task", m.Task), zap.Stringer("reason", reason))
	var changes []allocator.Adjustment
	if slot {
		changes = r.offerer.End(from)
	}
	answer := starter.NotStarted{Incarnation: m.Incarnation, Task: m.Task, Epoch: m.Epoch, Attempt: m.Attempt, Reason: reason}
	answer.GrantedSlots, changes = takeGrant(changes, from)
	// Another incarnation cannot vouch for what this one was asked, and a repeated
	// start is answered by the end of the first.
	if reason != starter.OtherIncarnation && reason != starter.AlreadyStarted {
		r.send(from, &answer)
	}
	r.sendChanges(changes)
}

// follow takes a list of entries, unless a newer one is known.
func (r *Runner) follow(version uint64, entries []registrar.Peer) {
	if version <= r.version {
		return
	}
	r.version = version
	r.peers = entries
	select {
	case <-r.wanted:
	default:
	}
	r.wanted <- entries
}
