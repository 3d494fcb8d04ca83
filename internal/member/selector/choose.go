package selector

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

const (
	// maxFullMesh is the number of gateways up to which a process is linked to all of them.
	maxFullMesh = 16
	// localLinks is the number of links to gateways in the data centre of the process, and
	// remoteLinks that of links to others, if there are more gateways. Most callers are
	// served within their data centre; remote links spread a burst in one data centre and
	// serve the callers of a lost one.
	localLinks  = 5
	remoteLinks = 3
	// failureTTL is how long an address is ranked last after a failed dial.
	failureTTL = 5 * time.Second
)

// Process is the process for which gateways are chosen.
type Process struct {
	Name       string
	DataCentre identifier.DataCentre
}

// Choose returns the addresses to which a process should have links, sorted. These are all
// known addresses up to maxFullMesh. Of more, they are the first by a hash of the process
// name and the address, which spreads the links evenly over the gateways: localLinks in the
// data centre of the process and remoteLinks elsewhere, or more elsewhere if there are too
// few. Addresses with an open link are returned too, since runs may depend on it.
func (s *Selector) Choose(now time.Time, p Process) []netip.AddrPort {
	best := s.best(now, p)
	chosen := append(best, s.openBeside(best)...)
	slices.SortFunc(chosen, netip.AddrPort.Compare)
	return chosen
}

// FullMesh reports whether each process is linked to all known gateways.
func (s *Selector) FullMesh() bool {
	return len(s.known) <= maxFullMesh
}

// Surplus returns the addresses with an open link that would not be chosen without it, once
// most of the others have open links.
func (s *Selector) Surplus(now time.Time, p Process) []netip.AddrPort {
	best := s.best(now, p)
	linked := 0
	for _, a := range best {
		if s.open[a] > 0 {
			linked++
		}
	}
	if 2*linked <= len(best) {
		return nil
	}
	surplus := s.openBeside(best)
	slices.SortFunc(surplus, netip.AddrPort.Compare)
	return surplus
}

// openBeside returns the addresses with an open link that are not in addrs, in any order.
func (s *Selector) openBeside(addrs []netip.AddrPort) []netip.AddrPort {
	var others []netip.AddrPort
	for a := range s.open {
		if !slices.Contains(addrs, a) {
			others = append(others, a)
		}
	}
	return others
}

// best returns the addresses to be chosen without regard to the open links, in any order.
func (s *Selector) best(now time.Time, p Process) []netip.AddrPort {
	gateways := s.List()
	addrs := make([]netip.AddrPort, 0, len(gateways))
	if len(gateways) <= maxFullMesh {
		for _, g := range gateways {
			addrs = append(addrs, g.Link)
		}
		return addrs
	}
	rank := make(map[netip.AddrPort]uint64, len(gateways))
	for _, g := range gateways {
		rank[g.Link] = xxhash.Sum64String(p.Name + " " + g.Link.String())
	}
	slices.SortFunc(gateways, func(a, b Gateway) int {
		return cmp.Or(
			cmp.Compare(s.failedAt(now, a.Link), s.failedAt(now, b.Link)),
			cmp.Compare(rank[a.Link], rank[b.Link]),
			a.Link.Compare(b.Link),
		)
	})
	local := func(g Gateway) bool { return g.DataCentre != "" && g.DataCentre == p.DataCentre }
	for _, g := range gateways {
		if len(addrs) < localLinks && local(g) && s.failedAt(now, g.Link) == 0 {
			addrs = append(addrs, g.Link)
		}
	}
	for _, g := range gateways {
		if len(addrs) < localLinks+remoteLinks && !local(g) {
			addrs = append(addrs, g.Link)
		}
	}
	return addrs
}

// MarkFailed records that an address could not be dialled, and reports whether another
// one may be chosen in its place.
func (s *Selector) MarkFailed(now time.Time, addr netip.AddrPort) bool {
	if len(s.known) <= maxFullMesh {
		return false
	}
	if s.failed == nil {
		s.failed = make(map[netip.AddrPort]time.Time)
	}
	s.failed[addr] = now
	return true
}

// failedAt returns when a dial of an address last failed, in Unix nanoseconds, or zero if
// that is longer ago than failureTTL.
func (s *Selector) failedAt(now time.Time, addr netip.AddrPort) int64 {
	at, failed := s.failed[addr]
	if !failed || now.Sub(at) >= failureTTL {
		return 0
	}
	return at.UnixNano()
}

// expireFailures removes the failures older than failureTTL, and reports whether there
// were any.
func (s *Selector) expireFailures(now time.Time) bool {
	expired := false
	for a := range s.failed {
		if s.failedAt(now, a) == 0 {
			delete(s.failed, a)
			expired = true
		}
	}
	return expired
}
