package simulator

import (
	"fmt"
	"time"
)

// network says what the network does to the connections of callers. In the zero value, what is sent
// on them arrives after a millisecond, and callers submit again after resubmitDelay.
type network struct {
	// lateRequests and lateCloses are the shares of the connections whose request, or close, arrives
	// up to maxLateness late.
	lateRequests, lateCloses float64
	// cuts is the share of the connections on which neither an answer nor a close arrives.
	cuts float64
	// hasty is set if callers submit again at a random time up to resubmitDelay.
	hasty bool
}

// maxLateness is how late a request or a close arrives at most.
const maxLateness = time.Second

// late reports whether the network delays or drops anything.
func (n network) late() bool {
	return n.lateRequests > 0 || n.lateCloses > 0 || n.cuts > 0
}

// path is what the network does to one connection of a caller.
type path struct {
	requestDelay, closeDelay time.Duration
	cut                      bool
}

// String formats p for the log, and is empty for a path on which nothing is late.
func (p path) String() string {
	if p == (path{}) {
		return ""
	}
	return fmt.Sprintf(", late by %s, its close by %s, cut=%t", p.requestDelay, p.closeDelay, p.cut)
}

// drawPath draws what the network does to a new connection.
func (s *simulation) drawPath() path {
	if !s.network.late() {
		return path{}
	}
	return path{
		requestDelay: s.lateness(s.network.lateRequests),
		closeDelay:   s.lateness(s.network.lateCloses),
		cut:          s.random.Float64() < s.network.cuts,
	}
}

// lateness draws a delay for a share of the cases, and zero for the others.
func (s *simulation) lateness(share float64) time.Duration {
	if s.random.Float64() >= share {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(maxLateness)))
}

// resubmitAfter returns how long a caller waits before it submits a job again.
func (s *simulation) resubmitAfter() time.Duration {
	if !s.network.hasty {
		return resubmitDelay
	}
	return time.Duration(s.random.Int64N(int64(resubmitDelay)))
}

// sendToGateway calls arrived once what the caller sends arrives at the gateway's machine. What is
// sent on one connection keeps its order.
func (sub *submission) sendToGateway(d time.Duration, arrived func()) {
	s := sub.caller.sim
	sub.inTransit = append(sub.inTransit, arrived)
	at := s.now.Add(d)
	if at.Before(sub.nextArrival) {
		at = sub.nextArrival
	}
	sub.nextArrival = at
	s.after(at.Sub(s.now), sub.arrive)
}

// isolationCheckInterval is the time between two attempts to reach an isolated gateway.
const isolationCheckInterval = 20 * time.Millisecond

// arrive delivers the oldest of what is in transit. Where connections can be late, it waits while the
// gateway is isolated.
func (sub *submission) arrive() {
	if s := sub.caller.sim; sub.gateway.isolated && s.network.late() {
		s.after(isolationCheckInterval, sub.arrive)
		return
	}
	arrived := sub.inTransit[0]
	sub.inTransit = sub.inTransit[1:]
	arrived()
}
