package runner

import (
	"context"
	"net"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/allocator"
	"github.com/dandeliongrade/dandeliongrade/internal/job/owner"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/member/extender"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// acceptLink serves one connection to the link port: it does the handshake with an agent or
// another entry, and runs the link until it ends.
func (r *Runner) acceptLink(ctx context.Context, conn net.Conn) {
	r.mu.Lock()
	welcome := registrar.Welcome{Entry: r.settings.Name, Incarnation: r.claimer.Member.Incarnation}
	r.mu.Unlock()
	link, hello, err := connector.Accept(conn, r.settings.Timing, welcome)
	if err != nil {
		_ = conn.Close()
		r.log.Warn("link_refused", zap.String("from", conn.RemoteAddr().String()), logger.Error(err))
		return
	}
	if hello.Agent != "" {
		r.serveAgent(ctx, link, hello)
		return
	}
	r.serveEntry(ctx, link, hello.Entry)
}

// serveAgent handles the messages of an agent until its link ends.
func (r *Runner) serveAgent(ctx context.Context, link *connector.Link, hello registrar.Hello) {
	r.registerAgentLink(link, hello)
	err := link.Run(ctx, func(message any) error { return r.handleAgentMessage(hello.Agent, link, message) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.agents[hello.Agent].link == link {
		delete(r.agents, hello.Agent)
		r.owner.AgentUnlinked(hello.Agent)
	}
	r.log.Info("agent_unlinked", zap.String("agent", string(hello.Agent)), logger.Error(err))
}

// registerAgentLink replaces an earlier link of the agent, sends the agent the list of
// entries, and asks it for the seals of all open takeovers.
func (r *Runner) registerAgentLink(link *connector.Link, hello registrar.Hello) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Info("agent_linked", zap.String("agent", string(hello.Agent)), zap.Uint64("incarnation", uint64(hello.Incarnation)))
	if previous := r.agents[hello.Agent]; previous.link != nil {
		previous.link.Close()
	}
	r.agents[hello.Agent] = agentLink{link, hello.Incarnation}
	a := r.claimer.Assignment()
	r.sendOn(link, &registrar.Peers{Version: r.claimer.Version(), Entries: a.Peers()})
	r.perform(r.owner.AgentLinked(hello.Agent, hello.Incarnation))
	for _, t := range r.takeovers {
		r.sendSeal(t, hello.Agent, hello.Incarnation)
	}
}

// handleAgentMessage handles one message of an agent. A message on a link that has been
// replaced is dropped.
func (r *Runner) handleAgentMessage(agent identifier.Agent, link *connector.Link, message any) error {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.received.Inc()
	if r.agents[agent].link != link {
		return nil
	}
	switch m := message.(type) {
	case *registrar.Heartbeat:
	case *starter.LeaseRequest:
		for _, name := range m.Linked {
			r.claimer.ReportedAlive(now, name)
		}
		r.sendOn(link, &starter.LeaseReply{Sequence: m.Sequence, Remaining: r.owner.LeaseRemaining(r.clock())})
	case *starter.Ended:
		r.perform(r.owner.HandleEnded(now, agent, m))
	case *starter.NotStarted:
		if m.Reason == starter.Fenced {
			r.triggerRefresh()
		}
		r.perform(r.owner.HandleNotStarted(now, agent, m))
	case *starter.Revoked:
		r.perform(r.owner.HandleRevoked(now, agent, m))
	case *starter.Sealed:
		r.handleSealed(agent, m)
	case *allocator.Grant:
		r.perform(r.owner.HandleGrant(now, agent, m))
	case *allocator.Recall:
		r.perform(r.owner.HandleRecall(agent, m))
	case *allocator.Leave:
		r.owner.AgentLeaving(agent)
		r.sendOn(link, &allocator.LeaveAck{})
	case *starter.FinalReport:
		r.handleFinalReport(now, agent, m)
	case *registrar.Bye:
		link.Close()
	default:
		return &connector.UnexpectedMessageError{Message: message}
	}
	return nil
}

// handleSealed passes the message to the takeovers, and its records to the owner if a
// takeover waited for them.
func (r *Runner) handleSealed(agent identifier.Agent, m *starter.Sealed) {
	for _, t := range r.takeovers {
		if t.HandleSealed(agent, m) {
			r.perform(r.owner.HandleSealed(agent, m))
		}
	}
	r.checkTakeovers(r.clock())
}

// serveEntry handles the messages on a link that another entry dialled, until it ends.
func (r *Runner) serveEntry(ctx context.Context, link *connector.Link, from identifier.Entry) {
	r.mu.Lock()
	if previous := r.accepted[from]; previous != nil {
		previous.Close()
	}
	r.accepted[from] = link
	r.mu.Unlock()
	err := link.Run(ctx, func(message any) error { return r.handleEntryMessage(from, link, message) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepted[from] == link {
		delete(r.accepted, from)
	}
	r.log.Info("entry_unlinked", zap.String("entry", string(from)), logger.Error(err))
}

// handleEntryMessage handles one message on a link that another entry dialled. On a link
// that has been replaced, it only counts as a sign of life.
func (r *Runner) handleEntryMessage(from identifier.Entry, link *connector.Link, message any) error {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.received.Inc()
	r.claimer.Heard(now, from)
	if r.accepted[from] != link {
		return nil
	}
	switch m := message.(type) {
	case *registrar.Heartbeat:
	case *owner.Submit:
		r.perform(r.owner.Submit(now, owner.RequestID{Entry: from, Sequence: m.Sequence}, m.Job))
	case *extender.SeenVersion:
		r.claimer.RecordSeenVersion(from, m.Version)
	case *extender.Request:
		r.sendOn(link, r.handlePromiseRequest(now, from, m))
	case *owner.Handover:
		r.handleHandover(now, m)
	case *owner.Inquire:
		r.perform(r.owner.Inquire(now, owner.RequestID{Entry: from, Sequence: m.Sequence}, m))
	default:
		return &connector.UnexpectedMessageError{Message: message}
	}
	return nil
}

// dialEntry dials another entry and handles its replies until the link ends. It reports
// whether the link was established.
func (r *Runner) dialEntry(ctx context.Context, p registrar.Peer) bool {
	hello := registrar.Hello{Entry: r.settings.Name}
	link, welcome, err := connector.Dial(ctx, r.deps.Dial, p.Link, r.settings.Timing, hello)
	if err != nil {
		return false
	}
	if welcome.Entry != p.Entry {
		link.Close()
		r.log.Warn("wrong_entry", zap.String("entry", string(p.Entry)), zap.String("answered", string(welcome.Entry)))
		return false
	}
	link.NewHeartbeat = r.newHeartbeat
	r.setDialled(p.Entry, link)
	err = link.Run(ctx, func(message any) error { return r.handleEntryReply(p.Entry, message) })
	r.setDialled(p.Entry, nil)
	r.log.Info("entry_lost", zap.String("entry", string(p.Entry)), logger.Error(err))
	return true
}

// newHeartbeat returns the heartbeat for the links to other entries. It tells them which
// version of the assignment this entry has read.
func (r *Runner) newHeartbeat() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &extender.SeenVersion{Version: r.claimer.Version()}
}

// setDialled sets the dialled link to another entry, or removes it if link is nil.
func (r *Runner) setDialled(entry identifier.Entry, link *connector.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if link == nil {
		delete(r.dialled, entry)
	} else {
		r.dialled[entry] = link
	}
	r.notifyRoutesChanged()
}

// handleEntryReply handles one message on a link that this entry dialled.
func (r *Runner) handleEntryReply(from identifier.Entry, message any) error {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.received.Inc()
	r.claimer.Heard(now, from)
	switch m := message.(type) {
	case *registrar.Heartbeat:
	case *extender.Promise:
		r.handlePromise(now, from, m)
	case *owner.Reply:
		r.requests.deliver(m)
	default:
		return &connector.UnexpectedMessageError{Message: message}
	}
	return nil
}
