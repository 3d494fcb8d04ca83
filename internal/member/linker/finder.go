// Package linker keeps a process linked to the gateways that it should be linked to. Which
// these are is decided in package lister.
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

// redialPause bounds the pause before a gateway is dialled anew. While one is away its
// callers wait, and a dial costs one packet.
const redialPause = 150 * time.Millisecond

// Linker holds the gateways that one process knows of. It is safe for use by several
// goroutines at once.
type Linker struct {
	name  string
	self  netip.AddrPort
	clock identifier.Clock

	mu     sync.Mutex
	lister selector.Selector
	// wanted holds the newest choice, until the task that dials has taken it.
	wanted chan []registrar.Peer
}

// New returns the finder of a process with a name. Self is its own address when it is a
// gateway, which it tells of and does not dial. Seeds are never forgotten.
func New(name string, self netip.AddrPort, clock identifier.Clock, seeds ...netip.AddrPort) *Linker {
	f := &Linker{name: name, self: self, clock: clock, wanted: make(chan []registrar.Peer, 1)}
	if self.IsValid() {
		f.lister.Pin(clock(), self)
	}
	f.lister.Pin(clock(), seeds...)
	f.choose()
	return f
}

// Run calls session for each chosen gateway again and again, until ctx ends; see
// connector.Keep.
func (f *Linker) Run(ctx context.Context, session func(context.Context, registrar.Peer) bool) {
	connector.MaintainLinks(ctx, f.wanted, redialPause, session)
}

// Learn takes addresses of gateways, and reports whether one of them is new.
func (f *Linker) Learn(addrs ...netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lister.Add(f.clock(), addrs...) {
		return false
	}
	f.choose()
	return true
}

// Known returns the addresses of all gateways that are known, for other processes.
func (f *Linker) Known() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lister.List()
}

// Expire forgets what is long ago. It is called now and then.
func (f *Linker) Expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lister.Expire(f.clock()) {
		f.choose()
	}
}

// Linked remembers an address until Unlinked is called, for there is a link to it.
func (f *Linker) Linked(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lister.Pin(f.clock(), addr)
}

// Unlinked notes the end of a link to an address.
func (f *Linker) Unlinked(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lister.Unpin(f.clock(), addr)
}

// DialFailed notes that an address could not be dialled, and lets another one be chosen.
func (f *Linker) DialFailed(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lister.MarkFailed(f.clock(), addr) {
		f.choose()
	}
}

// choose passes the present choice to the task that dials. The lock is held.
func (f *Linker) choose() {
	var peers []registrar.Peer
	for _, addr := range f.lister.Choose(f.clock(), f.name) {
		if addr != f.self {
			peers = append(peers, registrar.Peer{Link: addr})
		}
	}
	select {
	case <-f.wanted:
	default:
	}
	f.wanted <- peers
}
