// Package allocator allocates the slots of one agent to the entries. A free slot is
// granted to one entry at a time. The entry can then start a task without a request
// for a slot, and no other entry sends a task for the same slot.
//
// Entries with waiting tasks are served first, round robin. If there is none, the slot
// of a task that ended goes back to the entry that used it, so that the grant is sent
// in the same message as the end of the task. Other free slots are spread evenly. When
// an entry has waiting tasks and no slot, idle slots of another entry are recalled.
package allocator

import (
	"slices"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Allocator holds the allocation of an agent's slots. It is not safe for concurrent
// use. The zero value has no slots.
type Allocator struct {
	freeSlots   int
	draining    bool
	allocations []*allocation
	// nextTurn is the index in allocations at which the round robin continues.
	nextTurn int
}

// allocation holds the numbers of slots and tasks of one linked entry.
type allocation struct {
	entry identifier.Entry
	// granted is the number of idle slots that the entry holds.
	granted int
	// running is the number of tasks that the entry has started and that still run.
	running int
	// waiting is the last known number of tasks that wait at the entry.
	waiting int
	// recalled is the number of slots that were recalled and not yet returned.
	recalled int
}

// Adjustment is a number of slots to grant to an entry and a number to recall from it.
// The caller sends it as a Grant, a Recall or a part of another message.
type Adjustment struct {
	Entry  identifier.Entry
	Grant  int
	Recall int
}

// New returns an allocator with n free slots.
func New(n int) *Allocator {
	return &Allocator{freeSlots: n}
}

// Link adds an entry. It grants the free slots, and recalls idle slots from entries
// that hold more than a fair share.
func (a *Allocator) Link(entry identifier.Entry) []Adjustment {
	a.allocations = append(a.allocations, &allocation{entry: entry})
	if a.draining {
		return nil
	}
	adjustments := a.spread()
	fairShare := a.fairShare()
	for _, alloc := range a.allocations {
		if excess := alloc.granted - fairShare; excess > 0 && alloc.entry != entry {
			adjustments = append(adjustments, a.recall(alloc, excess)...)
		}
	}
	return adjustments
}

// Unlink removes an entry and frees the slots granted to it. Its running tasks keep
// their slots until they end.
func (a *Allocator) Unlink(entry identifier.Entry) []Adjustment {
	i := slices.IndexFunc(a.allocations, func(alloc *allocation) bool { return alloc.entry == entry })
	if i < 0 {
		return nil
	}
	a.freeSlots += a.allocations[i].granted
	a.allocations = slices.Delete(a.allocations, i, i+1)
	return a.spread()
}

// Use takes one slot granted to the entry for a start, and reports whether there was
// one. waiting is the number of tasks that still wait at the entry.
func (a *Allocator) Use(entry identifier.Entry, waiting int) bool {
	alloc := a.find(entry)
	if alloc == nil || alloc.granted == 0 {
		return false
	}
	alloc.waiting = waiting
	alloc.granted--
	alloc.running++
	return true
}

// Rebalance recalls slots from the entry with the most idle ones if the given entry
// has waiting tasks and no slot left. It recalls at most half of them, rounded up.
func (a *Allocator) Rebalance(entry identifier.Entry) []Adjustment {
	alloc := a.find(entry)
	if alloc == nil || a.draining || alloc.granted > 0 || alloc.waiting == 0 {
		return nil
	}
	idle := a.mostIdle(alloc)
	if idle == nil {
		return nil
	}
	return a.recall(idle, min((idle.granted+1)/2, alloc.waiting))
}

// End frees the slot of a task that the entry started, and grants it again.
func (a *Allocator) End(entry identifier.Entry) []Adjustment {
	if alloc := a.find(entry); alloc != nil && alloc.running > 0 {
		alloc.running--
	}
	a.freeSlots++
	return a.grantFreeSlots(a.find(entry))
}

// Want records the number of tasks that wait at an entry, and grants or recalls slots
// for them.
func (a *Allocator) Want(entry identifier.Entry, waiting int) []Adjustment {
	alloc := a.find(entry)
	if alloc == nil {
		return nil
	}
	alloc.waiting = waiting
	return append(a.spread(), a.Rebalance(entry)...)
}

// Return frees n slots that an entry gives back. An entry gives back slots only if it
// has no waiting tasks.
func (a *Allocator) Return(entry identifier.Entry, n int) []Adjustment {
	alloc := a.find(entry)
	if alloc == nil {
		return nil
	}
	alloc.recalled = 0
	n = min(max(n, 0), alloc.granted)
	if n > 0 {
		alloc.waiting = 0
	}
	alloc.granted -= n
	a.freeSlots += n
	return a.spread()
}

// Drain makes the allocator grant and recall no slots from now on. Entries may still use
// those granted before.
func (a *Allocator) Drain() {
	a.draining = true
}

// Linked returns the entries that are linked.
func (a *Allocator) Linked() []identifier.Entry {
	entries := make([]identifier.Entry, 0, len(a.allocations))
	for _, alloc := range a.allocations {
		entries = append(entries, alloc.entry)
	}
	return entries
}

// find returns the allocation of an entry, or nil if it is not linked.
func (a *Allocator) find(entry identifier.Entry) *allocation {
	for _, alloc := range a.allocations {
		if alloc.entry == entry {
			return alloc
		}
	}
	return nil
}

// recall recalls n slots from an entry, less those that it has yet to return after an
// earlier recall.
func (a *Allocator) recall(alloc *allocation, n int) []Adjustment {
	n -= alloc.recalled
	if n <= 0 {
		return nil
	}
	alloc.recalled += n
	return []Adjustment{{Entry: alloc.entry, Recall: n}}
}

// mostIdle returns the allocation with the most idle slots other than except, or nil if
// there is none.
func (a *Allocator) mostIdle(except *allocation) *allocation {
	var most *allocation
	for _, alloc := range a.allocations {
		if alloc == except || alloc.granted == 0 {
			continue
		}
		if most == nil || alloc.granted > most.granted {
			most = alloc
		}
	}
	return most
}

// fairShare returns the number of slots per entry if they are spread evenly, rounded up.
func (a *Allocator) fairShare() int {
	total := a.freeSlots
	for _, alloc := range a.allocations {
		total += alloc.granted + alloc.running
	}
	return (total + len(a.allocations) - 1) / max(len(a.allocations), 1)
}

// spread grants the free slots without preference for the last user of a slot.
func (a *Allocator) spread() []Adjustment {
	return a.grantFreeSlots(nil)
}

// grantFreeSlots grants all free slots. If no entry has waiting tasks they go to
// lastUser, which may be nil.
func (a *Allocator) grantFreeSlots(lastUser *allocation) []Adjustment {
	if a.draining || len(a.allocations) == 0 {
		return nil
	}
	var adjustments []Adjustment
	for a.freeSlots > 0 {
		alloc := a.chooseRecipient(lastUser)
		alloc.granted++
		a.freeSlots--
		i := slices.IndexFunc(adjustments, func(c Adjustment) bool { return c.Entry == alloc.entry })
		if i < 0 {
			adjustments = append(adjustments, Adjustment{Entry: alloc.entry})
			i = len(adjustments) - 1
		}
		adjustments[i].Grant++
	}
	return adjustments
}

// chooseRecipient returns the allocation that gets the next free slot: the next entry
// with waiting tasks in round-robin order; if there is none, lastUser; if that is nil,
// the entry with the fewest slots. Each slot is counted against one waiting task, until
// the entry reports a new number of them.
func (a *Allocator) chooseRecipient(lastUser *allocation) *allocation {
	for range a.allocations {
		alloc := a.allocations[a.nextTurn%len(a.allocations)]
		a.nextTurn = (a.nextTurn + 1) % len(a.allocations)
		if alloc.waiting > 0 {
			alloc.waiting--
			return alloc
		}
	}
	if lastUser != nil {
		return lastUser
	}
	fewest := a.allocations[0]
	for _, alloc := range a.allocations[1:] {
		if alloc.granted+alloc.running < fewest.granted+fewest.running {
			fewest = alloc
		}
	}
	return fewest
}
