// Package selector holds the addresses of gateways that a process knows, and selects those
// to which it should be linked.
package selector

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Directory is a message that lists gateways.
type Directory struct {
	_msgpack struct{} `msgpack:",as_array"`

	Gateways []Gateway
}

// Gateway is the address of the link port of a gateway, and its data centre, which is empty
// if it is unknown.
type Gateway struct {
	_msgpack struct{} `msgpack:",as_array"`

	Link       netip.AddrPort
	DataCentre identifier.DataCentre
}

// addressTTL is how long an address is kept that no Directory has listed and no link has
// used. It limits the dials to gateways that were replaced.
const addressTTL = time.Minute

// Selector holds the known addresses of gateways. The zero value is empty. It is not safe
// for concurrent use.
type Selector struct {
	// known holds the known addresses.
	known map[netip.AddrPort]record
	// pins counts the pins of each address, and open its open links. An address with one of
	// them does not expire.
	pins, open map[netip.AddrPort]int
	// failed holds when a dial of an address last failed.
	failed map[netip.AddrPort]time.Time
}

// record is what is known of an address.
type record struct {
	// confirmed is when the address was last confirmed.
	confirmed  time.Time
	dataCentre identifier.DataCentre
}

// Pin adds gateways that do not expire, and returns those that are new. The process pins its
// own address and those in its settings.
func (s *Selector) Pin(now time.Time, gateways ...Gateway) []Gateway {
	if s.pins == nil {
		s.pins = make(map[netip.AddrPort]int)
	}
	for _, g := range gateways {
		s.pins[g.Link]++
	}
	return s.Add(now, gateways...)
}

// Open records an open link to an address.
func (s *Selector) Open(now time.Time, addr netip.AddrPort) {
	if s.open == nil {
		s.open = make(map[netip.AddrPort]int)
	}
	s.open[addr]++
	s.Add(now, Gateway{Link: addr})
}

// Close reverses one Open of an address, and confirms the address.
func (s *Selector) Close(now time.Time, addr netip.AddrPort) {
	if s.open[addr]--; s.open[addr] <= 0 {
		delete(s.open, addr)
	}
	s.Add(now, Gateway{Link: addr})
}

// Add adds or confirms gateways, and returns those that are new or whose data centre is.
func (s *Selector) Add(now time.Time, gateways ...Gateway) []Gateway {
	if s.known == nil {
		s.known = make(map[netip.AddrPort]record)
	}
	var added []Gateway
	for _, g := range gateways {
		r, known := s.known[g.Link]
		r.confirmed = now
		if !known || g.DataCentre != "" && g.DataCentre != r.dataCentre {
			r.dataCentre = g.DataCentre
			added = append(added, g)
		}
		s.known[g.Link] = r
	}
	return added
}

// Expire removes the addresses that were not confirmed for addressTTL and the failures
// older than failureTTL. It reports whether that may change the result of Choose.
func (s *Selector) Expire(now time.Time) bool {
	expired := s.expireFailures(now)
	for a, r := range s.known {
		if s.pins[a] == 0 && s.open[a] == 0 && now.Sub(r.confirmed) >= addressTTL {
			delete(s.known, a)
			expired = true
		}
	}
	return expired
}

// List returns all known gateways, sorted by address.
func (s *Selector) List() []Gateway {
	gateways := make([]Gateway, 0, len(s.known))
	for a, r := range s.known {
		gateways = append(gateways, Gateway{Link: a, DataCentre: r.dataCentre})
	}
	slices.SortFunc(gateways, func(a, b Gateway) int { return a.Link.Compare(b.Link) })
	return gateways
}
