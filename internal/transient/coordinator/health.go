package coordinator

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// health counts signs of failure of a worker and backs off from it: runs that fail, starts
// that are not answered, and runs that are overdue.
type health struct {
	// failures is the number of consecutive signs of failure.
	failures int
	// backedOffAt is when the last backoff began, backoffUntil when the worker may get work again.
	backedOffAt, backoffUntil time.Time
}

const (
	// backoffThreshold is the number of consecutive signs of failure from which a worker is
	// backed off. Single failures occur on sound workers too.
	backoffThreshold = 2
	// initialBackoff doubles with each further sign of failure, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// maxProbes is the number of concurrent runs that a worker gets after a backoff until
	// one of them has succeeded.
	maxProbes = 2
	// A run is overdue after overdueFactor times its expected run time. A few tasks run many
	// times as long as others of their queue on any worker, so a single overdue run is no
	// sign of a faulty worker.
	overdueFactor = 3
	// A run on a backed-off worker counts as hung after hungFactor times its expected run
	// time.
	hungFactor = 6
	// minOverdueRuns is the number of overdue runs from which a worker below
	// backoffThreshold is taken as stalled.
	minOverdueRuns = 3
)

// minOverdue returns the number of overdue runs from which the worker is taken as stalled.
func (h *health) minOverdue() int {
	if h.failures >= backoffThreshold {
		return 1
	}
	return minOverdueRuns
}

// runEnded records the end of a run that was not stopped by this gateway, or that
// succeeded all the same. Runs that were started before the last backoff are not signs of failure
// after it: a burst of starts without an answer would back off the worker for maxBackoff at once.
func (h *health) runEnded(now, startSent time.Time, m *executor.Ended, expected time.Duration) {
	switch {
	case m.Outcome == executor.Done && m.Took <= overdueFactor*expected:
		*h = health{}
	case !h.isNews(startSent):
	case m.Outcome == executor.Failed, m.Outcome == executor.Refused && m.Reason == executor.Unanswered:
		h.noteFailure(now)
	}
}

// isNews reports whether a run tells something of the worker that was not known at the last
// backoff, because it was started after that.
func (h *health) isNews(startSent time.Time) bool {
	return startSent.After(h.backedOffAt)
}

// noteFailure counts a sign of failure and starts a backoff at the threshold.
func (h *health) noteFailure(now time.Time) {
	h.failures++
	if h.failures >= backoffThreshold {
		backoff := initialBackoff << min(h.failures-backoffThreshold, 4)
		h.backedOffAt, h.backoffUntil = now, now.Add(min(backoff, maxBackoff))
	}
}

// noteStall records that the worker has stalled. It is backed off at once.
func (h *health) noteStall(now time.Time) {
	h.failures = max(h.failures, backoffThreshold-1)
	h.noteFailure(now)
}

// admits reports whether a worker with the given number of runs may get another one.
func (h *health) admits(now time.Time, runs int) bool {
	switch {
	case now.Before(h.backoffUntil):
		return false
	case h.failures >= backoffThreshold:
		return runs < maxProbes
	}
	return true
}

// checkOverdue backs off from workers on which most runs are overdue, since these hang or
// are slow. Runs that hang are stopped, so that they are retried elsewhere. Long runs that
// have backed off their worker before do not keep work away from it for as long as they last.
func (c *Coordinator) checkOverdue(now time.Time) []Effect {
	var effects []Effect
	for _, a := range c.sortedAgents() {
		if !a.attached || a.health.failures >= backoffThreshold && now.Before(a.health.backoffUntil) {
			continue
		}
		overdue := c.overdue(now, a, overdueFactor)
		if len(overdue) < a.health.minOverdue() || 2*len(overdue) <= len(a.runs) {
			continue
		}
		newest := overdue[len(overdue)-1]
		if !a.health.isNews(a.runs[newest].tasks[newest.Index].startSent) {
			continue
		}
		a.health.noteStall(now)
		effects = append(effects, LogEvent{Name: EventWorkerStalled, Run: overdue[0], Agent: a.name, Cause: "most_runs_overdue", SinceHeard: now.Sub(a.lastHeard)})
	}
	return append(effects, c.stopHung(now)...)
}

// workerStalled handles an agent's report that no run of its worker makes progress. The
// worker is backed off, and runs that are older than StallAfter are stopped, so that they
// are retried elsewhere.
func (c *Coordinator) workerStalled(now time.Time, a *agent) []Effect {
	a.health.noteStall(now)
	var effects []Effect
	for _, run := range a.sortedRuns() {
		if now.Sub(a.runs[run].tasks[run.Index].startSent) < executor.StallAfter {
			continue
		}
		effects = append(effects, LogEvent{Name: EventWorkerStalled, Run: run, Agent: a.name, Cause: "no_progress", SinceHeard: now.Sub(a.lastHeard)})
		effects = append(effects, c.stop(&a.runs[run].tasks[run.Index])...)
	}
	return effects
}

// stopHung stops those runs on backed-off workers that are overdue for so long that a retry
// elsewhere will most likely end sooner.
func (c *Coordinator) stopHung(now time.Time) []Effect {
	var effects []Effect
	for _, a := range c.sortedAgents() {
		if !a.attached || a.health.failures < backoffThreshold {
			continue
		}
		for _, run := range c.overdue(now, a, hungFactor) {
			effects = append(effects, c.stop(&a.runs[run].tasks[run.Index])...)
		}
	}
	return effects
}

// overdue returns the runs at an agent that have taken more than factor times the run time that
// is expected there.
func (c *Coordinator) overdue(now time.Time, a *agent, factor float64) []executor.RunID {
	var runs []executor.RunID
	for _, run := range a.sortedRuns() {
		j := a.runs[run]
		if now.Sub(j.tasks[run.Index].startSent) > time.Duration(factor*float64(c.overdueRun(a, j))) {
			runs = append(runs, run)
		}
	}
	return runs
}
