package claimer

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Plan returns the assignment that this entry wants, and whether it differs from the
// newest reading. It must be written on the condition that the record still has
// Version.
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
	if c.joined && now.Sub(c.joinedAt) >= c.SettleDelay && c.hearsAll(now) {
		changed = c.planBalance(now, &next, live) || changed
	}
	changed = c.planRemoval(now, &next) || changed
	return next, changed
}

// planMembership adds this entry to the assignment or updates its description.
func (c *Claimer) planMembership(next *Assignment) bool {
	m := c.Member
	m.Leaving = c.leaving
	if next.Entries[c.Self] == m {
		return false
	}
	next.Entries[c.Self] = m
	return true
}

// live returns the names of the entries among which the partitions are divided,
// sorted: those that are alive and not leaving.
func (c *Claimer) live(now time.Time, a *Assignment) []identifier.Entry {
	var live []identifier.Entry
	for _, name := range a.EntryNames() {
		if c.alive(now, name) && !a.Entries[name].Leaving {
			live = append(live, name)
		}
	}
	return live
}

// planOrphans claims this entry's share of the partitions whose owner is dead, leaving
// or replaced. The partition number selects the claimant, so that entries that agree on
// which entries are live do not claim the same partitions.
func (c *Claimer) planOrphans(now time.Time, next *Assignment, live []identifier.Entry) bool {
	changed := false
	for i, o := range next.Partitions {
		m, known := next.Entries[o.Owner]
		if known && m.Incarnation == o.Incarnation && slices.Contains(live, o.Owner) {
			continue
		}
		if live[i%len(live)] == c.Self && !c.hasPromised(now, o.Owner) {
			next.Partitions[i] = c.claim(o)
			changed = true
		}
	}
	return changed
}

// planBalance claims partitions from live entries that own more than an equal share
// while this entry owns less.
func (c *Claimer) planBalance(now time.Time, next *Assignment, live []identifier.Entry) bool {
	counts := make(map[identifier.Entry]int)
	for _, o := range next.Partitions {
		counts[o.Owner]++
	}
	share := len(next.Partitions) / len(live)
	changed := false
	for i, o := range next.Partitions {
		if counts[c.Self] >= share {
			break
		}
		if o.Owner == c.Self || counts[o.Owner] <= share || !slices.Contains(live, o.Owner) || c.hasPromised(now, o.Owner) {
			continue
		}
		counts[o.Owner]--
		counts[c.Self]++
		next.Partitions[i] = c.claim(o)
		changed = true
	}
	return changed
}

// planRemoval removes entries that are dead and own no partition, except those that
// agents report alive or to which this entry is bound by a promise. Only an entry whose
// joining has been read by all others does so: a removed entry cannot have extended its
// lease without a promise from it.
func (c *Claimer) planRemoval(now time.Time, next *Assignment) bool {
	if !c.Acknowledged() {
		return false
	}
	owns := make(map[identifier.Entry]bool)
	for _, o := range next.Partitions {
		owns[o.Owner] = true
	}
	changed := false
	for _, name := range next.EntryNames() {
		if !owns[name] && !c.alive(now, name) && !c.isReported(now, name) && !c.hasPromised(now, name) {
			delete(next.Entries, name)
			changed = true
		}
	}
	return changed
}

// claim returns the ownership of a partition by this entry, in the next epoch.
func (c *Claimer) claim(before Ownership) Ownership {
	return Ownership{Owner: c.Self, Incarnation: c.Member.Incarnation, Epoch: before.Epoch + 1}
}
