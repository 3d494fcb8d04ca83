package runner

import (
	"context"
	"net"
	"slices"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/load/tracker"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/distributor"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/router"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/member/selector"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/arbiter"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/quarantiner"
)

// accept performs the handshake on a connection that another process dialled, and serves
// the link until it ends.
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
	r.servePeer(ctx, peerLink{link, arbiter.Process{Gateway: hello.Entry, Incarnation: hello.Incarnation}})
}

// serveAgent handles the messages of an agent until its link ends. A new link of an
// agent replaces the previous one. One that was dialled before that is closed.
func (r *Runner) serveAgent(ctx context.Context, link *connector.Link, hello registrar.Hello) {
	r.mu.Lock()
	if !r.coordinator.AgentLinked(r.clock(), hello.Agent, hello.Incarnation, hello.Link) {
		r.mu.Unlock()
		link.Close()
		r.log.Warn("link_outdated", zap.String("agent", string(hello.Agent)), zap.Uint64("incarnation", uint64(hello.Incarnation)), zap.Uint64("link", hello.Link))
		return
	}
	if previous := r.agentLinks[hello.Agent]; previous != nil {
		previous.Close()
	}
	r.agentLinks[hello.Agent] = link
	r.sendEvacuations(link)
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

// handleAgentMessage handles one message of an agent. A message on a link that has been
// replaced is dropped. The clock is read after the lock was acquired, so that a wait for
// the lock does not date a decision too early.
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
	case *executor.Release:
		r.perform(r.coordinator.HandleRelease(now, agent))
	case *executor.Ended:
		r.perform(r.coordinator.HandleEnded(now, agent, m))
	case *executor.Crash:
		r.perform(r.coordinator.HandleCrash(now, agent, m))
	default:
		return &connector.UnexpectedMessageError{Message: message}
	}
	return nil
}

// servePeer handles the messages of another gateway that dialled this one, until its
// link ends.
func (r *Runner) servePeer(ctx context.Context, link peerLink) {
	id := r.addPeer(link)
	err := link.Run(ctx, func(message any) error { return r.handlePeerMessage(id, link.process, message) })
	r.removePeer(id, link.process)
	r.log.Info("gateway_lost", zap.String("gateway", string(link.process.Gateway)), logger.Error(err))
}

// session dials another gateway and handles its messages until the link ends. It reports
// whether the link was established.
func (r *Runner) session(ctx context.Context, p registrar.Peer) bool {
	hello := registrar.Hello{Entry: r.settings.Name, Incarnation: r.incarnation}
	conn, welcome, err := connector.Dial(ctx, r.deps.Dial, p.Link, r.settings.Timing, hello)
	if err != nil {
		if ctx.Err() == nil {
			r.linker.DialFailed(p.Link)
		}
		return false
	}
	r.log.Info("gateway_linked", zap.String("gateway", string(welcome.Entry)))
	r.linker.Linked(p.Link)
	defer r.linker.Unlinked(p.Link)
	link := peerLink{conn, arbiter.Process{Gateway: welcome.Entry, Incarnation: welcome.Incarnation}}
	id := r.addPeer(link)
	err = link.Run(ctx, func(message any) error { return r.handlePeerMessage(id, link.process, message) })
	r.removePeer(id, link.process)
	r.log.Info("gateway_lost", zap.String("gateway", string(welcome.Entry)), logger.Error(err))
	return true
}

// addPeer registers a link with another gateway for updates, and sends the current
// directory on it and which manifest this gateway has.
func (r *Runner) addPeer(link peerLink) distributor.LinkID {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastPeer++
	id := r.lastPeer
	r.peerLinks[id] = link
	r.send(link.Link, &selector.Directory{Gateways: r.linker.Known()})
	r.distribute(r.distributor.LinkOpened(id))
	now := r.clock()
	if !r.linker.FullMesh() {
		for _, report := range r.coordinator.CrashReports(now) {
			r.send(link.Link, &report)
		}
	}
	r.arbiter.PeerLinked(now, link.process)
	r.sendDecisions(now, r.arbiter.CancelsFor(now, link.process.Gateway))
	r.perform(r.coordinator.ArbiterLinked(now, link.process.Gateway))
	return id
}

// passOn sends the report of a crash to the gateways that are linked, if agents are not linked to
// all of them. The caller holds the lock.
func (r *Runner) passOn(report *quarantiner.Report) {
	if r.linker.FullMesh() {
		return
	}
	for _, link := range r.peerLinks {
		r.send(link.Link, report)
	}
}

// removePeer removes a link that has ended.
func (r *Runner) removePeer(id distributor.LinkID, process arbiter.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peerLinks, id)
	r.dropBacklog(process.Gateway)
	r.counters.peerLinksLost.Inc()
	now := r.clock()
	r.distribute(r.distributor.LinkClosed(now, id))
	r.arbiter.PeerUnlinked(now, process)
}

// handlePeerMessage handles one message of another gateway.
func (r *Runner) handlePeerMessage(id distributor.LinkID, from arbiter.Process, message any) error {
	r.counters.messagesReceived.Inc()
	switch m := message.(type) {
	case *registrar.Heartbeat:
	case *selector.Directory:
		r.learnGateways(m.Gateways)
	case *router.Manifest:
		r.counters.manifestsReceived.Inc()
		r.adoptManifest(*m, "gateway")
	case *quarantiner.Report:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.perform(r.coordinator.HandleReport(r.clock(), m))
	case *tracker.Report:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.handleBacklog(r.clock(), from.Gateway, m)
	case *distributor.Announcement:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.adoptEvacuations(m.Evacuations)
		r.distribute(r.distributor.HandleAnnouncement(r.clock(), id, m))
	case *distributor.Request:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.distribute(r.distributor.HandleRequest(r.clock(), id, m))
	default:
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.handleClaimMessage(r.clock(), from, message) {
			return &connector.UnexpectedMessageError{Message: message}
		}
	}
	return nil
}

// linkedGateways returns the names of the gateways that are linked, sorted. The caller holds the lock.
func (r *Runner) linkedGateways() []identifier.Entry {
	var names []identifier.Entry
	for _, l := range r.peerLinks {
		names = append(names, l.process.Gateway)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// learnGateways adds gateways. It sends the new ones to all agents and gateways that are
// linked.
func (r *Runner) learnGateways(gateways []selector.Gateway) {
	r.mu.Lock()
	defer r.mu.Unlock()
	added := r.linker.Learn(gateways...)
	if len(added) == 0 {
		return
	}
	r.log.Info("gateways_learned", zap.Int("added", len(added)), zap.Int("known", len(r.linker.Known())))
	directory := &selector.Directory{Gateways: added}
	for _, link := range r.agentLinks {
		r.send(link, directory)
	}
	for _, link := range r.peerLinks {
		r.send(link.Link, directory)
	}
}

// adoptManifest adopts a manifest that is newer than the current one, and announces it to the
// gateways that are linked.
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
	r.distribute(r.distributor.Adopted(m.Version))
}

// distribute carries out the effects of a decision about the distribution of manifests. The
// caller holds the lock.
func (r *Runner) distribute(effects []distributor.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case distributor.Send:
			if m, ok := e.Message.(*distributor.Request); ok {
				r.log.Info("manifest_requested", zap.Uint64("have", m.Have))
			}
			r.send(r.peerLinks[e.To].Link, e.Message)
		case distributor.SendManifest:
			m := r.router.Manifest()
			r.counters.manifestsSent.Inc()
			r.log.Info("manifest_sent", zap.Uint64("version", m.Version))
			r.send(r.peerLinks[e.To].Link, &m)
		}
	}
}
