package claimer

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

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
	if c.joined && now.Sub(c.joinedAt) >= c.SettleDelay && c.hearsAll(now) {
		changed = c.planBalance(now, &next, live) || changed
	}
	changed = c.planRemoval(now, &next) || changed
	return next, changed
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
	for _, name := range a.EntryNames() {
		if c.alive(now, name) && !a.Entries[name].Leaving {
			live = append(live, name)
		}
	}
	return live
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
	for _, name := range next.EntryNames() {
		if !owns[name] && !c.alive(now, name) && !c.isReported(now, name) && !c.spares(now, name) {
			delete(next.Entries, name)
			changed = true
		}
	}
	return changed
}

func (c *Claimer) claim(before Ownership) Ownership {
	return Ownership{Owner: c.Self, Incarnation: c.Member.Incarnation, Epoch: before.Epoch + 1}
}
