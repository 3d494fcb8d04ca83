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

// session dials an entry and handles its messages until the link ends. It reports
// whether the link was established.
func (r *Runner) session(ctx context.Context, p registrar.Peer) bool {
	hello := registrar.Hello{Agent: r.settings.Name, Incarnation: r.starter.Incarnation}
	link, welcome, err := connector.Dial(ctx, r.deps.Dial, p.Link, r.settings.Timing, hello)
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
	link.NewHeartbeat = func() any { return r.newLeaseRequest(p.Entry) }
	r.link(p.Entry, link)
	err = link.Run(ctx, func(message any) error { return r.handle(p.Entry, message) })
	r.unlink(p.Entry)
	r.log.Info("unlinked", zap.String("entry", string(p.Entry)), logger.Error(err))
	return true
}

// link adds an established link. If the agent is not serving, it sends a Leave.
func (r *Runner) link(entry identifier.Entry, link *connector.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Info("linked", zap.String("entry", string(entry)))
	r.links[entry] = link
	r.send(entry, r.newLeaseRequestLocked(entry))
	r.sendAdjustments(r.allocator.Link(entry))
	if r.lifecycle.Stage() != drainer.Serving {
		r.send(entry, &allocator.Leave{Incarnation: r.starter.Incarnation})
	}
}

// unlink removes a link that has ended.
func (r *Runner) unlink(entry identifier.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, entry)
	r.starter.Unlink(entry)
	r.sendAdjustments(r.allocator.Unlink(entry))
	delete(r.leaveAcked, entry)
	r.notifyLinkChange()
}

// notifyLinkChange signals linkChanged.
func (r *Runner) notifyLinkChange() {
	select {
	case r.linkChanged <- struct{}{}:
	default:
	}
}

// newLeaseRequest is newLeaseRequestLocked for callers that do not hold the lock.
func (r *Runner) newLeaseRequest(entry identifier.Entry) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newLeaseRequestLocked(entry)
}

// newLeaseRequestLocked returns a LeaseRequest to an entry and records that it is sent
// now. The caller holds the lock.
func (r *Runner) newLeaseRequestLocked(entry identifier.Entry) any {
	r.leaseSequence++
	r.starter.RecordLeaseRequest(r.clock(), entry, r.leaseSequence)
	return &starter.LeaseRequest{Sequence: r.leaseSequence, Linked: r.allocator.Linked()}
}

// handle handles a message from an entry.
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
		if reply, ok := r.starter.Revoke(now, from, m); ok {
			r.send(from, &reply)
		}
	case *starter.Seal:
		sendParts(r, from, r.starter.Seal(from, m))
	case *allocator.Want:
		r.sendAdjustments(r.allocator.Want(from, m.Waiting))
	case *allocator.Return:
		if m.Incarnation == r.starter.Incarnation {
			r.sendAdjustments(r.allocator.Return(from, m.Slots))
		}
	case *allocator.LeaveAck:
		r.leaveAcked[from] = true
		r.notifyLinkChange()
	case *registrar.Peers:
		r.setPeers(m.Version, m.Entries)
	default:
		return &connector.UnexpectedMessageError{Message: message}
	}
	return nil
}

// start starts a task or refuses it. The caller holds the lock. It reads the clock
// itself, because the lease may have expired while handle waited for the lock.
func (r *Runner) start(from identifier.Entry, m *starter.Start) {
	slot := r.allocator.Use(from, m.Waiting)
	reason := r.starter.Start(r.clock(), from, m, slot)
	if reason == starter.Accepted {
		r.counters.started.Inc()
		go r.callBackend(context.Background(), from, m)
		r.sendAdjustments(r.allocator.Rebalance(from))
		return
	}
	r.counters.refused.Inc()
	r.log.Warn("start_refused", zap.Stringer("task", m.Task), zap.Stringer("reason", reason))
	var adjustments []allocator.Adjustment
	if slot {
		adjustments = r.allocator.End(from)
	}
	reply := starter.NotStarted{Incarnation: m.Incarnation, Task: m.Task, Epoch: m.Epoch, Attempt: m.Attempt, Reason: reason}
	reply.GrantedSlots, adjustments = extractGrant(adjustments, from)
	// This agent cannot answer for another incarnation, and the reply to a duplicate is
	// the end of the task that was started first.
	if reason != starter.OtherIncarnation && reason != starter.AlreadyStarted {
		r.send(from, &reply)
	}
	r.sendAdjustments(adjustments)
}

// setPeers replaces the list of entries, unless version is not newer than the known
// one. The caller holds the lock.
func (r *Runner) setPeers(version uint64, entries []registrar.Peer) {
	if version <= r.assignmentVersion {
		return
	}
	r.assignmentVersion = version
	r.peers = entries
	select {
	case <-r.peerUpdates:
	default:
	}
	r.peerUpdates <- entries
}
