package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// share is the part of a worker's room that one gateway uses.
type share struct {
	// waiting is set while work waits at the gateway, the first of it with priority.
	waiting  bool
	priority int
	used     specifier.Resources
	// queued is the demand of its starts that wait for room.
	queued specifier.Resources
	// reserved is room that only this gateway may use, until reservedUntil.
	reserved      specifier.Resources
	reservedUntil time.Time
	// told is what the gateway was last told of the use by others.
	told specifier.Resources
}

const (
	// reservationLength covers the way to a gateway in another zone and back, and the
	// time in which a loaded one decides.
	reservationLength = 20 * time.Millisecond
	// largeChange is the part of a worker's processors, as a divisor, whose change of
	// use every gateway is told of at once. Smaller changes wait for a heartbeat.
	largeChange = 4
)

// Want notes whether a gateway has work that waits for room.
func (x *Executor) Want(entry identifier.Entry, m *Backlog) []Effect {
	o := x.owners[entry]
	if o == nil {
		return nil
	}
	began := m.Waiting && !o.share.waiting
	o.share.waiting, o.share.priority = m.Waiting, m.Priority
	if !began || !o.linked || x.others(o) == o.share.told {
		return nil
	}
	return []Effect{Send{entry, &Load{UsedByOthers: x.tellOthers(o)}}}
}

// others returns what a gateway cannot use because of the others.
func (x *Executor) others(o *owner) specifier.Resources {
	return x.used.Sub(o.share.used).Add(x.queued.Sub(o.share.queued)).Add(x.reservedFor(o))
}

// tellOthers returns what a gateway cannot use because of the others, and notes that it
// was told.
func (x *Executor) tellOthers(o *owner) specifier.Resources {
	o.share.told = x.others(o)
	return o.share.told
}

// reservedFor returns the room that is reserved for other gateways than o.
func (x *Executor) reservedFor(o *owner) specifier.Resources {
	var sum specifier.Resources
	for _, other := range x.owners {
		if other != o {
			sum = sum.Add(other.share.reserved)
		}
	}
	return sum
}

// take lets a gateway use room, from its reservation first.
func (x *Executor) take(o *owner, demand specifier.Resources) {
	x.used = x.used.Add(demand)
	o.share.used = o.share.used.Add(demand)
	o.share.reserved = o.share.reserved.Sub(demand).ClampToZero()
}

// release frees room that a gateway used, which is nil when it has gone. Starts that wait
// here go first. Of the gateways with waiting work, the most urgent one and then the one that uses least gets the room
// to itself for a moment: told to all, it would be asked for by all, and all but one
// would have asked in vain.
func (x *Executor) release(now time.Time, o *owner, demand specifier.Resources) []Effect {
	x.used = x.used.Sub(demand)
	if o != nil {
		o.share.used = o.share.used.Sub(demand)
	}
	if effects := x.advance(now); len(effects) > 0 {
		return effects
	}
	entry, winner := x.nextForRoom(o)
	if winner == nil || winner == o {
		// The gateway learns of its room by the end of its run.
		return nil
	}
	winner.share.reserved = winner.share.reserved.Add(demand)
	winner.share.reservedUntil = now.Add(reservationLength)
	return []Effect{Send{entry, &Load{UsedByOthers: x.tellOthers(winner)}}}
}

// nextForRoom returns the gateway that is to have freed room, and prefers o among equals.
func (x *Executor) nextForRoom(o *owner) (identifier.Entry, *owner) {
	var best identifier.Entry
	var winner *owner
	for _, entry := range slices.Sorted(maps.Keys(x.owners)) {
		other := x.owners[entry]
		if !other.linked || !other.share.waiting {
			continue
		}
		if winner == nil || other.share.before(&winner.share) || (other == o && !winner.share.before(&other.share)) {
			best, winner = entry, other
		}
	}
	return best, winner
}

// before reports whether s is to have room before t.
func (s *share) before(t *share) bool {
	if s.priority != t.priority {
		return s.priority < t.priority
	}
	return s.used.CPU+s.reserved.CPU < t.used.CPU+t.reserved.CPU
}

// expireReservations frees the room that was reserved and not used, and tells everyone
// who waits.
func (x *Executor) expireReservations(now time.Time) []Effect {
	expired := false
	for _, o := range x.owners {
		if o.share.reserved != (specifier.Resources{}) && !now.Before(o.share.reservedUntil) {
			o.share.reserved = specifier.Resources{}
			expired = true
		}
	}
	if !expired {
		return nil
	}
	var effects []Effect
	for _, entry := range slices.Sorted(maps.Keys(x.owners)) {
		if o := x.owners[entry]; o.linked && o.share.waiting && x.others(o) != o.share.told {
			effects = append(effects, Send{entry, &Load{UsedByOthers: x.tellOthers(o)}})
		}
	}
	return effects
}

// tellLarge tells the gateways, other than the one given, when much less room is left
// for them than they believe.
func (x *Executor) tellLarge(except identifier.Entry) []Effect {
	if x.worker == nil {
		return nil
	}
	limit := x.worker.report.Capacity.CPU / largeChange
	var effects []Effect
	for _, entry := range slices.Sorted(maps.Keys(x.owners)) {
		o := x.owners[entry]
		if entry != except && o.linked && x.others(o).CPU-o.share.told.CPU > limit {
			effects = append(effects, Send{entry, &Load{UsedByOthers: x.tellOthers(o)}})
		}
	}
	return effects
}
