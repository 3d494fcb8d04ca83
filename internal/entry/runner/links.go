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

// accept is the task of one connection that another process dialled.
func (r *Runner) accept(ctx context.Context, conn net.Conn) {
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

// serveAgent handles what an agent says until its link ends.
func (r *Runner) serveAgent(ctx context.Context, link *connector.Link, hello registrar.Hello) {
	r.linkAgent(link, hello)
	err := link.Run(ctx, func(message any) error { return r.handleAgent(hello.Agent, link, message) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.agents[hello.Agent].link == link {
		delete(r.agents, hello.Agent)
		r.owner.AgentUnlinked(hello.Agent)
	}
	r.log.Info("agent_unlinked", zap.String("agent", string(hello.Agent)), logger.Error(err))
}

func (r *Runner) linkAgent(link *connector.Link, hello registrar.Hello) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Info("agent_linked", zap.String("agent", string(hello.Agent)), zap.Uint64("incarnation", uint64(hello.Incarnation)))
	if before := r.agents[hello.Agent]; before.link != nil {
		before.link.Close()
	}
	r.agents[hello.Agent] = agentLink{link, hello.Incarnation}
	a := r.claimer.Assignment()
	r.sendOn(link, &registrar.Peers{Version: r.claimer.Version(), Entries: a.Peers()})
	r.perform(r.owner.AgentLinked(hello.Agent, hello.Incarnation))
	for _, t := range r.takeovers {
		r.askSeal(t, hello.Agent, hello.Incarnation)
	}
}

// handleAgent takes one message of an agent. A message on a link that has been
// replaced is dropped.
func (r *Runner) handleAgent(agent identifier.Agent, link *connector.Link, message any) error {
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
			r.wake()
		}
		r.perform(r.owner.HandleNotStarted(now, agent, m))
	case *starter.Revoked:
		r.perform(r.owner.HandleRevoked(now, agent, m))
	case *starter.Sealed:
		r.sealed(agent, m)
	case *allocator.Grant:
		r.perform(r.owner.HandleGrant(now, agent, m))
	case *allocator.Recall:
		r.perform(r.owner.HandleRecall(agent, m))
	case *allocator.Leave:
		r.owner.AgentLeaving(agent)
		r.sendOn(link, &allocator.LeaveAck{})
	case *starter.FinalReport:
		r.takeFinalReport(now, agent, m)
	case *registrar.Bye:
		link.Close()
	default:
		return &connector.UnexpectedMessageError{Message: message}
	}
	return nil
}

func (r *Runner) sealed(agent identifier.Agent, m *starter.Sealed) {
	for _, t := range r.takeovers {
		if t.HandleSealed(agent, m) {
			r.perform(r.owner.HandleSealed(agent, m))
		}
	}
	r.checkTakeovers(r.clock())
}

// serveEntry handles what another entry asks until its link ends.
func (r *Runner) serveEntry(ctx context.Context, link *connector.Link, from identifier.Entry) {
	r.mu.Lock()
	if before := r.accepted[from]; before != nil {
		before.Close()
	}
	r.accepted[from] = link
	r.mu.Unlock()
	err := link.Run(ctx, func(message any) error { return r.handleEntry(from, link, message) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepted[from] == link {
		delete(r.accepted, from)
	}
	r.log.Info("entry_unlinked", zap.String("entry", string(from)), logger.Error(err))
}

func (r *Runner) handleEntry(from identifier.Entry, link *connector.Link, message any) error {
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
		r.sendOn(link, r.answerAsk(now, from, m))
	case *owner.Handover:
		r.takeHandover(now, m)
	case *owner.Inquire:
		r.perform(r.owner.Inquire(now, owner.RequestID{Entry: from, Sequence: m.Sequence}, m))
	default:
		return &connector.UnexpectedMessageError{Message: message}
	}
	return nil
}

// session dials another entry and handles its replies until the link ends. It
// reports whether the link was up.
func (r *Runner) session(ctx context.Context, p registrar.Peer) bool {
	hello := registrar.Hello{Entry: r.settings.Name}
	link, welcome, err := connector.Dial(ctx, r.edges.Dial, p.Link, r.settings.Timing, hello)
	if err != nil {
		return false
	}
	if welcome.Entry != p.Entry {
		link.Close()
		r.log.Warn("wrong_entry", zap.String("entry", string(p.Entry)), zap.String("answered", string(welcome.Entry)))
		return false
	}
	link.NewHeartbeat = r.tellSeen
	r.setDialled(p.Entry, link)
	err = link.Run(ctx, func(message any) error { return r.handleReply(p.Entry, message) })
	r.setDialled(p.Entry, nil)
	r.log.Info("entry_lost", zap.String("entry", string(p.Entry)), logger.Error(err))
	return true
}

// tellSeen is the heartbeat to another entry.
func (r *Runner) tellSeen() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &extender.SeenVersion{Version: r.claimer.Version()}
}

func (r *Runner) setDialled(entry identifier.Entry, link *connector.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if link == nil {
		delete(r.dialled, entry)
	} else {
		r.dialled[entry] = link
	}
	r.announceMove()
}

func (r *Runner) handleReply(from identifier.Entry, message any) error {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters.received.Inc()
	r.claimer.Heard(now, from)
	switch m := message.(type) {
	case *registrar.Heartbeat:
	case *extender.Promise:
		r.takePromise(now, from, m)
	case *owner.Reply:
		r.requests.deliver(m)
	default:
		return &connector.UnexpectedMessageError{Message: message}
	}
	return nil
}
