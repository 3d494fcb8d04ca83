package selector

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLinks limits the gateways to which a process keeps links, so that its load does
	// not grow with the number of gateways: an idle link carries twenty small messages a
	// second. With 16 links for each agent, a gateway of a large cell has about a hundred
	// agents, and an agent loses a sixteenth of its callers when a gateway fails.
	maxLinks = 16
	// failureTTL is how long an address is ranked last after a failed dial.
	failureTTL = 5 * time.Second
)

// Choose returns the addresses to which the process of the given name should have links,
// sorted. These are all known addresses up to maxLinks. Of more, they are the first by a
// hash of the process name and the address, which spreads the links evenly over the
// gateways, and all pinned addresses, since runs depend on the open links.
func (s *Selector) Choose(now time.Time, name string) []netip.AddrPort {
	addrs := s.List()
	if len(addrs) <= maxLinks {
		return addrs
	}
	rank := make(map[netip.AddrPort]uint64, len(addrs))
	for _, a := range addrs {
		rank[a] = xxhash.Sum64String(name + " " + a.String())
	}
	slices.SortFunc(addrs, func(a, b netip.AddrPort) int {
		if c := cmp.Compare(s.failedAt(now, a), s.failedAt(now, b)); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(rank[a], rank[b]), a.Compare(b))
	})
	chosen := addrs[:maxLinks:maxLinks]
	for _, a := range addrs[maxLinks:] {
		if s.pins[a] > 0 {
			chosen = append(chosen, a)
		}
	}
	slices.SortFunc(chosen, netip.AddrPort.Compare)
	return chosen
}

// MarkFailed records that an address could not be dialled, and reports whether another
// one may be chosen in its place.
func (s *Selector) MarkFailed(now time.Time, addr netip.AddrPort) bool {
	if len(s.confirmed) <= maxLinks {
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
