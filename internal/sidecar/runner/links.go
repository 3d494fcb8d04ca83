package runner

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/member/selector"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// session dials one gateway and handles what it says until the link ends. It reports
// whether the link was up.
func (r *Runner) session(ctx context.Context, p registrar.Peer) bool {
	hello := registrar.Hello{Agent: r.settings.Name, Incarnation: r.incarnation}
	link, welcome, err := connector.Dial(ctx, r.edges.Dial, p.Link, r.settings.Timing, hello)
	if err != nil {
		if ctx.Err() == nil {
			r.finder.DialFailed(p.Link)
		}
		return false
	}
	entry := welcome.Entry
	link.NewHeartbeat = func() any { return r.askPermit(entry) }
	r.link(entry, welcome.Incarnation, link)
	r.finder.Linked(p.Link)
	defer r.finder.Unlinked(p.Link)
	err = link.Run(ctx, func(message any) error { return r.handle(entry, link, message) })
	r.unlink(entry, link)
	r.log.Info("gateway_lost", zap.String("gateway", string(entry)), logger.Error(err))
	return true
}

func (r *Runner) link(entry identifier.Entry, incarnation identifier.Incarnation, link *connector.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Info("gateway_linked", zap.String("gateway", string(entry)), zap.Uint64("incarnation", uint64(incarnation)))
	if before := r.links[entry]; before != nil {
		before.Close()
	}
	r.links[entry] = link
	now := r.clock()
	r.perform(r.executor.GatewayLinked(now, entry, incarnation))
	r.perform([]executor.Effect{executor.Send{To: entry, Message: r.executor.RequestPermit(now, entry)}})
}

func (r *Runner) unlink(entry identifier.Entry, link *connector.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[entry] != link {
		return
	}
	delete(r.links, entry)
	r.executor.GatewayUnlinked(entry)
}

// askPermit is the heartbeat of a link.
func (r *Runner) askPermit(entry identifier.Entry) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executor.RequestPermit(r.clock(), entry)
}

// handle takes one message of a gateway. A message on a link that has been replaced is
// dropped. The clock is read when the lock is held, so that no wait lets a start pass
// whose permit ends in the meantime.
func (r *Runner) handle(from identifier.Entry, link *connector.Link, message any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[from] != link {
		return nil
	}
	now := r.clock()
	r.counters.received.Inc()
	switch m := message.(type) {
	case *registrar.Heartbeat:
	case *executor.Permit:
		r.executor.HandlePermit(from, m)
	case *executor.Start:
		r.perform(r.executor.Start(now, from, m))
	case *executor.Stop:
		r.perform(r.executor.Stop(now, from, m))
	case *executor.Backlog:
		r.perform(r.executor.Want(from, m))
	case *selector.Directory:
		r.learn(m.Gateways)
	default:
		return &connector.UnexpectedMessageError{Message: message}
	}
	return nil
}

// learn takes addresses of gateways.
func (r *Runner) learn(addrs []netip.AddrPort) {
	if r.finder.Learn(addrs...) {
		r.log.Info("gateways_learned", zap.Int("known", len(r.finder.Known())))
	}
}

// findPause is the time between two readings of the store while no gateway is linked. A
// few hundred sidecars at that pace stay well within the store's rate.
const findPause = 500 * time.Millisecond

// find reads the gateways from the store while none is linked. Otherwise the linked
// ones tell of the others.
func (r *Runner) find(ctx context.Context) {
	ticker := time.NewTicker(findPause)
	defer ticker.Stop()
	for {
		if r.linkCount() == 0 {
			addrs, _, _, err := r.edges.Store.Gateways(ctx, 0, 0)
			if err != nil && ctx.Err() == nil {
				r.log.Warn("gateways_unread", logger.Error(err))
			}
			r.learn(addrs)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) linkCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}
