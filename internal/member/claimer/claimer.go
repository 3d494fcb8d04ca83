// Package claimer decides which partitions an entry claims. Entries agree only
// through one record of the table service: whoever changes it does so on the
// version it has read, so of two racing claims one fails and looks again.
package claimer

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
)

// Claimer is what one entry knows of the assignment. It is not safe for use by
// several goroutines at once. The exported fields are set before use.
type Claimer struct {
	Self       identifier.Entry
	Member     Member
	Partitions int
	// SilenceTimeout is how long another entry may be unheard before it counts as dead.
	SilenceTimeout time.Duration
	// SettleDelay is how long the entry waits after joining before it takes partitions
	// from entries that serve them, so that the agents have linked to it.
	SettleDelay time.Duration
	// HasPromised reports whether the entry has promised not to claim the partitions of
	// another; nil spares none.
	HasPromised func(now time.Time, entry identifier.Entry) bool

	assignment Assignment
	version    uint64
	joined     bool
	joinedAt   time.Time
	// joinVersion is the version of the first reading that lists this incarnation.
	joinVersion uint64
	seen        map[identifier.Entry]uint64
	leaving     bool
	heard       map[identifier.Entry]time.Time
	reported    map[identifier.Entry]time.Time
	// reachesAgents is whether every agent of the roster is linked here.
	reachesAgents bool
	owned         map[identifier.Partition]identifier.Epoch
}

// Change is what a reading of the assignment means for this entry.
type Change struct {
	// Claimed partitions are owned now and were not before, or not under this
	// epoch.
	Claimed []Claimed
	// Lost partitions have another owner now.
	Lost []identifier.Partition
}

// Claimed is a partition that is owned now.
type Claimed struct {
	starter.Claim

	// FirstOwner means that no other process has ever owned the partition.
	FirstOwner bool
}

// ChooseIncarnation sets the incarnation under which the entry will join, from the last known
// one of its name.
func (c *Claimer) ChooseIncarnation(now time.Time, last identifier.Incarnation) {
	c.Member.Incarnation = identifier.NextIncarnation(now, last)
}

// Leave makes the entry give its partitions to others.
func (c *Claimer) Leave() {
	c.leaving = true
}

// Others returns the other entries of the newest reading, in the order of their
// names.
func (c *Claimer) Others() []identifier.Entry {
	return slices.DeleteFunc(c.assignment.EntryNames(), func(name identifier.Entry) bool { return name == c.Self })
}

func (c *Claimer) spares(now time.Time, entry identifier.Entry) bool {
	return c.HasPromised != nil && c.HasPromised(now, entry)
}

// Observe takes a reading of the assignment. Older readings than the newest one
// are ignored, and not reported as fresh.
func (c *Claimer) Observe(now time.Time, a Assignment, version uint64) (change Change, fresh bool) {
	if version < c.version {
		return Change{}, false
	}
	for name := range a.Entries {
		if _, known := c.heard[name]; !known {
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
	return c.compare(), true
}

// compare updates what is owned from the assignment.
func (c *Claimer) compare() Change {
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

// Version is the version of the assignment that was read, zero for none.
func (c *Claimer) Version() uint64 {
	return c.version
}

// Assignment returns the newest reading.
func (c *Claimer) Assignment() Assignment {
	return c.assignment
}

// Owner returns the owner of a partition in the newest reading, empty for none.
func (c *Claimer) Owner(p identifier.Partition) identifier.Entry {
	if int(p) >= len(c.assignment.Partitions) {
		return ""
	}
	return c.assignment.Partitions[p].Owner
}

// Owners returns the entries that own partitions in the newest reading, in the order
// of their names.
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

// HasSuccessor reports whether another entry could take over the partitions.
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
