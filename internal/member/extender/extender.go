// Package extender keeps owners going while the table service gives them no answer.
// An owner that cannot confirm its lease there asks every other entry of the last
// assignment it has read not to claim its partitions for a while. If all of them
// promise, nobody can take over in that time: whoever could is bound.
//
// The promises are unanimous and are stored nowhere. One entry that is dead or does
// not know the asker's view is enough to end the lease.
package extender

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Extender is what one entry has promised and was promised. It is not safe for use
// by several goroutines at once. Length is set before use.
type Extender struct {
	// PromiseDuration is how long a promise lasts.
	PromiseDuration time.Duration

	sequence uint64
	asked    map[identifier.Entry]question
	got      map[identifier.Entry]time.Time
	given    map[identifier.Entry]time.Time
	// unsettled is the version on which a write was sent whose outcome is unknown.
	unsettled uint64
	open      bool
}

type question struct {
	sequence uint64
	sent     time.Time
}

// NewRequest returns the question to send to another entry now.
func (p *Extender) NewRequest(now time.Time, to identifier.Entry, incarnation identifier.Incarnation, version uint64) *Request {
	if p.asked == nil {
		p.asked = make(map[identifier.Entry]question)
	}
	p.sequence++
	p.asked[to] = question{p.sequence, now}
	return &Request{Sequence: p.sequence, Incarnation: incarnation, Version: version}
}

// HandleRequest decides on another entry's question, given the version of this entry's
// newest reading. A write that may still take effect could break the promise, so
// none is given while there is one.
func (p *Extender) HandleRequest(now time.Time, from identifier.Entry, m *Request, version uint64) *Promise {
	refusal := &Promise{Sequence: m.Sequence, Version: version}
	if p.open || version > m.Version {
		return refusal
	}
	if p.given == nil {
		p.given = make(map[identifier.Entry]time.Time)
	}
	if until := now.Add(p.PromiseDuration); until.After(p.given[from]) {
		p.given[from] = until
	}
	return &Promise{Sequence: m.Sequence, Duration: p.PromiseDuration}
}

// HandlePromise takes an answer. A promise is counted from the sending of the question,
// so that a pause can only shorten it.
func (p *Extender) HandlePromise(from identifier.Entry, m *Promise) {
	q, ok := p.asked[from]
	if !ok || q.sequence != m.Sequence || m.Duration <= 0 {
		return
	}
	if p.got == nil {
		p.got = make(map[identifier.Entry]time.Time)
	}
	if until := q.sent.Add(m.Duration); until.After(p.got[from]) {
		p.got[from] = until
	}
}

// Lease returns until when all of the others have promised, and false when one has
// not. An entry without others is bound to nobody but a newcomer, who is bound to
// seal every agent first.
func (p *Extender) Lease(now time.Time, others []identifier.Entry) (time.Time, bool) {
	lease := now.Add(p.PromiseDuration)
	for _, other := range others {
		until, ok := p.got[other]
		if !ok || !now.Before(until) {
			return time.Time{}, false
		}
		if until.Before(lease) {
			lease = until
		}
	}
	return lease, true
}

// HasPromised reports whether this entry is bound not to claim another's partitions.
func (p *Extender) HasPromised(now time.Time, entry identifier.Entry) bool {
	return now.Before(p.given[entry])
}

// BeginWrite notes that a write conditional on a version is being sent.
func (p *Extender) BeginWrite(version uint64) {
	p.unsettled, p.open = version, true
}

// ObserveVersion notes a reading of the assignment. A conditional write is settled once the
// record has another version than the one it was conditional on.
func (p *Extender) ObserveVersion(version uint64) {
	if version > p.unsettled {
		p.open = false
	}
}
