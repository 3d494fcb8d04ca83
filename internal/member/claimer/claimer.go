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
	// Silence is how long another entry may be unheard before it counts as dead.
	Silence time.Duration
	// Settle is how long the entry waits after joining before it takes partitions
	// from entries that serve them, so that the agents have linked to it.
	Settle time.Duration
	// Spares reports whether the entry has promised not to claim the partitions of
	// another; nil spares none.
	Spares func(now time.Time, entry identifier.Entry) bool

	assignment Assignment
	version    uint64
	joined     bool
	joinedAt   time.Time
	// joinVersion is the version of the first reading that lists this incarnation.
	joinVersion uint64
	seen        map[identifier.Entry]uint64
	leaving     bool
	heard       map[identifier.Entry]time.Time
	witnessed   map[identifier.Entry]time.Time
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

	// Fresh means that no other process has ever owned the partition.
	Fresh bool
}

// Join sets the incarnation under which the entry will join, from the last known
// one of its name.
func (c *Claimer) Join(now time.Time, last identifier.Incarnation) {
	c.Member.Incarnation = identifier.NextIncarnation(now, last)
}

// Leave makes the entry give its partitions to others.
func (c *Claimer) Leave() {
	c.leaving = true
}

// Heard notes a sign of life from another entry.
func (c *Claimer) Heard(now time.Time, entry identifier.Entry) {
	if c.heard == nil {
		c.heard = make(map[identifier.Entry]time.Time)
	}
	c.heard[entry] = now
}

// Witnessed notes that an agent is linked to an entry.
func (c *Claimer) Witnessed(now time.Time, entry identifier.Entry) {
	if c.witnessed == nil {
		c.witnessed = make(map[identifier.Entry]time.Time)
	}
	c.witnessed[entry] = now
}

// Seen notes how far another entry has read the assignment.
func (c *Claimer) Seen(entry identifier.Entry, version uint64) {
	if c.seen == nil {
		c.seen = make(map[identifier.Entry]uint64)
	}
	c.seen[entry] = max(c.seen[entry], version)
}

// Acknowledged reports whether every other entry has read that this one joined. An
// owner that has not would not ask this entry for a promise, so its tenure may go on
// although this entry has promised nothing: a silent agent proves nothing then.
func (c *Claimer) Acknowledged() bool {
	for name := range c.assignment.Entries {
		if name != c.Self && c.seen[name] < c.joinVersion {
			return false
		}
	}
	return c.joined
}

// Others returns the other entries of the newest reading, in the order of their
// names.
func (c *Claimer) Others() []identifier.Entry {
	return slices.DeleteFunc(c.assignment.Names(), func(name identifier.Entry) bool { return name == c.Self })
}

func (c *Claimer) spares(now time.Time, entry identifier.Entry) bool {
	return c.Spares != nil && c.Spares(now, entry)
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
		if !o.Owns(c.Self, c.Member.Incarnation) {
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

// Plan returns the assignment that this entry wants, and whether it differs from
// the one that was read. The write must be conditional on Version.
func (c *Claimer) Plan(now time.Time) (Assignment, bool) {
	next := c.assignment.clone()
	for len(next.Partitions) < c.Partitions {
		next.Partitions = append(next.Partitions, Ownership{})
	}
	changed := c.planMembership(&next)
	if c.leaving {
		return next, changed
	}
	live := c.live(now, &next)
	changed = c.planOrphans(now, &next, live) || changed
	if c.joined && now.Sub(c.joinedAt) >= c.Settle && c.hearsAll(now) {
		changed = c.planBalance(now, &next, live) || changed
	}
	changed = c.planRemoval(now, &next) || changed
	return next, changed
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

// Accompanied reports whether another entry could take over the partitions.
func (c *Claimer) Accompanied(now time.Time) bool {
	for _, name := range c.live(now, &c.assignment) {
		if name != c.Self {
			return true
		}
	}
	return false
}

// Owned returns how many partitions this entry owns.
func (c *Claimer) Owned() int {
	return len(c.owned)
}

func (c *Claimer) planMembership(next *Assignment) bool {
	m := c.Member
	m.Leaving = c.leaving
	if next.Entries[c.Self] == m {
		return false
	}
	next.Entries[c.Self] = m
	return true
}

// live returns the entries that take part in the sharing, in the order of their
// names.
func (c *Claimer) live(now time.Time, a *Assignment) []identifier.Entry {
	var live []identifier.Entry
	for _, name := range a.Names() {
		if c.alive(now, name) && !a.Entries[name].Leaving {
			live = append(live, name)
		}
	}
	return live
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
	return c.isWitnessed(now, name) && (name < c.Self || !c.reachesAgents)
}

// Reaches notes whether every agent of the roster is linked to this entry.
func (c *Claimer) Reaches(all bool) {
	c.reachesAgents = all
}

// CutOff returns whether an entry is not heard although agents see it.
func (c *Claimer) CutOff(now time.Time) bool {
	for _, name := range c.Others() {
		if !c.hears(now, name) && c.isWitnessed(now, name) {
			return true
		}
	}
	return false
}

func (c *Claimer) hears(now time.Time, name identifier.Entry) bool {
	return now.Sub(c.heard[name]) < c.Silence
}

func (c *Claimer) isWitnessed(now time.Time, name identifier.Entry) bool {
	return now.Sub(c.witnessed[name]) < c.Silence/2
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

// planOrphans takes this entry's part of the partitions whose owner is gone. They
// are dealt out by their numbers, so that entries with the same view of who is
// alive do not want the same ones.
func (c *Claimer) planOrphans(now time.Time, next *Assignment, live []identifier.Entry) bool {
	changed := false
	for i, o := range next.Partitions {
		m, known := next.Entries[o.Owner]
		if known && m.Incarnation == o.Incarnation && slices.Contains(live, o.Owner) {
			continue
		}
		if live[i%len(live)] == c.Self && !c.spares(now, o.Owner) {
			next.Partitions[i] = c.claim(o)
			changed = true
		}
	}
	return changed
}

// planBalance takes partitions from entries that have more than their part, when
// this entry has less.
func (c *Claimer) planBalance(now time.Time, next *Assignment, live []identifier.Entry) bool {
	counts := make(map[identifier.Entry]int)
	for _, o := range next.Partitions {
		counts[o.Owner]++
	}
	least := len(next.Partitions) / len(live)
	changed := false
	for i, o := range next.Partitions {
		if counts[c.Self] >= least {
			break
		}
		if o.Owner == c.Self || counts[o.Owner] <= least || !slices.Contains(live, o.Owner) || c.spares(now, o.Owner) {
			continue
		}
		counts[o.Owner]--
		counts[c.Self]++
		next.Partitions[i] = c.claim(o)
		changed = true
	}
	return changed
}

// planRemoval removes the entries that are dead and own nothing any more. Only an
// entry that they could not have gone on without does so.
func (c *Claimer) planRemoval(now time.Time, next *Assignment) bool {
	if !c.Acknowledged() {
		return false
	}
	owns := make(map[identifier.Entry]bool)
	for _, o := range next.Partitions {
		owns[o.Owner] = true
	}
	changed := false
	for _, name := range next.Names() {
		if !owns[name] && !c.alive(now, name) && !c.isWitnessed(now, name) && !c.spares(now, name) {
			delete(next.Entries, name)
			changed = true
		}
	}
	return changed
}

func (c *Claimer) claim(before Ownership) Ownership {
	return Ownership{Owner: c.Self, Incarnation: c.Member.Incarnation, Epoch: before.Epoch + 1}
}
