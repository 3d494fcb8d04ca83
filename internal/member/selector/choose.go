package selector

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLinks bounds the gateways that a process keeps links to, so that the work of a
	// process does not grow with their number. A link costs twenty small messages a second
	// while nothing runs. With sixteen, a gateway of a large cell has some hundred agents,
	// and an agent loses a sixteenth of its callers with a gateway.
	maxLinks = 16
	// failedFor is how long an address that could not be reached stays behind all others.
	failedFor = 5 * time.Second
)

// Choose returns the addresses that a process of a given name should have links to: all of
// a few gateways, and of many those that come first in an order that differs from process
// to process, so that links spread evenly. What is kept stays, for runs depend on it.
func (l *Selector) Choose(now time.Time, name string) []netip.AddrPort {
	addrs := l.List()
	if len(addrs) <= maxLinks {
		return addrs
	}
	rank := make(map[netip.AddrPort]uint64, len(addrs))
	for _, a := range addrs {
		rank[a] = xxhash.Sum64String(name + " " + a.String())
	}
	slices.SortFunc(addrs, func(a, b netip.AddrPort) int {
		if c := cmp.Compare(l.failedAt(now, a), l.failedAt(now, b)); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(rank[a], rank[b]), a.Compare(b))
	})
	chosen := addrs[:maxLinks:maxLinks]
	for _, a := range addrs[maxLinks:] {
		if l.kept[a] > 0 {
			chosen = append(chosen, a)
		}
	}
	slices.SortFunc(chosen, netip.AddrPort.Compare)
	return chosen
}

// MarkFailed notes that an address could not be reached, and reports whether another one may be
// chosen for it.
func (l *Selector) MarkFailed(now time.Time, addr netip.AddrPort) bool {
	if len(l.confirmed) <= maxLinks {
		return false
	}
	if l.failed == nil {
		l.failed = make(map[netip.AddrPort]time.Time)
	}
	l.failed[addr] = now
	return true
}

// failedAt returns when an address failed, or zero when that is long ago.
func (l *Selector) failedAt(now time.Time, addr netip.AddrPort) int64 {
	at, failed := l.failed[addr]
	if !failed || now.Sub(at) >= failedFor {
		return 0
	}
	return at.UnixNano()
}

// forgive drops the failures of long ago, and reports whether there were any.
func (l *Selector) forgive(now time.Time) bool {
	forgiven := false
	for a := range l.failed {
		if l.failedAt(now, a) == 0 {
			delete(l.failed, a)
			forgiven = true
		}
	}
	return forgiven
}
