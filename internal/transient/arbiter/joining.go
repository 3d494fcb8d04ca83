package arbiter

import "time"

// sameStart is the time within which gateways start after a loss of power that concerns all.
const sameStart = time.Second

// JustStarted reports whether this process has started so recently that it may not be linked to the others.
func (a *Arbiter) JustStarted(now time.Time) bool {
	return now.Sub(a.Since) < RelinkTimeout
}

// Joining reports whether this process has just started and is not linked to all other gateways, of which it
// knows a number. It may know of none yet, and not whom to ask. If all that are linked have started at about the
// same time, power was lost everywhere: nobody holds claims or cancels of before, and to wait for those that are
// still down would make the callers that return late.
func (a *Arbiter) Joining(now time.Time, others int) bool {
	if !a.JustStarted(now) {
		return false
	}
	linked, earlier := 0, false
	for _, p := range a.peers {
		if p.links > 0 {
			linked++
			earlier = earlier || p.incarnation.StartedBefore(a.Self.Incarnation, sameStart)
		}
	}
	return linked == 0 || linked < others && earlier
}
