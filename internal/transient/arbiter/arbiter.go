// Package arbiter decides which gateway may start the tasks of a job. Callers without an answer
// submit a job again, to any gateway, and the first one may learn late that its caller has left.
// Before its first start, each gateway claims the job at the gateway that the hash of the job's
// identity names. That one, the arbiter of the job, grants the claim once the gateway that held
// the job before has no runs of it.
//
// Claims are kept in memory only. Where one is lost with its arbiter, or the arbiter does not
// answer in time, the bounds on the time for which a run can outlive its caller remain.
package arbiter

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// Process is one incarnation of a gateway.
type Process struct {
	Gateway     identifier.Entry
	Incarnation identifier.Incarnation
}

// Arbiter holds the claims on the jobs of which its gateway is the arbiter. The zero value, with
// Self set, is ready for use. An Arbiter is not safe for concurrent use.
type Arbiter struct {
	// Self is the gateway of this arbiter.
	Self Process
	// Since is when its process started.
	Since time.Time

	peers map[identifier.Entry]*peer
	// lost holds when the last link to a process ended, for RunsOverAfter.
	lost    map[Process]time.Time
	records map[specifier.JobID]*record
	cancels cancels
	// swept is when expired records were last removed.
	swept time.Time
}

// peer is a gateway that this one is or was linked to.
type peer struct {
	incarnation identifier.Incarnation
	// links is the number of open links. Either side may have dialled. unlinkedAt is when the last of
	// them ended.
	links      int
	unlinkedAt time.Time
	// eligible is set while the gateway counts as an arbiter.
	eligible bool
	// unanswered is the number of claims in a row that the gateway has not answered in time, and
	// unansweredSince when the first of them was noticed. Until suspendedUntil it is no arbiter.
	unanswered      int
	unansweredSince time.Time
	suspendedUntil  time.Time
}

const (
	// maxUnanswered is the number of claims in a row after which a gateway that does not answer them
	// is suspended, if they span minUnanswered: claims of the same moment may meet a single pause.
	// Such a gateway is short of processor time or cut off, and the others notice that as well.
	maxUnanswered = 3
	minUnanswered = 100 * time.Millisecond
	// suspension is how long a gateway is suspended.
	suspension = 2 * time.Second
	// RelinkTimeout is how long a gateway without a link remains an arbiter. Links that were reset are
	// dialled again within that time, and claims wait for it meanwhile.
	RelinkTimeout = 250 * time.Millisecond
	// peerRetention is how long a gateway without a link is remembered.
	peerRetention = time.Minute
)

// mayArbitrate reports whether the gateway counts as an arbiter.
func (p *peer) mayArbitrate(now time.Time) bool {
	return !now.Before(p.suspendedUntil) && (p.links > 0 || now.Sub(p.unlinkedAt) < RelinkTimeout)
}

// record is what is known of a job.
type record struct {
	holder claim
	// next is the claim that is granted when the holder has no runs, if there is one.
	next *claim
}

// claim is a claim on a job.
type claim struct {
	by      Process
	number  uint64
	expires time.Time
}

// Send is the effect of sending a message to a gateway, which may be that of the arbiter.
type Send struct {
	To      identifier.Entry
	Message any
}

// PeerLinked records a link to another gateway.
func (a *Arbiter) PeerLinked(now time.Time, p Process) {
	if a.peers == nil {
		a.peers = make(map[identifier.Entry]*peer)
	}
	known := a.peers[p.Gateway]
	switch {
	case known == nil:
	case known.incarnation == p.Incarnation:
		known.links++
		known.eligible = known.mayArbitrate(now)
		delete(a.lost, p)
		return
	case known.incarnation > p.Incarnation:
		return
	case known.links > 0:
		a.noteLost(now, Process{p.Gateway, known.incarnation})
	}
	a.peers[p.Gateway] = &peer{incarnation: p.Incarnation, links: 1, eligible: true}
}

// PeerUnlinked records the end of a link to another gateway.
func (a *Arbiter) PeerUnlinked(now time.Time, p Process) {
	known := a.peers[p.Gateway]
	if known == nil || known.incarnation != p.Incarnation {
		return
	}
	if known.links--; known.links == 0 {
		known.unlinkedAt = now
		a.noteLost(now, p)
	}
}

// Linked reports whether a gateway is this one or linked to it.
func (a *Arbiter) Linked(gateway identifier.Entry) bool {
	known := a.peers[gateway]
	return gateway == a.Self.Gateway || known != nil && known.links > 0
}

// noteLost records when the last link to a process ended.
func (a *Arbiter) noteLost(now time.Time, p Process) {
	if a.lost == nil {
		a.lost = make(map[Process]time.Time)
	}
	a.lost[p] = now
}

// ArbitersOf returns the gateways that have to grant a claim of this one on a job, in the order in
// which they are to be asked: the first by rank of the others, and before that this gateway itself if
// it ranks higher, because it is then the arbiter for the others. They ask the former if they have
// suspended this gateway. There are none if this gateway knows no other.
func (a *Arbiter) ArbitersOf(now time.Time, id specifier.JobID) []identifier.Entry {
	best, bestRank := identifier.Entry(""), uint64(0)
	for name, p := range a.peers {
		if !p.mayArbitrate(now) {
			continue
		}
		if r := rank(name, id); best == "" || r > bestRank || r == bestRank && name > best {
			best, bestRank = name, r
		}
	}
	switch {
	case best == "":
		return nil
	case rank(a.Self.Gateway, id) > bestRank:
		return []identifier.Entry{a.Self.Gateway, best}
	}
	return []identifier.Entry{best}
}

// SuspendedOf returns the gateways that this one has suspended and would ask for a claim on a job otherwise.
// They are to be told of the claim, because other gateways may not have suspended them.
func (a *Arbiter) SuspendedOf(now time.Time, id specifier.JobID) []identifier.Entry {
	highest := uint64(0)
	for name, p := range a.peers {
		if p.mayArbitrate(now) {
			highest = max(highest, rank(name, id))
		}
	}
	var suspended []identifier.Entry
	for name, p := range a.peers {
		if now.Before(p.suspendedUntil) && p.links > 0 && rank(name, id) > highest {
			suspended = append(suspended, name)
		}
	}
	slices.Sort(suspended)
	return suspended
}

// FallbacksOf returns the gateways to ask for a claim of this one when an arbiter has not answered: this
// gateway, which may have granted the job to another one, and the first by rank of the others that were not asked.
func (a *Arbiter) FallbacksOf(now time.Time, id specifier.JobID, asked []identifier.Entry) []identifier.Entry {
	var names []identifier.Entry
	if !slices.Contains(asked, a.Self.Gateway) {
		names = append(names, a.Self.Gateway)
	}
	best, bestRank := identifier.Entry(""), uint64(0)
	for name, p := range a.peers {
		if !p.mayArbitrate(now) || p.links == 0 || slices.Contains(asked, name) {
			continue
		}
		if r := rank(name, id); best == "" || r > bestRank || r == bestRank && name > best {
			best, bestRank = name, r
		}
	}
	if best != "" {
		names = append(names, best)
	}
	return names
}

// Answered records that a gateway has answered a claim in time.
func (a *Arbiter) Answered(gateway identifier.Entry) {
	if p := a.peers[gateway]; p != nil {
		p.unanswered = 0
	}
}

// Unanswered records that a gateway has not answered a claim in time. It reports whether the gateway
// is suspended for that.
func (a *Arbiter) Unanswered(now time.Time, gateway identifier.Entry) bool {
	p := a.peers[gateway]
	if p == nil || now.Before(p.suspendedUntil) {
		return false
	}
	if p.unanswered == 0 {
		p.unansweredSince = now
	}
	if p.unanswered++; p.unanswered < maxUnanswered || now.Sub(p.unansweredSince) < minUnanswered {
		return false
	}
	p.unanswered, p.suspendedUntil, p.eligible = 0, now.Add(suspension), false
	return true
}

// rank orders the gateways for a job. The order of two gateways does not depend on the others, so
// that a gateway that joins or leaves changes the arbiters of few jobs.
func rank(gateway identifier.Entry, id specifier.JobID) uint64 {
	return xxhash.Sum64String(string(gateway) + " " + string(id))
}

// HandleClaim handles the claim of a gateway. Of several, the latest counts: its caller is the one
// that waits.
func (a *Arbiter) HandleClaim(now time.Time, from Process, m *Claim) []Send {
	if a.records == nil {
		a.records = make(map[specifier.JobID]*record)
	}
	if a.Cancelled(now, m.Job) {
		return []Send{{from.Gateway, &Cancelled{Job: m.Job, Number: m.Number}}}
	}
	c := claim{from, m.Number, now.Add(m.Validity)}
	r := a.records[m.Job]
	switch {
	case r == nil || r.expired(now):
		a.records[m.Job] = &record{holder: c}
		return []Send{grant(m.Job, &c)}
	case r.overtaken(&c):
		return nil
	case r.holder.by == from:
		var effects []Send
		if r.next != nil && r.holder.number != m.Number {
			effects = append(effects, recall(m.Job, r.next))
			r.next = nil
		}
		r.holder = c
		return append(effects, grant(m.Job, &c))
	case m.Renewal && !r.precedes(&c), a.outdates(r, &c):
		return []Send{recall(m.Job, &c)}
	}
	var effects []Send
	if r.next != nil && r.next.by != from {
		effects = append(effects, recall(m.Job, r.next))
	}
	r.next = &c
	return append(effects, a.settle(now, m.Job, r)...)
}

// precedes reports whether all claims on the job were made before c, which another arbiter may have granted
// meanwhile. Numbers follow the clock, and callers come again a second or more later.
func (r *record) precedes(c *claim) bool {
	return r.holder.number < c.number && (r.next == nil || r.next.number < c.number || r.next.by == c.by)
}

// lateClaim is how much earlier than another one, in numbers, a claim was made that is read late. The order of
// closer ones is that in which they arrive, because the clocks of gateways differ.
const lateClaim = uint64(500 * time.Millisecond / time.Microsecond)

// outdates reports whether a claim on the job was made so long after c that c has been read late: its arbiter
// stood still. Its caller has left since. Claims of lost gateways do not count, as these may have
// numbered them by a clock that was ahead, and yield nothing.
func (a *Arbiter) outdates(r *record, c *claim) bool {
	later := func(other *claim) bool { return other.number > c.number+lateClaim && a.linked(other.by) }
	return later(&r.holder) || r.next != nil && later(r.next)
}

// overtaken reports whether a later claim of the same process has arrived before c, on another link.
func (r *record) overtaken(c *claim) bool {
	return r.holder.by == c.by && r.holder.number > c.number || r.next != nil && r.next.by == c.by && r.next.number > c.number
}

// settle grants the next claim of a job if the holder cannot have runs any more, and recalls the
// holder otherwise.
func (a *Arbiter) settle(now time.Time, id specifier.JobID, r *record) []Send {
	if a.linked(r.holder.by) {
		return []Send{recall(id, &r.holder), {r.next.by.Gateway, &Contested{Job: id, Number: r.next.number}}}
	}
	if now.Sub(a.lost[r.holder.by]) < executor.RunsOverAfter {
		return []Send{{r.next.by.Gateway, &Contested{Job: id, Number: r.next.number}}}
	}
	return a.promote(id, r)
}

// promote grants the next claim of a job.
func (a *Arbiter) promote(id specifier.JobID, r *record) []Send {
	r.holder, r.next = *r.next, nil
	return []Send{grant(id, &r.holder)}
}

// HandleYield handles that a gateway has no runs of a job.
func (a *Arbiter) HandleYield(from Process, m *Yield) []Send {
	r := a.records[m.Job]
	switch {
	case r == nil:
	case r.holder.by == from && r.holder.number == m.Number:
		if r.next != nil {
			return a.promote(m.Job, r)
		}
		delete(a.records, m.Job)
	case r.next != nil && r.next.by == from && r.next.number == m.Number:
		r.next = nil
	}
	return nil
}

// linked reports whether a process is this gateway or linked to it.
func (a *Arbiter) linked(p Process) bool {
	if p == a.Self {
		return true
	}
	known := a.peers[p.Gateway]
	return known != nil && known.incarnation == p.Incarnation && known.links > 0
}

// expired reports whether no claim on the job is valid any more.
func (r *record) expired(now time.Time) bool {
	return !now.Before(r.holder.expires) && (r.next == nil || !now.Before(r.next.expires))
}

// sweepInterval is the time between two removals of expired records.
const sweepInterval = time.Second

// Tick removes what has expired, and reports whether jobs may have other arbiters than before.
func (a *Arbiter) Tick(now time.Time) bool {
	changed := false
	for _, p := range a.peers {
		if eligible := p.mayArbitrate(now); eligible != p.eligible {
			p.eligible, changed = eligible, true
		}
	}
	if now.Sub(a.swept) < sweepInterval {
		return changed
	}
	a.swept = now
	a.cancels.expire(now)
	maps.DeleteFunc(a.records, func(_ specifier.JobID, r *record) bool { return r.expired(now) })
	maps.DeleteFunc(a.lost, func(_ Process, at time.Time) bool { return now.Sub(at) >= executor.RunsOverAfter })
	maps.DeleteFunc(a.peers, func(_ identifier.Entry, p *peer) bool { return p.links == 0 && now.Sub(p.unlinkedAt) >= peerRetention })
	return changed
}

// Claims returns the number of jobs with a claim.
func (a *Arbiter) Claims() int {
	return len(a.records)
}

func grant(id specifier.JobID, c *claim) Send {
	return Send{c.by.Gateway, &Grant{Job: id, Number: c.number}}
}

func recall(id specifier.JobID, c *claim) Send {
	return Send{c.by.Gateway, &Recall{Job: id, Number: c.number}}
}
