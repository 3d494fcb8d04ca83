package runner

import (
	"context"
	"net"
	"net/netip"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/router"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/member/selector"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// accept is the task of one connection that another process dialled.
func (r *Runner) accept(ctx context.Context, conn net.Conn) {
	welcome := registrar.Welcome{Entry: r.settings.Name, Incarnation: r.incarnation}
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
	r.servePeer(ctx, link, hello.Entry)
}

// serveAgent handles what an agent says until its link ends.
func (r *Runner) serveAgent(ctx context.Context, link *connector.Link, hello registrar.Hello) {
	r.mu.Lock()
	if previous := r.agentLinks[hello.Agent]; previous != nil {
		previous.Close()
	}
	r.agentLinks[hello.Agent] = link
	r.coordinator.AgentLinked(r.clock(), hello.Agent, hello.Incarnation)
	r.send(link, &selector.Directory{Gateways: r.linker.Known()})
	r.mu.Unlock()
	r.log.Info("agent_linked", zap.String("agent", string(hello.Agent)), zap.Uint64("incarnation", uint64(hello.Incarnation)))
	err := link.Run(ctx, func(message any) error { return r.handleAgentMessage(hello.Agent, link, message) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.agentLinks[hello.Agent] == link {
		delete(r.agentLinks, hello.Agent)
		r.coordinator.AgentUnlinked(hello.Agent)
	}
	r.log.Info("agent_lost", zap.String("agent", string(hello.Agent)), logger.Error(err))
}

// handleAgentMessage takes one message of an agent. A message on a link that has been replaced
// is dropped. The clock is read when the lock is held, so that no wait makes a decision
// look earlier than it is.
func (r *Runner) handleAgentMessage(agent identifier.Agent, link *connector.Link, message any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.agentLinks[agent] != link {
		return nil
	}
	now := r.clock()
	r.counters.messagesReceived.Inc()
	switch m := message.(type) {
	case *registrar.Heartbeat:
	case *executor.Attach:
		r.perform(r.coordinator.HandleAttach(now, agent, m))
	case *executor.Status:
		r.log.Info("worker_status", zap.String("agent", string(agent)), zap.Bool("available", m.Available), zap.String("service", m.Service))
		r.perform(r.coordinator.HandleStatus(now, agent, m))
	case *executor.Load:
		r.perform(r.coordinator.HandleLoad(now, agent, m.UsedByOthers))
	case *executor.PermitRequest:
		r.perform(r.coordinator.HandlePermitRequest(now, agent, m))
	case *executor.Ended:
		r.perform(r.coordinator.HandleEnded(now, agent, m))
	default:
		return &connector.UnexpectedMessageError{Message: message}
	}
	return nil
}

// servePeer handles what another gateway says until its link ends.
func (r *Runner) servePeer(ctx context.Context, link *connector.Link, name identifier.Entry) {
	r.addPeer(link)
	err := link.Run(ctx, r.handlePeerMessage)
	r.removePeer(link)
	r.log.Info("gateway_lost", zap.String("gateway", string(name)), logger.Error(err))
}

// session dials another gateway and handles what it says until the link ends. It
// reports whether the link was up.
func (r *Runner) session(ctx context.Context, p registrar.Peer) bool {
	link, welcome, err := connector.Dial(ctx, r.deps.Dial, p.Link, r.settings.Timing, registrar.Hello{Entry: r.settings.Name})
	if err != nil {
		if ctx.Err() == nil {
			r.linker.DialFailed(p.Link)
		}
		return false
	}
	r.log.Info("gateway_linked", zap.String("gateway", string(welcome.Entry)))
	r.linker.Linked(p.Link)
	defer r.linker.Unlinked(p.Link)
	r.addPeer(link)
	err = link.Run(ctx, r.handlePeerMessage)
	r.removePeer(link)
	r.log.Info("gateway_lost", zap.String("gateway", string(welcome.Entry)), logger.Error(err))
	return true
}

// addPeer begins to tell a gateway what is new.
func (r *Runner) addPeer(link *connector.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerLinks[link] = true
	r.send(link, &selector.Directory{Gateways: r.linker.Known()})
	if m := r.router.Manifest(); m.Version > 0 {
		r.send(link, &m)
	}
}

func (r *Runner) removePeer(link *connector.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peerLinks, link)
}

func (r *Runner) handlePeerMessage(message any) error {
	r.counters.messagesReceived.Inc()
	switch m := message.(type) {
	case *registrar.Heartbeat:
	case *selector.Directory:
		r.learnGateways(m.Gateways)
	case *router.Manifest:
		r.adoptManifest(*m, "gateway")
	default:
		return &connector.UnexpectedMessageError{Message: message}
	}
	return nil
}

// learnGateways takes addresses of gateways and passes on what is new.
func (r *Runner) learnGateways(addrs []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.linker.Learn(addrs...) {
		return
	}
	r.log.Info("gateways_learned", zap.Int("known", len(r.linker.Known())))
	directory := &selector.Directory{Gateways: r.linker.Known()}
	for _, link := range r.agentLinks {
		r.send(link, directory)
	}
	for link := range r.peerLinks {
		r.send(link, directory)
	}
}

// adoptManifest puts a manifest in force, unless it is not newer, and passes it on.
func (r *Runner) adoptManifest(m router.Manifest, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.router.Manifest().Version == 0
	if !r.router.Adopt(m) {
		return
	}
	if first {
		close(r.firstManifest)
	}
	r.log.Info("manifest_adopted", zap.Uint64("version", m.Version), zap.Int("routes", len(m.Routes)), zap.String("source", source))
	for link := range r.peerLinks {
		r.send(link, &m)
	}
}
