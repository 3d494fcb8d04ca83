// Package selector holds the addresses of gateways that a process knows, and selects those
// to which it should be linked.
package selector

import (
	"net/netip"
	"slices"
	"time"
)

// Directory is a message that lists known gateways by the addresses of their link ports.
type Directory struct {
	_msgpack struct{} `msgpack:",as_array"`

	Gateways []netip.AddrPort
}

// addressTTL is how long an address is kept that no Directory has listed and no link has
// used. It limits the dials to gateways that were replaced.
const addressTTL = time.Minute

// Selector holds the known addresses of gateways. The zero value is empty. It is not safe
// for concurrent use.
type Selector struct {
	// confirmed holds when each address was last confirmed.
	confirmed map[netip.AddrPort]time.Time
	// pins counts the pins of each address. A pinned address does not expire.
	pins map[netip.AddrPort]int
	// failed holds when a dial of an address last failed.
	failed map[netip.AddrPort]time.Time
}

// Pin adds addresses that do not expire before as many calls of Unpin, and reports whether
// one of them is new. The process pins its own address, those in its settings, and those of
// its open links.
func (s *Selector) Pin(now time.Time, addrs ...netip.AddrPort) bool {
	if s.pins == nil {
		s.pins = make(map[netip.AddrPort]int)
	}
	for _, a := range addrs {
		s.pins[a]++
	}
	return s.Add(now, addrs...)
}

// Unpin reverses one Pin of an address, and confirms the address.
func (s *Selector) Unpin(now time.Time, addr netip.AddrPort) {
	if s.pins[addr]--; s.pins[addr] <= 0 {
		delete(s.pins, addr)
	}
	s.Add(now, addr)
}

// Add adds or confirms addresses, and reports whether one of them is new.
func (s *Selector) Add(now time.Time, addrs ...netip.AddrPort) bool {
	if s.confirmed == nil {
		s.confirmed = make(map[netip.AddrPort]time.Time)
	}
	added := false
	for _, a := range addrs {
		if _, known := s.confirmed[a]; !known {
			added = true
		}
		s.confirmed[a] = now
	}
	return added
}

// Expire removes the addresses that were not confirmed for addressTTL and the failures
// older than failureTTL. It reports whether that may change the result of Choose.
func (s *Selector) Expire(now time.Time) bool {
	expired := s.expireFailures(now)
	for a, at := range s.confirmed {
		if s.pins[a] == 0 && now.Sub(at) >= addressTTL {
			delete(s.confirmed, a)
			expired = true
		}
	}
	return expired
}

// List returns all known addresses, sorted.
func (s *Selector) List() []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(s.confirmed))
	for a := range s.confirmed {
		addrs = append(addrs, a)
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return addrs
}
