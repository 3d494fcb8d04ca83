// Package canceller decides, at the gateway that is asked to cancel a job, which other gateways are
// asked and when the caller is answered. The caller may have submitted the job elsewhere, and a copy of
// the submission may arrive anywhere later. So the arbiters of the job are told first; they pass the
// cancel on to the gateway that has the job, and refuse later claims on it.
package canceller

import (
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/arbiter"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/coordinator"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// answerTimeout is how long the gateways that were asked have to answer. Between data centres an answer
// takes a few milliseconds; a caller that cancels a job waits for it twice at most.
const answerTimeout = 100 * time.Millisecond

// Canceller holds the cancels whose callers wait. The zero value, with Self set, is ready for use. A
// Canceller is not safe for concurrent use.
type Canceller struct {
	// Self is the gateway of this canceller.
	Self identifier.Entry

	open map[uint64]*cancel
	// last is the number of the last cancel.
	last uint64
}

// cancel is a cancel whose caller waits.
type cancel struct {
	job specifier.JobID
	// state is the most definite state that a gateway has answered with.
	state coordinator.State
	// asked holds the gateways that were asked, and whether each has answered. Some are answered for
	// before it is known that they were asked.
	asked map[identifier.Entry]bool
	// askedAll is set once all linked gateways were asked.
	askedAll bool
	since    time.Time
}

// Ended is a cancel whose caller is to be answered.
type Ended struct {
	Number uint64
	Job    specifier.JobID
	State  coordinator.State
	// Unanswered names the gateways that were asked and have not answered.
	Unanswered []identifier.Entry
}

// Begin asks the arbiters of a job to cancel it, and the gateways that hold it as this one knows if it is
// an arbiter itself. All linked gateways are asked if none of these knows it, and told otherwise. The job has the given state
// at this gateway, which has cancelled it for its part. Begin returns the number of the cancel, which may
// have ended at once.
func (c *Canceller) Begin(now time.Time, job specifier.JobID, state coordinator.State, arbiters, holders, linked []identifier.Entry) (uint64, []arbiter.Send, []Ended) {
	if c.open == nil {
		c.open = make(map[uint64]*cancel)
	}
	// A number is not used again after a restart, as an answer to the earlier incarnation may be late.
	c.last = max(c.last+1, uint64(now.UnixMicro()))
	m := &cancel{job: job, state: state, asked: make(map[identifier.Entry]bool), since: now}
	c.open[c.last] = m
	sends := append(c.ask(c.last, m, arbiters, false), c.ask(c.last, m, holders, true)...)
	more, ended := c.proceed(now, c.last, m, linked)
	sends = append(sends, more...)
	return c.last, append(sends, c.inform(m, linked)...), ended
}

// inform tells the linked gateways that were not asked, and does not wait for them. A copy of the
// submission is refused there also while an arbiter has just started anew and does not know of the cancel.
func (c *Canceller) inform(m *cancel, linked []identifier.Entry) []arbiter.Send {
	var sends []arbiter.Send
	for _, name := range linked {
		if _, asked := m.asked[name]; !asked && name != c.Self {
			sends = append(sends, arbiter.Send{To: name, Message: &arbiter.Cancel{Job: m.job, Asker: c.Self, Direct: true}})
		}
	}
	return sends
}

// ask sends a cancel to gateways that were not asked before.
func (c *Canceller) ask(number uint64, m *cancel, gateways []identifier.Entry, direct bool) []arbiter.Send {
	var sends []arbiter.Send
	for _, name := range gateways {
		if _, before := m.asked[name]; before || name == c.Self {
			continue
		}
		m.asked[name] = false
		sends = append(sends, arbiter.Send{To: name, Message: &arbiter.Cancel{Job: m.job, Number: number, Asker: c.Self, Direct: direct}})
	}
	return sends
}

// HandleOutcome records the answer of a gateway.
func (c *Canceller) HandleOutcome(now time.Time, from identifier.Entry, m *Outcome, linked []identifier.Entry) ([]arbiter.Send, []Ended) {
	open := c.open[m.Number]
	if open == nil || open.job != m.Job {
		return nil, nil
	}
	open.asked[from] = true
	open.state = moreDefinite(open.state, m.State)
	for _, name := range m.PassedOn {
		if _, known := open.asked[name]; !known && name != c.Self {
			open.asked[name] = false
		}
	}
	return c.proceed(now, m.Number, open, linked)
}

// moreDefinite returns the state that a caller is told if gateways have answered with two.
func moreDefinite(a, b coordinator.State) coordinator.State {
	for _, s := range []coordinator.State{coordinator.Cancelled, coordinator.Failed, coordinator.Completed} {
		if a == s || b == s {
			return s
		}
	}
	return a
}

// waiting returns the gateways that have not answered.
func (m *cancel) waiting() []identifier.Entry {
	var names []identifier.Entry
	for _, name := range slices.Sorted(maps.Keys(m.asked)) {
		if !m.asked[name] {
			names = append(names, name)
		}
	}
	return names
}

// proceed handles a cancel that no gateway is awaited for. If none knows the job, all that are linked are
// asked: an arbiter may have lost its memory with a restart. Otherwise the cancel ends.
func (c *Canceller) proceed(now time.Time, number uint64, m *cancel, linked []identifier.Entry) ([]arbiter.Send, []Ended) {
	if len(m.waiting()) > 0 {
		return nil, nil
	}
	if m.state == coordinator.Unknown && !m.askedAll {
		return c.askAll(now, number, m, linked)
	}
	delete(c.open, number)
	return nil, []Ended{{Number: number, Job: m.job, State: m.state}}
}

// askAll asks all linked gateways.
func (c *Canceller) askAll(now time.Time, number uint64, m *cancel, linked []identifier.Entry) ([]arbiter.Send, []Ended) {
	m.askedAll, m.since = true, now
	sends := c.ask(number, m, linked, true)
	_, ended := c.proceed(now, number, m, linked)
	return sends, ended
}

// Tick handles cancels that are not answered in time. If a gateway that was asked has not answered, it
// may be the one that knows who has the job, so all that are linked are asked.
func (c *Canceller) Tick(now time.Time, linked []identifier.Entry) ([]arbiter.Send, []Ended) {
	var sends []arbiter.Send
	var ended []Ended
	for _, number := range slices.Sorted(maps.Keys(c.open)) {
		m := c.open[number]
		switch {
		case now.Sub(m.since) < answerTimeout:
		case m.askedAll:
			delete(c.open, number)
			ended = append(ended, Ended{Number: number, Job: m.job, State: m.state, Unanswered: m.waiting()})
		default:
			more, over := c.askAll(now, number, m, linked)
			sends, ended = append(sends, more...), append(ended, over...)
		}
	}
	return sends, ended
}
