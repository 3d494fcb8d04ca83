package coordinator

import (
	"slices"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// linkOrder holds the latest link of each agent. A process that is short of processor time may register
// links in another order than that in which they were dialled, and what an agent has sent on an
// earlier link, such as the list of its runs, is out of date.
type linkOrder struct {
	latest map[identifier.Agent]*latestLink
}

// latestLink is the latest link of an agent.
type latestLink struct {
	incarnation identifier.Incarnation
	number      uint64
	// past holds earlier incarnations, the latest last. They cannot be told by their numbers, which
	// follow the clock: it may have been set back.
	past []identifier.Incarnation
}

// maxPastIncarnations limits the incarnations of an agent that are remembered.
const maxPastIncarnations = 8

// add records a link. It reports false if a later one was recorded before.
func (o *linkOrder) add(name identifier.Agent, incarnation identifier.Incarnation, number uint64) bool {
	if o.latest == nil {
		o.latest = make(map[identifier.Agent]*latestLink)
	}
	l := o.latest[name]
	switch {
	case l == nil:
		l = &latestLink{}
		o.latest[name] = l
	case l.incarnation == incarnation && number < l.number, slices.Contains(l.past, incarnation):
		return false
	case l.incarnation != incarnation:
		l.past = append(l.past, l.incarnation)
		l.past = l.past[max(0, len(l.past)-maxPastIncarnations):]
	}
	l.incarnation, l.number = incarnation, number
	return true
}
