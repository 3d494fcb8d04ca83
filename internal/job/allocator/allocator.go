// Package allocator shares the slots of one agent among the entries. A free slot
// is offered to one entry at a time, so that no two entries send work to it and
// a start needs no question first.
//
// Entries with waiting work come first, in turn. Without any, a slot stays with the
// entry that used it last, for its next offer travels along with the end of a task;
// other free slots are spread evenly and stand ready. When an entry wants slots that
// stand idle at another, the idle ones are recalled.
package allocator

import (
	"slices"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Allocator is the state of an agent's slots. It is not safe for use by several
// goroutines at once. The zero value has no slots.
type Allocator struct {
	free     int
	draining bool
	shares   []*share
	next     int
}

// share is what one entry holds of the slots.
type share struct {
	entry    identifier.Entry
	offered  int
	running  int
	waiting  int
	recalled int
}

// Adjustment is a message that the offerer wants sent to an entry: slots granted, or
// slots recalled.
type Adjustment struct {
	Entry  identifier.Entry
	Grant  int
	Recall int
}

// New returns an offerer of n free slots.
func New(n int) *Allocator {
	return &Allocator{free: n}
}

// Link adds an entry and offers it its part of the slots.
func (o *Allocator) Link(entry identifier.Entry) []Adjustment {
	o.shares = append(o.shares, &share{entry: entry})
	if o.draining {
		return nil
	}
	changes := o.spread()
	part := o.part()
	for _, sh := range o.shares {
		if excess := sh.offered - part; excess > 0 && sh.entry != entry {
			changes = append(changes, o.recall(sh, excess)...)
		}
	}
	return changes
}

// Unlink takes back what a lost entry was offered. Its running tasks keep their
// slots until they end.
func (o *Allocator) Unlink(entry identifier.Entry) []Adjustment {
	i := slices.IndexFunc(o.shares, func(sh *share) bool { return sh.entry == entry })
	if i < 0 {
		return nil
	}
	o.free += o.shares[i].offered
	o.shares = slices.Delete(o.shares, i, i+1)
	return o.spread()
}

// Use takes one offered slot for a start, and reports whether there was one.
func (o *Allocator) Use(entry identifier.Entry, waiting int) bool {
	sh := o.find(entry)
	if sh == nil || sh.offered == 0 {
		return false
	}
	sh.waiting = waiting
	sh.offered--
	sh.running++
	return true
}

// Rebalance recalls idle slots from another entry when this one has work waiting
// and holds none.
func (o *Allocator) Rebalance(entry identifier.Entry) []Adjustment {
	sh := o.find(entry)
	if sh == nil || o.draining || sh.offered > 0 || sh.waiting == 0 {
		return nil
	}
	idle := o.mostIdle(sh)
	if idle == nil {
		return nil
	}
	return o.recall(idle, min((idle.offered+1)/2, sh.waiting))
}

// End frees the slot of a task that the entry started, and offers it anew.
func (o *Allocator) End(entry identifier.Entry) []Adjustment {
	if sh := o.find(entry); sh != nil && sh.running > 0 {
		sh.running--
	}
	o.free++
	return o.offer(o.find(entry))
}

// Want notes how much work waits at an entry, and finds slots for it.
func (o *Allocator) Want(entry identifier.Entry, waiting int) []Adjustment {
	sh := o.find(entry)
	if sh == nil {
		return nil
	}
	sh.waiting = waiting
	return append(o.spread(), o.Rebalance(entry)...)
}

// Return takes back slots that an entry had no use for.
func (o *Allocator) Return(entry identifier.Entry, n int) []Adjustment {
	sh := o.find(entry)
	if sh == nil {
		return nil
	}
	sh.recalled = 0
	n = min(max(n, 0), sh.offered)
	if n > 0 {
		sh.waiting = 0
	}
	sh.offered -= n
	o.free += n
	return o.spread()
}

// Drain recalls all offered slots and offers none from now on.
func (o *Allocator) Drain() {
	o.draining = true
}

// Linked returns the entries that are linked now.
func (o *Allocator) Linked() []identifier.Entry {
	entries := make([]identifier.Entry, 0, len(o.shares))
	for _, sh := range o.shares {
		entries = append(entries, sh.entry)
	}
	return entries
}

func (o *Allocator) find(entry identifier.Entry) *share {
	for _, sh := range o.shares {
		if sh.entry == entry {
			return sh
		}
	}
	return nil
}

func (o *Allocator) recall(sh *share, n int) []Adjustment {
	n -= sh.recalled
	if n <= 0 {
		return nil
	}
	sh.recalled += n
	return []Adjustment{{Entry: sh.entry, Recall: n}}
}

func (o *Allocator) mostIdle(other *share) *share {
	var most *share
	for _, sh := range o.shares {
		if sh == other || sh.offered == 0 {
			continue
		}
		if most == nil || sh.offered > most.offered {
			most = sh
		}
	}
	return most
}

// part is the number of slots that falls to each entry when all are equal.
func (o *Allocator) part() int {
	total := o.free
	for _, sh := range o.shares {
		total += sh.offered + sh.running
	}
	return (total + len(o.shares) - 1) / max(len(o.shares), 1)
}

// spread offers the free slots.
func (o *Allocator) spread() []Adjustment {
	return o.offer(nil)
}

// offer offers the free slots, to last when nobody has work waiting. Last may be nil.
func (o *Allocator) offer(last *share) []Adjustment {
	if o.draining || len(o.shares) == 0 {
		return nil
	}
	var changes []Adjustment
	for o.free > 0 {
		sh := o.choose(last)
		sh.offered++
		o.free--
		i := slices.IndexFunc(changes, func(c Adjustment) bool { return c.Entry == sh.entry })
		if i < 0 {
			changes = append(changes, Adjustment{Entry: sh.entry})
			i = len(changes) - 1
		}
		changes[i].Grant++
	}
	return changes
}

// choose returns the entry that gets the next free slot: one in turn with waiting
// work, or else the last one that used it, or else the one that holds the fewest. Each
// slot counts for one waiting task until the entry says how much waits now.
func (o *Allocator) choose(last *share) *share {
	for range o.shares {
		sh := o.shares[o.next%len(o.shares)]
		o.next = (o.next + 1) % len(o.shares)
		if sh.waiting > 0 {
			sh.waiting--
			return sh
		}
	}
	if last != nil {
		return last
	}
	fewest := o.shares[0]
	for _, sh := range o.shares[1:] {
		if sh.offered+sh.running < fewest.offered+fewest.running {
			fewest = sh
		}
	}
	return fewest
}
