package arbiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

const (
	// cancelRetention is how long a cancel is kept. A copy of a submission may arrive seconds after its
	// answer.
	cancelRetention = 15 * time.Second
	// maxCancels is the number of cancels that are kept. Beyond it the oldest are forgotten, so that
	// callers who cancel jobs that do not exist cost bounded memory.
	maxCancels = 4096
	// cancelCopies is the number of gateways that are told of each cancel, so that it outlives one.
	cancelCopies = 2
)

// cancels holds the jobs that were cancelled in the last cancelRetention.
type cancels struct {
	at map[specifier.JobID]time.Time
	// order holds the jobs, the one that was cancelled first in front.
	order []specifier.JobID
}

// add records a cancel that was made at a time. A job that was cancelled before keeps its first time.
func (c *cancels) add(now, at time.Time, id specifier.JobID) {
	c.expire(now)
	if _, known := c.at[id]; known || now.Sub(at) >= cancelRetention {
		return
	}
	if c.at == nil {
		c.at = make(map[specifier.JobID]time.Time)
	}
	if len(c.order) >= maxCancels {
		delete(c.at, c.order[0])
		c.order = c.order[1:]
	}
	c.at[id] = at
	i := len(c.order)
	for i > 0 && c.at[c.order[i-1]].After(at) {
		i--
	}
	c.order = slices.Insert(c.order, i, id)
}

// expire forgets the cancels that are older than cancelRetention.
func (c *cancels) expire(now time.Time) {
	for len(c.order) > 0 && now.Sub(c.at[c.order[0]]) >= cancelRetention {
		delete(c.at, c.order[0])
		c.order = c.order[1:]
	}
}

// NoteCancel records that a job was cancelled.
func (a *Arbiter) NoteCancel(now time.Time, id specifier.JobID) {
	a.cancels.add(now, now, id)
}

// Cancelled reports whether this gateway knows that a job was cancelled.
func (a *Arbiter) Cancelled(now time.Time, id specifier.JobID) bool {
	a.cancels.expire(now)
	_, known := a.cancels.at[id]
	return known
}

// CancelArbitersOf returns the gateways, perhaps with this one, that are told when a job is cancelled: the
// first ones by rank, and those before them that this one alone may have suspended.
func (a *Arbiter) CancelArbitersOf(now time.Time, id specifier.JobID) []identifier.Entry {
	names := []identifier.Entry{a.Self.Gateway}
	for name, p := range a.peers {
		if p.mayArbitrate(now) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(x, y identifier.Entry) int {
		return cmp.Or(cmp.Compare(rank(y, id), rank(x, id)), cmp.Compare(y, x))
	})
	return append(names[:min(len(names), cancelCopies)], a.SuspendedOf(now, id)...)
}

// HandleCancel records a cancel, and passes it on to the gateways that have claimed the job.
func (a *Arbiter) HandleCancel(now time.Time, m *Cancel) []Send {
	a.cancels.add(now, now.Add(-max(m.Age, 0)), m.Job)
	if m.Direct {
		return nil
	}
	var sends []Send
	for _, to := range a.HoldersOf(now, m.Job) {
		if to != m.Asker {
			sends = append(sends, Send{to, &Cancel{Job: m.Job, Number: m.Number, Asker: m.Asker, Direct: true}})
		}
	}
	return sends
}

// HoldersOf returns the other gateways that have claimed a job here and can be reached.
func (a *Arbiter) HoldersOf(now time.Time, id specifier.JobID) []identifier.Entry {
	r := a.records[id]
	if r == nil || r.expired(now) {
		return nil
	}
	claims := []claim{r.holder}
	if r.next != nil {
		claims = append(claims, *r.next)
	}
	var names []identifier.Entry
	for _, c := range claims {
		if c.by != a.Self && a.linked(c.by) {
			names = append(names, c.by.Gateway)
		}
	}
	return names
}

// CancelsFor returns the cancels that a gateway which is linked anew has to know of. It may have been
// started anew and be asked for claims.
func (a *Arbiter) CancelsFor(now time.Time, gateway identifier.Entry) []Send {
	a.cancels.expire(now)
	var sends []Send
	for _, id := range a.cancels.order {
		if slices.Contains(a.CancelArbitersOf(now, id), gateway) {
			sends = append(sends, Send{gateway, &Cancel{Job: id, Asker: a.Self.Gateway, Direct: true, Age: now.Sub(a.cancels.at[id])}})
		}
	}
	return sends
}
