package claimer

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Heard records that this entry has heard from another one directly.
func (c *Claimer) Heard(now time.Time, entry identifier.Entry) {
	if c.heard == nil {
		c.heard = make(map[identifier.Entry]time.Time)
	}
	c.heard[entry] = now
}

// ReportedAlive records that an agent has reported a link to an entry.
func (c *Claimer) ReportedAlive(now time.Time, entry identifier.Entry) {
	if c.reported == nil {
		c.reported = make(map[identifier.Entry]time.Time)
	}
	c.reported[entry] = now
}

// RecordSeenVersion records the newest version of the assignment that another entry has
// read.
func (c *Claimer) RecordSeenVersion(entry identifier.Entry, version uint64) {
	if c.seen == nil {
		c.seen = make(map[identifier.Entry]uint64)
	}
	c.seen[entry] = max(c.seen[entry], version)
}

// Acknowledged reports whether every other entry has read that this one joined. An
// owner that has not read so would extend its lease without a promise from this entry.
// This entry must not conclude then that the lease has ended, however long an agent is
// silent.
func (c *Claimer) Acknowledged() bool {
	for name := range c.assignment.Entries {
		if name != c.Self && c.seen[name] < c.joinVersion {
			return false
		}
	}
	return c.joined
}

// SetReachesAllAgents sets whether every agent on the roster is linked to this entry.
func (c *Claimer) SetReachesAllAgents(all bool) {
	c.reachesAgents = all
}

// HasCutOffEntry reports whether there is an entry that this one does not hear although
// agents report it alive.
func (c *Claimer) HasCutOffEntry(now time.Time) bool {
	for _, name := range c.Others() {
		if !c.hears(now, name) && c.isReported(now, name) {
			return true
		}
	}
	return false
}

// alive reports whether an entry counts as alive. An entry that is silent but reported
// alive by agents is cut off from this one by a partial network partition. Of two such
// entries, only the one with the lower name treats the other as dead, so that they do not
// claim the partitions from each other in turn. It does so only while every agent is
// linked to it: otherwise it would lack records of started tasks that the other one has.
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

// hearsAll reports whether all other entries have been heard within SilenceTimeout.
func (c *Claimer) hearsAll(now time.Time) bool {
	for _, name := range c.Others() {
		if !c.hears(now, name) {
			return false
		}
	}
	return true
}
