// Package claimer decides which partitions an entry claims. Entries coordinate only
// through the assignment, a single record of the table service. Each write is
// conditional on the version that was read, so of two concurrent claims one fails
// and has to be planned again on a new reading.
package claimer

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
)

// Claimer holds one entry's view of the assignment and of which other entries are
// alive. It is not safe for concurrent use. The exported fields are set before use.
type Claimer struct {
	Self       identifier.Entry
	Member     Member
	Partitions int
	// SilenceTimeout is how long another entry may be silent before it counts as dead.
	SilenceTimeout time.Duration
	// SettleDelay is how long the entry waits after joining before it claims partitions
	// from live owners. It gives the agents time to link to this entry.
	SettleDelay time.Duration
	// HasPromised reports whether this entry has promised not to claim the partitions
	// of another. Nil means that it has promised nothing.
	HasPromised func(now time.Time, entry identifier.Entry) bool

	assignment Assignment
	version    uint64
	joined     bool
	joinedAt   time.Time
	// joinVersion is the version of the first reading that lists this incarnation.
	joinVersion uint64
	// seen holds the newest assignment version that each entry has reported.
	seen    map[identifier.Entry]uint64
	leaving bool
	// heard holds when each entry was last heard from directly.
	heard map[identifier.Entry]time.Time
	// reported holds when an agent last reported a link to each entry.
	reported map[identifier.Entry]time.Time
	// reachesAgents is whether every agent on the roster is linked to this entry.
	reachesAgents bool
	owned         map[identifier.Partition]identifier.Epoch
}

// Change lists the partitions that a reading of the assignment gives to this entry or
// takes from it.
type Change struct {
	// Claimed lists the partitions that this entry owns now and did not own before,
	// or not in this epoch.
	Claimed []Claimed
	// Lost lists the partitions that this entry no longer owns in the earlier epoch.
	Lost []identifier.Partition
}

// Claimed is a partition that this entry has come to own.
type Claimed struct {
	starter.Claim

	// FirstOwner means that no process owned the partition before.
	FirstOwner bool
}

// ChooseIncarnation sets the incarnation under which the entry will join, given the last
// known incarnation under its name.
func (c *Claimer) ChooseIncarnation(now time.Time, last identifier.Incarnation) {
	c.Member.Incarnation = identifier.NextIncarnation(now, last)
}

// Leave marks the entry as leaving: it claims nothing more, and the other entries
// claim its partitions.
func (c *Claimer) Leave() {
	c.leaving = true
}

// Others returns the names of the other entries in the newest reading, sorted.
func (c *Claimer) Others() []identifier.Entry {
	return slices.DeleteFunc(c.assignment.EntryNames(), func(name identifier.Entry) bool { return name == c.Self })
}

func (c *Claimer) hasPromised(now time.Time, entry identifier.Entry) bool {
	return c.HasPromised != nil && c.HasPromised(now, entry)
}

// Observe takes a reading of the assignment and returns what it changes. A reading
// that is older than the newest one is ignored, and fresh is false.
func (c *Claimer) Observe(now time.Time, a Assignment, version uint64) (change Change, fresh bool) {
	if version < c.version {
		return Change{}, false
	}
	for name := range a.Entries {
		if _, known := c.heard[name]; !known {
			// The silence of a newly listed entry is measured from now.
			c.Heard(now, name)
		}
	}
	c.assignment, c.version = a, version
	joined := a.Entries[c.Self].Incarnation == c.Member.Incarnation
	if joined && !c.joined {
		c.joinedAt = now
		c.joinVersion = version
	}
	c.joined = joined
	return c.updateOwned(), true
}

// updateOwned sets the owned partitions from the assignment, and returns the
// difference.
func (c *Claimer) updateOwned() Change {
	var change Change
	owned := make(map[identifier.Partition]identifier.Epoch)
	for i, o := range c.assignment.Partitions {
		p := identifier.Partition(i)
		if !o.OwnedBy(c.Self, c.Member.Incarnation) {
			continue
		}
		owned[p] = o.Epoch
		if c.owned[p] != o.Epoch {
			claim := starter.Claim{Partition: p, Epoch: o.Epoch}
			change.Claimed = append(change.Claimed, Claimed{claim, o.Epoch == 1})
		}
	}
	for p, epoch := range c.owned {
		if owned[p] != epoch {
			change.Lost = append(change.Lost, p)
		}
	}
	slices.Sort(change.Lost)
	c.owned = owned
	return change
}

// Version returns the version of the newest reading, or zero before the first.
func (c *Claimer) Version() uint64 {
	return c.version
}

// Assignment returns the newest reading of the assignment.
func (c *Claimer) Assignment() Assignment {
	return c.assignment
}

// Owner returns the owner of a partition in the newest reading, or "" for none.
func (c *Claimer) Owner(p identifier.Partition) identifier.Entry {
	if int(p) >= len(c.assignment.Partitions) {
		return ""
	}
	return c.assignment.Partitions[p].Owner
}

// Owners returns the names of the entries that own partitions in the newest reading,
// sorted. The list contains "" when a partition has no owner.
func (c *Claimer) Owners() []identifier.Entry {
	var owners []identifier.Entry
	for _, o := range c.assignment.Partitions {
		if !slices.Contains(owners, o.Owner) {
			owners = append(owners, o.Owner)
		}
	}
	slices.Sort(owners)
	return owners
}

// Joined reports whether the newest reading lists this incarnation of the entry.
func (c *Claimer) Joined() bool {
	return c.joined
}

// HasSuccessor reports whether another live entry could take over the partitions.
func (c *Claimer) HasSuccessor(now time.Time) bool {
	for _, name := range c.live(now, &c.assignment) {
		if name != c.Self {
			return true
		}
	}
	return false
}

// OwnedCount returns how many partitions this entry owns.
func (c *Claimer) OwnedCount() int {
	return len(c.owned)
}
