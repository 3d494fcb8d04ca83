// Package extender extends the lease of an owner while the table service does not answer.
// An owner that cannot confirm its lease there asks every other entry of the last
// assignment it has read for a promise not to claim its partitions for a while. If all of
// them promise, no entry can take the partitions over in that time.
//
// The promises must be unanimous, and they are not stored. The lease ends if one entry is
// dead, has read a newer assignment than the owner, or is about to change the assignment.
package extender

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Extender holds the promises that one entry has given and received. It is not safe for
// concurrent use. PromiseDuration is set before use.
type Extender struct {
	// PromiseDuration is how long a promise lasts.
	PromiseDuration time.Duration

	sequence uint64
	// requests holds the newest request to each entry.
	requests map[identifier.Entry]sentRequest
	// received holds until when each entry has promised.
	received map[identifier.Entry]time.Time
	// given holds until when this entry has promised to each entry.
	given map[identifier.Entry]time.Time
	// writeVersion is the version on which the newest write is conditional, and
	// writePending is whether that write may still take effect.
	writeVersion uint64
	writePending bool
}

type sentRequest struct {
	sequence uint64
	sent     time.Time
}

// NewRequest returns a request to be sent to another entry now. Only the reply to the newest
// request counts.
func (e *Extender) NewRequest(now time.Time, to identifier.Entry, incarnation identifier.Incarnation, version uint64) *Request {
	if e.requests == nil {
		e.requests = make(map[identifier.Entry]sentRequest)
	}
	e.sequence++
	e.requests[to] = sentRequest{e.sequence, now}
	return &Request{Sequence: e.sequence, Incarnation: incarnation, Version: version}
}

// HandleRequest decides on another entry's request, given the version that this entry has
// read. It promises nothing to an entry that has read an older version, nor while a write of
// this entry is pending, since that write could break the promise.
func (e *Extender) HandleRequest(now time.Time, from identifier.Entry, m *Request, version uint64) *Promise {
	refusal := &Promise{Sequence: m.Sequence, Version: version}
	if e.writePending || version > m.Version {
		return refusal
	}
	if e.given == nil {
		e.given = make(map[identifier.Entry]time.Time)
	}
	if until := now.Add(e.PromiseDuration); until.After(e.given[from]) {
		e.given[from] = until
	}
	return &Promise{Sequence: m.Sequence, Duration: e.PromiseDuration}
}

// HandlePromise handles the reply to a request. The promise is counted from the sending of
// the request, so that a delay can only shorten it.
func (e *Extender) HandlePromise(from identifier.Entry, m *Promise) {
	r, ok := e.requests[from]
	if !ok || r.sequence != m.Sequence || m.Duration <= 0 {
		return
	}
	if e.received == nil {
		e.received = make(map[identifier.Entry]time.Time)
	}
	if until := r.sent.Add(m.Duration); until.After(e.received[from]) {
		e.received[from] = until
	}
}

// Lease returns the end of the lease by promises, which is at most PromiseDuration from now,
// or false if one of the others has not promised. Without others the lease is always
// extended: only an entry that joins later could claim the partitions, and it has to wait
// until every agent has sealed them.
func (e *Extender) Lease(now time.Time, others []identifier.Entry) (time.Time, bool) {
	lease := now.Add(e.PromiseDuration)
	for _, other := range others {
		until, ok := e.received[other]
		if !ok || !now.Before(until) {
			return time.Time{}, false
		}
		if until.Before(lease) {
			lease = until
		}
	}
	return lease, true
}

// HasPromised reports whether this entry is bound by a promise not to claim the partitions
// of another.
func (e *Extender) HasPromised(now time.Time, entry identifier.Entry) bool {
	return now.Before(e.given[entry])
}

// BeginWrite records that a write conditional on a version is about to be sent.
func (e *Extender) BeginWrite(version uint64) {
	e.writeVersion, e.writePending = version, true
}

// ObserveVersion records that a version of the assignment was read. A conditional write can
// no longer take effect once the record has a newer version than the write's condition.
func (e *Extender) ObserveVersion(version uint64) {
	if version > e.writeVersion {
		e.writePending = false
	}
}
