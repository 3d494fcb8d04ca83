// Package linker keeps a process linked to the gateways that package selector chooses for
// it.
package linker

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/member/selector"
)

// maxRedialPause is the upper bound of the pause before a gateway is dialled again. It is
// short because the callers of an unlinked gateway wait, and a dial costs one packet.
const maxRedialPause = 150 * time.Millisecond

// Linker holds the gateways that a process knows. It is safe for concurrent use.
type Linker struct {
	process selector.Process
	self    netip.AddrPort
	clock   identifier.Clock

	mu       sync.Mutex
	selector selector.Selector
	// wanted holds the newest choice until Run receives it.
	wanted chan []registrar.Peer
}

// New returns the linker of a process. The argument self is its own address if it is a
// gateway, and invalid otherwise; a gateway announces its own address but does not dial it.
func New(process selector.Process, self netip.AddrPort, clock identifier.Clock) *Linker {
	l := &Linker{process: process, self: self, clock: clock, wanted: make(chan []registrar.Peer, 1)}
	if self.IsValid() {
		l.selector.Pin(clock(), selector.Gateway{Link: self, DataCentre: process.DataCentre})
	}
	l.choose()
	return l
}

// LearnSeeds adds addresses that never expire.
func (l *Linker) LearnSeeds(seeds ...netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, seed := range seeds {
		l.selector.Pin(l.clock(), selector.Gateway{Link: seed})
	}
	l.choose()
}

// Run calls session for each chosen gateway, again whenever it returns, until ctx ends. See
// connector.MaintainLinks.
func (l *Linker) Run(ctx context.Context, session func(context.Context, registrar.Peer) bool) {
	connector.MaintainLinks(ctx, l.wanted, maxRedialPause, session)
}

// Learn adds gateways, and returns those that are new.
func (l *Linker) Learn(gateways ...selector.Gateway) []selector.Gateway {
	l.mu.Lock()
	defer l.mu.Unlock()
	added := l.selector.Add(l.clock(), gateways...)
	if len(added) > 0 {
		l.choose()
	}
	return added
}

// Known returns all known gateways, to be passed on to other processes.
func (l *Linker) Known() []selector.Gateway {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.selector.List()
}

// FullMesh reports whether each process is linked to all known gateways.
func (l *Linker) FullMesh() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.selector.FullMesh()
}

// Expire removes addresses and failures that have expired. It must be called
// periodically.
func (l *Linker) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.selector.Expire(l.clock()) {
		l.choose()
	}
}

// Linked records a link to an address, which does not expire until Unlinked is called.
func (l *Linker) Linked(addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.selector.Open(l.clock(), addr)
}

// Unlinked records the end of a link to an address. It is dialled again if it would be
// chosen without the link.
func (l *Linker) Unlinked(addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.selector.Close(l.clock(), addr)
	l.choose()
}

// Surplus returns the addresses with links that this process needs no longer.
func (l *Linker) Surplus() []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.selector.Surplus(l.clock(), l.process)
}

// DialFailed records that an address could not be dialled, so that another one may be
// chosen in its place.
func (l *Linker) DialFailed(addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.selector.MarkFailed(l.clock(), addr) {
		l.choose()
	}
}

// choose passes the current choice to Run. The caller holds the lock, except in New.
func (l *Linker) choose() {
	var peers []registrar.Peer
	for _, addr := range l.selector.Choose(l.clock(), l.process) {
		if addr != l.self {
			peers = append(peers, registrar.Peer{Link: addr})
		}
	}
	select {
	case <-l.wanted:
	default:
	}
	l.wanted <- peers
}
