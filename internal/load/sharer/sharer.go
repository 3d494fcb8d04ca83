// Package sharer decides which gateway gets the capacity that a worker frees while tasks wait at
// several. It does no I/O and reads no clock.
package sharer

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

const (
	// creditLifetime is how long the credit of a gateway without a claim is kept. A gateway with little
	// waiting work has none for moments, between the start of one task and the arrival of the next.
	creditLifetime = 300 * time.Millisecond
	// maxCredit limits what a gateway is owed, or owes, in multiples of the freed capacity, so that
	// it gets its share, and not what it has missed for seconds, when its claim changes.
	maxCredit = 8
)

// Claim is the claim of a gateway to freed capacity.
type Claim struct {
	Gateway identifier.Entry
	// Priority is that of its most urgent waiting tasks, and Work the CPU time that these need. Zero
	// means that the gateway does not tell.
	Priority int
	Work     time.Duration
}

// Sharer shares the capacity of one worker. The zero value is ready for use. A Sharer is not safe
// for concurrent use.
type Sharer struct {
	credits map[identifier.Entry]credit
}

// credit is the capacity that a gateway is owed.
type credit struct {
	cpu     float64
	claimed time.Time
}

// Share returns the gateway that gets freed capacity, given in millicores, or false if there is no claim. It
// addresses a peak at which callers reach gateways unevenly. Of the claims of the most
// urgent priority, each is credited with its share of the capacity, in proportion to the waiting
// work, and the one with the highest credit gets all of it.
func (s *Sharer) Share(now time.Time, freed int, claims []Claim) (identifier.Entry, bool) {
	claims = mostUrgent(claims)
	if len(claims) == 0 {
		return "", false
	}
	s.expire(now)
	parts := shares(claims)
	limit := maxCredit * float64(freed)
	best := 0
	for i, c := range claims {
		held := s.credits[c.Gateway]
		held.cpu = min(max(held.cpu+float64(freed)*parts[i], -limit), limit)
		held.claimed = now
		s.credits[c.Gateway] = held
		if held.cpu > s.credits[claims[best].Gateway].cpu {
			best = i
		}
	}
	chosen := claims[best].Gateway
	held := s.credits[chosen]
	held.cpu -= float64(freed)
	s.credits[chosen] = held
	return chosen, true
}

// expire drops the credits of gateways without a claim.
func (s *Sharer) expire(now time.Time) {
	if s.credits == nil {
		s.credits = make(map[identifier.Entry]credit)
	}
	for gateway, c := range s.credits {
		if now.Sub(c.claimed) >= creditLifetime {
			delete(s.credits, gateway)
		}
	}
}

// mostUrgent returns the claims of the most urgent priority, sorted by gateway.
func mostUrgent(claims []Claim) []Claim {
	var urgent []Claim
	for _, c := range claims {
		if len(urgent) > 0 && c.Priority < urgent[0].Priority {
			urgent = urgent[:0]
		}
		if len(urgent) == 0 || c.Priority == urgent[0].Priority {
			urgent = append(urgent, c)
		}
	}
	slices.SortFunc(urgent, func(a, b Claim) int { return cmp.Compare(a.Gateway, b.Gateway) })
	return urgent
}

// shares returns the shares of claims in freed capacity. A gateway that does not tell its work counts
// as equal to the one with the least.
func shares(claims []Claim) []float64 {
	least := time.Duration(0)
	for _, c := range claims {
		if c.Work > 0 && (least == 0 || c.Work < least) {
			least = c.Work
		}
	}
	parts := make([]float64, len(claims))
	sum := 0.0
	for i, c := range claims {
		parts[i] = float64(max(c.Work, least, 1))
		sum += parts[i]
	}
	for i := range parts {
		parts[i] /= sum
	}
	return parts
}
