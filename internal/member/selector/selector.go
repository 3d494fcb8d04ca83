// Package selector holds the gateways that a process knows of.
package selector

import (
	"net/netip"
	"slices"
	"time"
)

// Directory tells a process of gateways, by the addresses of their link ports.
type Directory struct {
	_msgpack struct{} `msgpack:",as_array"`

	Gateways []netip.AddrPort
}

// forgetAfter is how long a gateway is remembered that no list names and no link
// reaches. It bounds the dials to gateways that were replaced.
const forgetAfter = time.Minute

// Selector holds addresses with when they were last confirmed. The zero value is empty.
// It is not safe for use by several goroutines at once.
type Selector struct {
	confirmed map[netip.AddrPort]time.Time
	// kept counts the reasons for which an address must not be forgotten.
	kept map[netip.AddrPort]int
	// failed holds when an address could not be reached.
	failed map[netip.AddrPort]time.Time
}

// Pin adds addresses that are not forgotten before as many calls of Release: those of
// this process itself, of its settings, and of its open links.
func (l *Selector) Pin(now time.Time, addrs ...netip.AddrPort) bool {
	if l.kept == nil {
		l.kept = make(map[netip.AddrPort]int)
	}
	for _, a := range addrs {
		l.kept[a]++
	}
	return l.Add(now, addrs...)
}

// Unpin takes back one Keep of an address, which was good until now.
func (l *Selector) Unpin(now time.Time, addr netip.AddrPort) {
	if l.kept[addr]--; l.kept[addr] <= 0 {
		delete(l.kept, addr)
	}
	l.Add(now, addr)
}

// Add confirms addresses, and reports whether one of them is new.
func (l *Selector) Add(now time.Time, addrs ...netip.AddrPort) bool {
	if l.confirmed == nil {
		l.confirmed = make(map[netip.AddrPort]time.Time)
	}
	fresh := false
	for _, a := range addrs {
		if _, known := l.confirmed[a]; !known {
			fresh = true
		}
		l.confirmed[a] = now
	}
	return fresh
}

// Expire drops what is long ago: addresses that were not confirmed since, and failures. It
// reports whether that may change what is chosen.
func (l *Selector) Expire(now time.Time) bool {
	dropped := l.forgive(now)
	for a, at := range l.confirmed {
		if l.kept[a] == 0 && now.Sub(at) >= forgetAfter {
			delete(l.confirmed, a)
			dropped = true
		}
	}
	return dropped
}

// List returns the addresses in order.
func (l *Selector) List() []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(l.confirmed))
	for a := range l.confirmed {
		addrs = append(addrs, a)
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return addrs
}
