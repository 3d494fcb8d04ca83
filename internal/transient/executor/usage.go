package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// usage is the part of the worker's capacity that one gateway uses.
type usage struct {
	// backlog is the last backlog that the gateway has sent.
	backlog Backlog
	used    specifier.Resources
	// queuedDemand is the demand of its runs that are queued at the agent.
	queuedDemand specifier.Resources
	// reserved is capacity that only this gateway may use, until reservedUntil.
	reserved      specifier.Resources
	reservedUntil time.Time
	// unused is set from a reservation until the next start, and unusedSince is when the first of the
	// reservations was made that are unused and have not expired. misses counts the reservations that were
	// unused in a row, and missedUntil is until when the gateway gets none because of them.
	unused      bool
	unusedSince time.Time
	misses      int
	missedUntil time.Time
	// lastReported is the value of usedByOthers that was last sent to the gateway.
	lastReported specifier.Resources
}

const (
	// reservationDuration covers the round trip to a gateway in another data centre
	// and the time that a loaded gateway takes to respond.
	reservationDuration = 20 * time.Millisecond
	// A large change is more than 1/largeChangeDivisor of the worker's CPU capacity. Large
	// changes are sent to the gateways at once, smaller ones with the next permit request.
	largeChangeDivisor = 4
)

// HandleBacklog records whether tasks wait at a gateway for capacity. A gateway that starts
// to wait is sent the current usage if its information is out of date. The reservation of a
// gateway that waits no longer is offered to others: under peak load, agents reserve more for
// the most urgent gateway together than it needs.
func (x *Executor) HandleBacklog(now time.Time, gateway identifier.Entry, m *Backlog) []Effect {
	g := x.gateways[gateway]
	if g == nil {
		return nil
	}
	if reserved := g.usage.reserved; !m.Waiting && reserved != (specifier.Resources{}) {
		g.usage.backlog, g.usage.reserved = *m, specifier.Resources{}
		return x.offer(now, g, reserved)
	}
	becameWaiting := m.Waiting && !g.usage.backlog.Waiting
	g.usage.backlog, g.usage.misses, g.usage.missedUntil = *m, 0, time.Time{}
	if !becameWaiting || !g.linked || x.usedByOthers(g) == g.usage.lastReported {
		return nil
	}
	return []Effect{Send{gateway, &Load{UsedByOthers: x.reportUsedByOthers(g)}}}
}

// usedByOthers returns the capacity that a gateway cannot use because other gateways use
// it, have queued runs for it or have reserved it.
func (x *Executor) usedByOthers(g *gatewayState) specifier.Resources {
	return x.used.Sub(g.usage.used).Add(x.queuedDemand.Sub(g.usage.queuedDemand)).Add(x.reservedForOthers(g))
}

// reportUsedByOthers returns usedByOthers for a message to the gateway, and records that
// it was sent.
func (x *Executor) reportUsedByOthers(g *gatewayState) specifier.Resources {
	g.usage.lastReported = x.usedByOthers(g)
	return g.usage.lastReported
}

// reservedForOthers returns the capacity that is reserved for gateways other than g.
func (x *Executor) reservedForOthers(g *gatewayState) specifier.Resources {
	var sum specifier.Resources
	for _, other := range x.gateways {
		if other != g {
			sum = sum.Add(other.usage.reserved)
		}
	}
	return sum
}

// allocate gives capacity to a gateway, from its reservation first.
func (x *Executor) allocate(g *gatewayState, demand specifier.Resources) {
	x.used = x.used.Add(demand)
	g.usage.used = g.usage.used.Add(demand)
	g.usage.reserved = g.usage.reserved.Sub(demand).ClampToZero()
	g.usage.unused, g.usage.misses, g.usage.missedUntil = false, 0, time.Time{}
}

// free returns capacity that a gateway used, and offers it; g is nil if the gateway has
// restarted since.
func (x *Executor) free(now time.Time, g *gatewayState, demand specifier.Resources) []Effect {
	x.used = x.used.Sub(demand)
	if g != nil {
		g.usage.used = g.usage.used.Sub(demand)
	}
	return x.offer(now, g, demand)
}

// offer gives free capacity to queued runs, in the order of their urgency, or else reserves it for
// one gateway whose waiting tasks fit: the one with the most urgent task, then the one that uses
// least. When all workers are full, a queued run starts at once, whereas a reservation leaves the
// capacity unused for a round trip, and a peak lasts longer for that. If the capacity were announced to
// all gateways, all would send a run and all but one would be refused. The gateway from, which may
// be nil, learns of the capacity without a message.
func (x *Executor) offer(now time.Time, from *gatewayState, capacity specifier.Resources) []Effect {
	if effects := x.startQueued(now); len(effects) > 0 {
		return effects
	}
	gateway, next := x.chooseWaiting(now, from, capacity)
	if next == nil || next == from {
		return nil
	}
	if !next.usage.missing() {
		next.usage.unusedSince = now
	}
	next.usage.reserved = next.usage.reserved.Add(capacity)
	next.usage.reservedUntil, next.usage.unused = now.Add(reservationDuration), true
	return []Effect{Send{gateway, &Load{UsedByOthers: x.reportUsedByOthers(next)}}}
}

// missing reports whether capacity is reserved of which nothing was used since.
func (u *usage) missing() bool {
	return u.unused && u.reserved != (specifier.Resources{})
}

// nextWaiting returns the gateway that gets freed capacity, and prefers g among equals. A
// gateway whose tasks do not fit is passed over: it would leave the capacity unused.
func (x *Executor) nextWaiting(g *gatewayState) (identifier.Entry, *gatewayState) {
	var name identifier.Entry
	var next *gatewayState
	for _, gateway := range slices.Sorted(maps.Keys(x.gateways)) {
		candidate := x.gateways[gateway]
		if !candidate.linked || !candidate.usage.backlog.Waiting || !x.hasRoom(candidate, candidate.usage.backlog.Demand) {
			continue
		}
		if next == nil || candidate.usage.precedes(&next.usage) || (candidate == g && !next.usage.precedes(&candidate.usage)) {
			name, next = gateway, candidate
		}
	}
	return name, next
}

// precedes reports whether a gateway with usage u gets capacity before one with usage v.
func (u *usage) precedes(v *usage) bool {
	if u.backlog.Priority != v.backlog.Priority {
		return u.backlog.Priority < v.backlog.Priority
	}
	return u.used.CPU+u.reserved.CPU < v.used.CPU+v.reserved.CPU
}

// expireReservations frees reserved capacity that was not used in time, and reports it to
// every gateway with waiting tasks.
func (x *Executor) expireReservations(now time.Time) []Effect {
	expired := false
	for _, g := range x.gateways {
		if g.usage.reserved != (specifier.Resources{}) && !now.Before(g.usage.reservedUntil) {
			g.usage.reserved = specifier.Resources{}
			x.noteExpired(now, g)
			expired = true
		}
	}
	if !expired {
		return nil
	}
	var effects []Effect
	for _, gateway := range slices.Sorted(maps.Keys(x.gateways)) {
		if g := x.gateways[gateway]; g.linked && g.usage.backlog.Waiting && x.usedByOthers(g) != g.usage.lastReported {
			effects = append(effects, Send{gateway, &Load{UsedByOthers: x.reportUsedByOthers(g)}})
		}
	}
	return effects
}

// sendLargeChanges reports the usage to the gateways, other than except, for which much less
// capacity is free than was last reported to them.
func (x *Executor) sendLargeChanges(except identifier.Entry) []Effect {
	if x.worker == nil {
		return nil
	}
	limit := x.worker.report.Capacity.CPU / largeChangeDivisor
	var effects []Effect
	for _, gateway := range slices.Sorted(maps.Keys(x.gateways)) {
		g := x.gateways[gateway]
		if gateway != except && g.linked && x.usedByOthers(g).CPU-g.usage.lastReported.CPU > limit {
			effects = append(effects, Send{gateway, &Load{UsedByOthers: x.reportUsedByOthers(g)}})
		}
	}
	return effects
}
