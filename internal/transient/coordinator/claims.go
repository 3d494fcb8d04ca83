package coordinator

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/arbiter"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// Arbiters names the gateways that decide which gateway may start the tasks of a job.
type Arbiters interface {
	// ArbitersOf returns the gateways that have to grant a claim on a job, in the order in which
	// they are to be asked. Without any, its tasks are started without asking.
	ArbitersOf(now time.Time, id specifier.JobID) []identifier.Entry
	// Linked reports whether a gateway can be reached.
	Linked(gateway identifier.Entry) bool
	// SuspendedOf returns the gateways that are to be told of a claim on a job, and need not grant it:
	// other gateways may ask them.
	SuspendedOf(now time.Time, id specifier.JobID) []identifier.Entry
	// FallbacksOf returns the gateways that are asked, once, when one of those that were asked has not
	// answered.
	FallbacksOf(now time.Time, id specifier.JobID, asked []identifier.Entry) []identifier.Entry
	// Joining reports whether this gateway has just started and does not know all others yet. Tasks are
	// not started meanwhile.
	Joining(now time.Time) bool
	// Cancelled reports whether this gateway knows that a job was cancelled, here or elsewhere.
	Cancelled(now time.Time, id specifier.JobID) bool
}

const (
	// claimTimeout is how long a job waits for an arbiter to answer, before its tasks are started
	// without it. Between data centres an answer takes a few milliseconds.
	claimTimeout = 50 * time.Millisecond
	// slowClaimTimeout replaces claimTimeout while this process is short of processor time, and the
	// answer may have arrived. Such a process also learns late that callers have left.
	slowClaimTimeout = 500 * time.Millisecond
	// slowTick is a time between two ticks that shows that this process is short of processor time,
	// and slowPeriod is for how long it counts as such after that.
	slowTick   = 60 * time.Millisecond
	slowPeriod = time.Second
	// claimInterval is the time between two claims on a job that another gateway holds. The first
	// one, or its answer, may have been lost with a link.
	claimInterval = 100 * time.Millisecond
	// claimMargin is how long runs may go on after the deadline of their job.
	claimMargin = 2 * time.Second
	// maxIdleClaim is how long a claim may outlast its job without a Yield, if its caller has got a
	// final answer.
	maxIdleClaim = 5 * time.Second
)

// claimState is the state of the claim of this gateway on a job.
type claimState uint8

const (
	// unclaimed jobs have no arbiter.
	unclaimed claimState = iota
	// claimed jobs wait for an arbiter to answer.
	claimed
	// contested jobs wait until another gateway has ended its runs.
	contested
	// granted jobs may be started.
	granted
	// assumed jobs may be started because an arbiter has not answered.
	assumed
)

var claimStates = [...]string{unclaimed: "none", claimed: "claimed", contested: "contested", granted: "granted", assumed: "assumed"}

// String returns the name of s as it appears in logs.
func (s claimState) String() string {
	return claimStates[s]
}

// claim is the claim of this gateway on a job.
type claim struct {
	state  claimState
	number uint64
	// asked holds the arbiters that the claim was sent to, the latest last, and next those that are
	// to be asked after that one has granted it.
	asked, next []identifier.Entry
	// sent is when the claim was last sent, and expires until when it is valid.
	sent, expires time.Time
	// settled is when the job was first allowed to start.
	settled time.Time
	// wasContested is set if an arbiter knew of another gateway with the job, and recalled if it has
	// recalled the claim.
	wasContested, recalled bool
	// fellBack is set once the fallbacks were asked.
	fellBack bool
}

// waits reports whether the tasks of the job may not be started yet.
func (m *claim) waits() bool {
	return m.state == claimed || m.state == contested
}

// unasked reports whether the job waits, and no arbiter was asked yet because this gateway was joining.
func (m *claim) unasked() bool {
	return m.state == claimed && len(m.asked) == 0
}

// arbiter returns the arbiter that was asked last.
func (m *claim) arbiter() identifier.Entry {
	if len(m.asked) == 0 {
		return ""
	}
	return m.asked[len(m.asked)-1]
}

// claimJob claims a job at its first arbiter, if it has one. Its tasks are started when all arbiters
// have granted the claim, or one has not answered in time.
func (c *Coordinator) claimJob(now time.Time, j *job) []Effect {
	if c.Arbiters == nil {
		return nil
	}
	arbiters := c.Arbiters.ArbitersOf(now, j.ID)
	joining := c.Arbiters.Joining(now)
	if len(arbiters) == 0 && !joining {
		return nil
	}
	// A number is not used again after a restart, as an answer to the earlier incarnation may be late.
	c.lastClaim = max(c.lastClaim+1, uint64(now.UnixMicro()))
	j.claim = claim{state: claimed, number: c.lastClaim, expires: j.deadline.Add(claimMargin)}
	if joining {
		return nil
	}
	var effects []Effect
	for _, name := range c.Arbiters.SuspendedOf(now, j.ID) {
		effects = append(effects, c.sendClaim(now, j, name))
	}
	return append(effects, c.askFirst(now, j, arbiters))
}

// askFirst sends the claim on a job that waits to the first of its arbiters.
func (c *Coordinator) askFirst(now time.Time, j *job, arbiters []identifier.Entry) Effect {
	j.claim.state, j.claim.next = claimed, arbiters[1:]
	return c.sendClaim(now, j, arbiters[0])
}

// askOthers sends the claim on a job to the arbiters that it has now. One that knows of another gateway with the
// job has to grant the claim before them if it can be reached: they may know nothing.
func (c *Coordinator) askOthers(now time.Time, j *job, arbiters []identifier.Entry) Effect {
	if before := j.claim.arbiter(); j.claim.state == contested && c.Arbiters.Linked(before) {
		arbiters = append([]identifier.Entry{before}, arbiters...)
	}
	return c.askFirst(now, j, arbiters)
}

// sendClaim sends the claim on a job to an arbiter.
func (c *Coordinator) sendClaim(now time.Time, j *job, to identifier.Entry) Effect {
	j.claim.sent = now
	j.claim.asked = append(slices.DeleteFunc(j.claim.asked, func(a identifier.Entry) bool { return a == to }), to)
	return SendGateway{to, &arbiter.Claim{Job: j.ID, Number: j.claim.number, Validity: j.claim.expires.Sub(now), Renewal: !j.claim.waits()}}
}

// claimedJob returns the open job with a claim, or nil if there is none.
func (c *Coordinator) claimedJob(id specifier.JobID, number uint64) *job {
	if j := c.jobs[id]; j != nil && !j.ended && j.claim.number == number {
		return j
	}
	return nil
}

// Awaits reports whether an answer of an arbiter to a claim is awaited, so that it has come in time.
func (c *Coordinator) Awaits(from identifier.Entry, id specifier.JobID, number uint64) bool {
	j := c.claimedJob(id, number)
	return j != nil && j.claim.waits() && j.claim.arbiter() == from
}

// HandleGrant asks the next arbiter of a job, or starts its tasks after the last one.
func (c *Coordinator) HandleGrant(now time.Time, from identifier.Entry, m *arbiter.Grant) []Effect {
	if !c.Awaits(from, m.Job, m.Number) {
		return nil
	}
	j := c.jobs[m.Job]
	if len(j.claim.next) > 0 {
		return []Effect{c.askFirst(now, j, j.claim.next)}
	}
	c.settleClaim(now, j, granted)
	return c.place(now)
}

// settleClaim allows a job to be started.
func (c *Coordinator) settleClaim(now time.Time, j *job, s claimState) {
	j.claim.state, j.claim.settled = s, now
	c.enqueue(j)
}

// HandleContested records that another gateway may have runs of a job.
func (c *Coordinator) HandleContested(from identifier.Entry, m *arbiter.Contested) []Effect {
	j := c.claimedJob(m.Job, m.Number)
	if j == nil {
		return nil
	}
	if j.claim.state == claimed && j.claim.arbiter() == from {
		j.claim.state = contested
	}
	if j.claim.wasContested {
		return nil
	}
	j.claim.wasContested = true
	return []Effect{ClaimEvent{Name: EventClaimContested, Job: m.Job, Arbiter: from, State: j.claim.state.String()}}
}

// HandleCancelled ends a job that was cancelled, perhaps at another gateway.
func (c *Coordinator) HandleCancelled(now time.Time, m *arbiter.Cancelled) []Effect {
	j := c.claimedJob(m.Job, m.Number)
	if j == nil {
		return nil
	}
	return append(c.end(now, j, Answer{State: Cancelled}, causeCancelled), c.place(now)...)
}

// HandleRecall ends a job that was submitted to another gateway later, and sends a Yield when it
// has no runs.
func (c *Coordinator) HandleRecall(now time.Time, from identifier.Entry, m *arbiter.Recall) []Effect {
	j := c.jobs[m.Job]
	if j == nil || j.claim.number != m.Number {
		return []Effect{SendGateway{from, &arbiter.Yield{Job: m.Job, Number: m.Number}}}
	}
	j.claim.recalled = true
	if j.ended {
		return nil
	}
	j.claim.wasContested = true
	return append(c.end(now, j, Answer{State: Unfinished}, CauseRecalled), c.place(now)...)
}

// ArbiterLinked handles a new link to a gateway. The claims that were sent to it are sent again: it may
// have been started anew, or they may have been lost with an earlier link.
func (c *Coordinator) ArbiterLinked(now time.Time, name identifier.Entry) []Effect {
	var effects []Effect
	for _, j := range c.sortedJobs() {
		switch {
		case !j.claim.waits():
			j.claim.asked = slices.DeleteFunc(j.claim.asked, func(a identifier.Entry) bool { return a == name })
		case !j.ended && j.claim.arbiter() == name:
			effects = append(effects, c.sendClaim(now, j, name))
		}
	}
	return append(effects, c.ArbitersChanged(now)...)
}

// ArbitersChanged claims the jobs that have other arbiters now, who do not know of them, or that had none.
// Those that have ended count while their runs go on.
func (c *Coordinator) ArbitersChanged(now time.Time) []Effect {
	var effects []Effect
	for _, j := range c.sortedJobs() {
		if j.claim.waits() && (j.ended || j.claim.unasked() && c.Arbiters.Joining(now)) {
			continue
		}
		arbiters := c.Arbiters.ArbitersOf(now, j.ID)
		if j.claim.state == unclaimed && len(arbiters) > 0 {
			// The number tells when the job came, because a later submission stands against this one.
			j.claim = claim{state: assumed, number: uint64(j.arrived.UnixMicro()), expires: j.deadline.Add(claimMargin), settled: j.arrived}
		}
		switch {
		case len(arbiters) == 0:
		case !j.claim.waits():
			for _, name := range arbiters {
				if !slices.Contains(j.claim.asked, name) {
					effects = append(effects, c.sendClaim(now, j, name))
				}
			}
		case !c.mayAnswer(&j.claim, arbiters):
			effects = append(effects, c.askOthers(now, j, arbiters))
		}
	}
	return effects
}

// ClaimedByOther handles that another gateway claims a job at this one, self. If this gateway may have runs of the
// job by the consent of an earlier arbiter, its claim is made here first: the other one may have noticed
// earlier that the arbiters have changed.
func (c *Coordinator) ClaimedByOther(now time.Time, self identifier.Entry, id specifier.JobID) []Effect {
	j := c.jobs[id]
	if j == nil || j.claim.state == unclaimed || j.claim.waits() || slices.Contains(j.claim.asked, self) {
		return nil
	}
	return []Effect{c.sendClaim(now, j, self)}
}

// mayAnswer reports whether the gateway that was asked last is one of the arbiters of the job, or takes the place
// of one. In the latter case it may know of runs that the present arbiters do not know of.
func (c *Coordinator) mayAnswer(m *claim, arbiters []identifier.Entry) bool {
	return slices.Contains(arbiters, m.arbiter()) || m.fellBack && c.Arbiters.Linked(m.arbiter())
}

// noteTick records whether this process is short of processor time.
func (c *Coordinator) noteTick(now time.Time) {
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) >= slowTick {
		c.slowUntil = now.Add(slowPeriod)
	}
}

// claimWait returns how long a claim may be unanswered.
func (c *Coordinator) claimWait(now time.Time, m *claim) time.Duration {
	switch {
	case m.fellBack:
		return claimTimeout
	case now.Before(c.slowUntil):
		return slowClaimTimeout
	case !c.Arbiters.Linked(m.arbiter()):
		return arbiter.RelinkTimeout
	}
	return claimTimeout
}

// tickClaim handles a claim that is not granted in time.
func (c *Coordinator) tickClaim(now time.Time, j *job) []Effect {
	waited := now.Sub(j.claim.sent)
	switch {
	case j.claim.unasked():
		if c.Arbiters.Joining(now) {
			return nil
		}
		if arbiters := c.Arbiters.ArbitersOf(now, j.ID); len(arbiters) > 0 {
			return []Effect{c.askFirst(now, j, arbiters)}
		}
		c.settleClaim(now, j, assumed)
	case j.claim.state == claimed && waited >= c.claimWait(now, &j.claim):
		if arbiters := c.Arbiters.ArbitersOf(now, j.ID); len(arbiters) > 0 && !c.mayAnswer(&j.claim, arbiters) {
			// The arbiter has left meanwhile, and another one has taken its place.
			return []Effect{c.askFirst(now, j, arbiters)}
		}
		event := ClaimEvent{Name: EventClaimUnanswered, Job: j.ID, Arbiter: j.claim.arbiter()}
		var effects []Effect
		if fallbacks := c.Arbiters.FallbacksOf(now, j.ID, j.claim.asked); !j.claim.fellBack && len(fallbacks) > 0 {
			// The arbiter may have lost its power, and with it the gateway that holds the job.
			j.claim.fellBack = true
			effects = []Effect{c.askFirst(now, j, fallbacks)}
		} else {
			c.settleClaim(now, j, assumed)
		}
		event.State = j.claim.state.String()
		return append(effects, event)
	case j.claim.state == contested && waited >= claimInterval:
		arbiters := c.Arbiters.ArbitersOf(now, j.ID)
		switch {
		case c.mayAnswer(&j.claim, arbiters):
			return []Effect{c.sendClaim(now, j, j.claim.arbiter())}
		case len(arbiters) > 0:
			return []Effect{c.askOthers(now, j, arbiters)}
		}
		c.settleClaim(now, j, assumed)
	}
	return nil
}

// yield tells the arbiters that no runs of an ended job are left, so that the next gateway need not
// wait. A caller with a final answer does not come again; its claim expires by itself.
func (c *Coordinator) yield(now time.Time, j *job) []Effect {
	final := j.outcome == Completed || j.outcome == Failed
	if final && !j.claim.recalled && j.claim.expires.Sub(now) < maxIdleClaim {
		return nil
	}
	var effects []Effect
	for _, name := range j.claim.asked {
		effects = append(effects, SendGateway{name, &arbiter.Yield{Job: j.ID, Number: j.claim.number}})
	}
	return effects
}
