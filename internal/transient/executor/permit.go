package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// requestPermit returns a permit request, which must be sent at now.
func (x *Executor) requestPermit(now time.Time, g *gatewayState) *PermitRequest {
	x.sequence++
	g.requests = append(g.requests, permitRequest{x.sequence, now})
	if len(g.requests) > maxPendingRequests {
		g.requests = g.requests[1:]
	}
	return &PermitRequest{Sequence: x.sequence, UsedByOthers: x.reportUsedByOthers(g)}
}

// HandlePermit extends the permit of a gateway, to at most PermitDuration from now. A permit
// that refers to a request on an earlier link has no effect.
func (x *Executor) HandlePermit(now time.Time, gateway identifier.Entry, m *Permit) {
	g := x.gateways[gateway]
	if g == nil {
		return
	}
	for i, request := range g.requests {
		if request.sequence != m.Sequence {
			continue
		}
		// The permit cannot have been sent after now, whatever the clock of the gateway says.
		age := min(max(m.Age, 0), now.Sub(request.sent))
		if until := request.sent.Add(age + PermitDuration); until.After(g.permitExpiry) {
			g.permitExpiry = until
		}
		g.requests, g.lastPermit = g.requests[i:], m.Sequence
		return
	}
}

// renewPermits requests permits: every idleRequestInterval, and when there are runs, once a
// permit is RenewInterval old. A link on which such a request is not answered is closed.
func (x *Executor) renewPermits(now time.Time) []Effect {
	busy := make(map[*gatewayState]bool)
	for _, e := range x.runs {
		if g := x.gatewayOf(e); g != nil {
			busy[g] = true
		}
	}
	var effects []Effect
	for _, gateway := range slices.Sorted(maps.Keys(x.gateways)) {
		g := x.gateways[gateway]
		switch {
		case !g.linked:
		case busy[g] && g.unansweredSince(now) >= maxAnswerDelay:
			effects = append(effects, CloseLink{gateway})
		case g.requestDue(now, busy[g]):
			effects = append(effects, Send{gateway, x.requestPermit(now, g)})
		}
	}
	return effects
}

// requestDue reports whether the next permit request should be sent.
func (g *gatewayState) requestDue(now time.Time, busy bool) bool {
	sinceRequest := now.Sub(g.requests[len(g.requests)-1].sent)
	if !busy {
		return sinceRequest >= idleRequestInterval
	}
	permitAge := now.Sub(g.permitExpiry.Add(-PermitDuration))
	return sinceRequest >= RenewInterval && permitAge >= RenewInterval
}

// unansweredSince returns how long ago the oldest request was sent to which the gateway has
// not answered, or zero if there is none.
func (g *gatewayState) unansweredSince(now time.Time) time.Duration {
	for _, request := range g.requests {
		if request.sequence > g.lastPermit {
			return now.Sub(request.sent)
		}
	}
	return 0
}

// ReleaseLink asks a gateway to close its link when no runs are left, because the agent
// needs it no longer.
func (x *Executor) ReleaseLink(gateway identifier.Entry) []Effect {
	g := x.gateways[gateway]
	if g == nil || !g.linked || g.released {
		return nil
	}
	g.released = true
	return []Effect{Send{gateway, &Release{}}}
}
