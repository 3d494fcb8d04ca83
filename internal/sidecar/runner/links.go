package runner

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/evacuator"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/member/selector"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// session dials a gateway and handles its messages until the link ends. It reports whether
// the link was established.
func (r *Runner) session(ctx context.Context, p registrar.Peer) bool {
	hello := registrar.Hello{Agent: r.settings.Name, Incarnation: r.incarnation, Link: r.lastLink.Add(1)}
	link, welcome, err := connector.Dial(ctx, r.deps.Dial, p.Link, r.settings.Timing, hello)
	if err != nil {
		if ctx.Err() == nil {
			r.linker.DialFailed(p.Link)
		}
		return false
	}
	gateway := welcome.Entry
	r.addLink(gateway, p.Link, welcome.Incarnation, link)
	r.linker.Linked(p.Link)
	defer r.linker.Unlinked(p.Link)
	err = link.Run(ctx, func(message any) error { return r.handle(gateway, link, message) })
	r.removeLink(gateway, link)
	r.log.Info("gateway_lost", zap.String("gateway", string(gateway)), logger.Error(err))
	return true
}

// addLink registers a new link to a gateway in place of an earlier one.
func (r *Runner) addLink(gateway identifier.Entry, addr netip.AddrPort, incarnation identifier.Incarnation, link *connector.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Info("gateway_linked", zap.String("gateway", string(gateway)), zap.Uint64("incarnation", uint64(incarnation)))
	if previous := r.links[gateway]; previous != nil {
		previous.Close()
	}
	r.links[gateway], r.addrs[gateway] = link, addr
	r.perform(r.executor.GatewayLinked(r.clock(), gateway, incarnation))
}

// removeLink removes a link that has ended, unless another one has replaced it.
func (r *Runner) removeLink(gateway identifier.Entry, link *connector.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[gateway] != link {
		return
	}
	delete(r.links, gateway)
	delete(r.addrs, gateway)
	r.executor.GatewayUnlinked(gateway)
}

// handle handles one message of a gateway. A message on a link that has been replaced is
// dropped. The clock is read after the lock is taken, so that a permit that expires during
// a wait for the lock cannot admit a start.
func (r *Runner) handle(gateway identifier.Entry, link *connector.Link, message any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[gateway] != link {
		return nil
	}
	now := r.clock()
	r.counters.messagesReceived.Inc()
	switch m := message.(type) {
	case *registrar.Heartbeat:
	case *executor.Permit:
		r.executor.HandlePermit(now, gateway, m)
	case *executor.Start:
		r.perform(r.executor.HandleStart(now, gateway, m))
	case *executor.Stop:
		r.perform(r.executor.HandleStop(now, gateway, m))
	case *executor.Backlog:
		r.perform(r.executor.HandleBacklog(now, gateway, m))
	case *evacuator.Update:
		r.perform(r.executor.HandleEvacuations(now, m.Rows))
	case *selector.Directory:
		r.learnGateways(m.Gateways)
	default:
		return &connector.UnexpectedMessageError{Message: message}
	}
	return nil
}

// learnGateways adds gateways to those from which links are chosen.
func (r *Runner) learnGateways(gateways []selector.Gateway) {
	if added := r.linker.Learn(gateways...); len(added) > 0 {
		r.log.Info("gateways_learned", zap.Int("added", len(added)))
	}
}

const (
	// seedDelay is how long a sidecar waits for the gateways in the store before it links to
	// the seeds. In a large cell, all sidecars would link to the same few gateways otherwise.
	seedDelay = 100 * time.Millisecond
	// gatewayPollInterval is the time between two reads of the store while no gateway is
	// linked. At this rate a few hundred sidecars stay well below the store's rate limit.
	gatewayPollInterval = 500 * time.Millisecond
)

// useSeeds links to the seeds unless a gateway is linked seedDelay after the start.
func (r *Runner) useSeeds(ctx context.Context) {
	delay := time.NewTimer(seedDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
		return
	}
	if r.linkCount() == 0 {
		r.linker.LearnSeeds(r.settings.SeedLinkAddrs()...)
	}
}

// findGateways reads the gateways from the store while none is linked, and uses the seeds if the
// store does not answer. Linked gateways send the addresses of the others.
func (r *Runner) findGateways(ctx context.Context) {
	ticker := time.NewTicker(gatewayPollInterval)
	defer ticker.Stop()
	for {
		if r.linkCount() == 0 {
			gateways, _, _, err := r.deps.Store.Gateways(ctx, 0, 0)
			if err != nil && ctx.Err() == nil {
				r.log.Warn("gateways_read_failed", logger.Error(err))
				r.linker.LearnSeeds(r.settings.SeedLinkAddrs()...)
			}
			r.learnGateways(gateways)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// releaseInterval is the time between two checks for links that are not needed.
const releaseInterval = time.Second

// releaseLinks asks the gateways of links that are not needed to close them, until ctx ends.
func (r *Runner) releaseLinks(ctx context.Context) {
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		surplus := r.linker.Surplus()
		r.mu.Lock()
		for gateway, addr := range r.addrs {
			if slices.Contains(surplus, addr) {
				r.perform(r.executor.ReleaseLink(gateway))
			}
		}
		r.mu.Unlock()
	}
}

// linkCount returns the number of linked gateways.
func (r *Runner) linkCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}
