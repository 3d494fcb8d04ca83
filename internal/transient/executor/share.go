package executor

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/load/sharer"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

const (
	// missedPause is how long a gateway gets no reservation after it has left one unused, unless it
	// sends something before. Longer pauses would starve a gateway that was short of processor
	// time for a moment, since its backlog is sent on changes only.
	missedPause = 100 * time.Millisecond
	// maxMissedDoublings is how often the pause doubles with each further unused reservation, so that
	// a gateway that stands still for seconds on an open link takes hardly any capacity.
	maxMissedDoublings = 4
)

// chooseWaiting returns the gateway that gets freed capacity.
func (x *Executor) chooseWaiting(now time.Time, from *gatewayState, capacity specifier.Resources) (identifier.Entry, *gatewayState) {
	if !x.Policy.SharedBacklog {
		return x.nextWaiting(from)
	}
	var claims []sharer.Claim
	for gateway, g := range x.gateways {
		if g.usage.missing() && now.Sub(g.usage.unusedSince) >= reservationDuration {
			// A worker at a peak frees capacity so often that each further reservation would extend the
			// unused ones, and all of it would stay reserved for a gateway that does not respond.
			continue
		}
		if b := &g.usage.backlog; g.linked && b.Waiting && !now.Before(g.usage.missedUntil) && x.hasRoom(g, b.Demand) {
			claims = append(claims, sharer.Claim{Gateway: gateway, Priority: b.Priority, Work: b.Work})
		}
	}
	gateway, found := x.sharer.Share(now, capacity.CPU, claims)
	if !found {
		return "", nil
	}
	return gateway, x.gateways[gateway]
}

// noteExpired records that the reservation of a gateway has expired. One that has not used any of it
// gets no other one for a while.
func (x *Executor) noteExpired(now time.Time, g *gatewayState) {
	if g.usage.unused {
		g.usage.unused, g.usage.missedUntil = false, now.Add(missedPause<<min(g.usage.misses, maxMissedDoublings))
		g.usage.misses++
		x.missedReservations++
	}
}

// MissedReservations returns the number of reservations of which gateways have used nothing in time.
func (x *Executor) MissedReservations() int {
	return x.missedReservations
}
