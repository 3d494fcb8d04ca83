package claimer

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Heard notes a sign of life from another entry.
func (c *Claimer) Heard(now time.Time, entry identifier.Entry) {
	if c.heard == nil {
		c.heard = make(map[identifier.Entry]time.Time)
	}
	c.heard[entry] = now
}

// ReportedAlive notes that an agent is linked to an entry.
func (c *Claimer) ReportedAlive(now time.Time, entry identifier.Entry) {
	if c.reported == nil {
		c.reported = make(map[identifier.Entry]time.Time)
	}
	c.reported[entry] = now
}

// RecordSeenVersion notes how far another entry has read the assignment.
func (c *Claimer) RecordSeenVersion(entry identifier.Entry, version uint64) {
	if c.seen == nil {
		c.seen = make(map[identifier.Entry]uint64)
	}
	c.seen[entry] = max(c.seen[entry], version)
}

// Acknowledged reports whether every other entry has read that this one joined. An
// owner that has not would not ask this entry for a promise, so its lease may go on
// although this entry has promised nothing: a silent agent proves nothing then.
func (c *Claimer) Acknowledged() bool {
	for name := range c.assignment.Entries {
		if name != c.Self && c.seen[name] < c.joinVersion {
			return false
		}
	}
	return c.joined
}

// SetReachesAllAgents notes whether every agent of the roster is linked to this entry.
func (c *Claimer) SetReachesAllAgents(all bool) {
	c.reachesAgents = all
}

// HasCutOffEntry returns whether an entry is not heard although agents see it.
func (c *Claimer) HasCutOffEntry(now time.Time) bool {
	for _, name := range c.Others() {
		if !c.hears(now, name) && c.isReported(now, name) {
			return true
		}
	}
	return false
}

// alive reports whether an entry counts as alive. One that is not heard but lives by
// the word of agents is cut off from this entry alone. Of two entries that are cut
// off from each other, that with the lower name takes over and the other lets it, so
// that they do not take the partitions from each other in turn. It does so only if
// it reaches every agent, for else it would lose evidence that the other one has.
func (c *Claimer) alive(now time.Time, name identifier.Entry) bool {
	if name == c.Self || c.hears(now, name) {
		return true
	}
	return c.isReported(now, name) && (name < c.Self || !c.reachesAgents)
}

func (c *Claimer) hears(now time.Time, name identifier.Entry) bool {
	return now.Sub(c.heard[name]) < c.SilenceTimeout
}

func (c *Claimer) isReported(now time.Time, name identifier.Entry) bool {
	return now.Sub(c.reported[name]) < c.SilenceTimeout/2
}

// hearsAll reports whether no other entry is cut off from this one.
func (c *Claimer) hearsAll(now time.Time) bool {
	for _, name := range c.Others() {
		if !c.hears(now, name) {
			return false
		}
	}
	return true
}
