package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// usage is the part of a worker's room that one gateway uses.
type usage struct {
	// waiting is set while work waits at the gateway, the first of it with priority.
	waiting  bool
	priority int
	used     specifier.Resources
	// queuedDemand is the demand of its starts that wait for room.
	queuedDemand specifier.Resources
	// reserved is room that only this gateway may use, until reservedUntil.
	reserved      specifier.Resources
	reservedUntil time.Time
	// lastReported is what the gateway was last lastReported of the use by others.
	lastReported specifier.Resources
}

const (
	// reservationDuration covers the way to a gateway in another zone and back, and the
	// time in which a loaded one decides.
	reservationDuration = 20 * time.Millisecond
	// largeChangeDivisor is the part of a worker's processors, as a divisor, whose change of
	// use every gateway is told of at once. Smaller changes wait for a heartbeat.
	largeChangeDivisor = 4
)

// HandleBacklog notes whether a gateway has work that waits for room.
func (x *Executor) HandleBacklog(entry identifier.Entry, m *Backlog) []Effect {
	o := x.gateways[entry]
	if o == nil {
		return nil
	}
	began := m.Waiting && !o.usage.waiting
	o.usage.waiting, o.usage.priority = m.Waiting, m.Priority
	if !began || !o.linked || x.usedByOthers(o) == o.usage.lastReported {
		return nil
	}
	return []Effect{Send{entry, &Load{UsedByOthers: x.reportUsedByOthers(o)}}}
}

// usedByOthers returns what a gateway cannot use because of the usedByOthers.
func (x *Executor) usedByOthers(o *gatewayState) specifier.Resources {
	return x.used.Sub(o.usage.used).Add(x.queuedDemand.Sub(o.usage.queuedDemand)).Add(x.reservedFor(o))
}

// reportUsedByOthers returns what a gateway cannot use because of the others, and notes that it
// was told.
func (x *Executor) reportUsedByOthers(o *gatewayState) specifier.Resources {
	o.usage.lastReported = x.usedByOthers(o)
	return o.usage.lastReported
}

// reservedFor returns the room that is reserved for other gateways than o.
func (x *Executor) reservedFor(o *gatewayState) specifier.Resources {
	var sum specifier.Resources
	for _, other := range x.gateways {
		if other != o {
			sum = sum.Add(other.usage.reserved)
		}
	}
	return sum
}

// allocate lets a gateway use room, from its reservation first.
func (x *Executor) allocate(o *gatewayState, demand specifier.Resources) {
	x.used = x.used.Add(demand)
	o.usage.used = o.usage.used.Add(demand)
	o.usage.reserved = o.usage.reserved.Sub(demand).ClampToZero()
}

// free frees room that a gateway used, which is nil when it has gone. Starts that wait
// here go first. Of the gateways with waiting work, the most urgent one and then the one that uses least gets the room
// to itself for a moment: told to all, it would be asked for by all, and all but one
// would have asked in vain.
func (x *Executor) free(now time.Time, o *gatewayState, demand specifier.Resources) []Effect {
	x.used = x.used.Sub(demand)
	if o != nil {
		o.usage.used = o.usage.used.Sub(demand)
	}
	if effects := x.startQueued(now); len(effects) > 0 {
		return effects
	}
	entry, winner := x.nextWaiting(o)
	if winner == nil || winner == o {
		// The gateway learns of its room by the end of its run.
		return nil
	}
	winner.usage.reserved = winner.usage.reserved.Add(demand)
	winner.usage.reservedUntil = now.Add(reservationDuration)
	return []Effect{Send{entry, &Load{UsedByOthers: x.reportUsedByOthers(winner)}}}
}

// nextWaiting returns the gateway that is to have freed room, and prefers o among equals.
func (x *Executor) nextWaiting(o *gatewayState) (identifier.Entry, *gatewayState) {
	var best identifier.Entry
	var winner *gatewayState
	for _, entry := range slices.Sorted(maps.Keys(x.gateways)) {
		other := x.gateways[entry]
		if !other.linked || !other.usage.waiting {
			continue
		}
		if winner == nil || other.usage.precedes(&winner.usage) || (other == o && !winner.usage.precedes(&other.usage)) {
			best, winner = entry, other
		}
	}
	return best, winner
}

// precedes reports whether s is to have room precedes t.
func (s *usage) precedes(t *usage) bool {
	if s.priority != t.priority {
		return s.priority < t.priority
	}
	return s.used.CPU+s.reserved.CPU < t.used.CPU+t.reserved.CPU
}

// expireReservations frees the room that was reserved and not used, and tells everyone
// who waits.
func (x *Executor) expireReservations(now time.Time) []Effect {
	expired := false
	for _, o := range x.gateways {
		if o.usage.reserved != (specifier.Resources{}) && !now.Before(o.usage.reservedUntil) {
			o.usage.reserved = specifier.Resources{}
			expired = true
		}
	}
	if !expired {
		return nil
	}
	var effects []Effect
	for _, entry := range slices.Sorted(maps.Keys(x.gateways)) {
		if o := x.gateways[entry]; o.linked && o.usage.waiting && x.usedByOthers(o) != o.usage.lastReported {
			effects = append(effects, Send{entry, &Load{UsedByOthers: x.reportUsedByOthers(o)}})
		}
	}
	return effects
}

// sendLargeChanges tells the gateways, other than the one given, when much less room is left
// for them than they believe.
func (x *Executor) sendLargeChanges(except identifier.Entry) []Effect {
	if x.worker == nil {
		return nil
	}
	limit := x.worker.report.Capacity.CPU / largeChangeDivisor
	var effects []Effect
	for _, entry := range slices.Sorted(maps.Keys(x.gateways)) {
		o := x.gateways[entry]
		if entry != except && o.linked && x.usedByOthers(o).CPU-o.usage.lastReported.CPU > limit {
			effects = append(effects, Send{entry, &Load{UsedByOthers: x.reportUsedByOthers(o)}})
		}
	}
	return effects
}
