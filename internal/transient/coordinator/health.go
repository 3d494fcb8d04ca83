package coordinator

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// health judges a worker by how the runs there end, and by how many of them do not.
type health struct {
	// bad counts the bad signs since the last good one.
	bad int
	// restUntil is when the worker gets work again.
	restUntil time.Time
}

const (
	// badSigns make a worker rest. One failure is within the usual share.
	badSigns = 2
	// firstRest doubles with each further bad sign, up to lastRest.
	firstRest = 250 * time.Millisecond
	lastRest  = 4 * time.Second
	// probes is how many runs a worker gets after a rest before one has ended well.
	probes = 2
	// overdueFactor times its expected run time makes a run overdue. A few tasks run many
	// times as long as others of their queue wherever they are, so one says nothing.
	overdueFactor = 3
	// hungFactor times its expected run time makes a run of a resting worker hung.
	hungFactor = 6
	// overdueLeast is the least number of overdue runs that say something of a worker that
	// was sound.
	overdueLeast = 3
)

func (h *health) overdueLeast() int {
	if h.bad >= badSigns {
		return 1
	}
	return overdueLeast
}

// ended takes the end of a run that nobody asked for.
func (h *health) ended(now time.Time, m *executor.Ended, expected time.Duration) {
	switch {
	case m.Outcome == executor.Done && m.Took <= overdueFactor*expected:
		*h = health{}
	case m.Outcome == executor.Failed, m.Outcome == executor.Refused && m.Reason == executor.Unanswered:
		h.badSign(now)
	}
}

func (h *health) badSign(now time.Time) {
	h.bad++
	if h.bad >= badSigns {
		rest := firstRest << min(h.bad-badSigns, 4)
		h.restUntil = now.Add(min(rest, lastRest))
	}
}

// stalled notes that most runs are overdue.
func (h *health) stalled(now time.Time) {
	h.bad = max(h.bad, badSigns-1)
	h.badSign(now)
}

// admits reports whether a worker that has some runs may get another one.
func (h *health) admits(now time.Time, runs int) bool {
	switch {
	case now.Before(h.restUntil):
		return false
	case h.bad >= badSigns:
		return runs < probes
	}
	return true
}

// watch looks for workers on which most runs are overdue: they hang, or are slow. Such
// a worker rests, and its runs that hang are stopped, so that they are tried elsewhere.
func (c *Coordinator) watch(now time.Time) []Effect {
	var effects []Effect
	for _, a := range c.sorted() {
		if !a.attached || a.health.bad >= badSigns && now.Before(a.health.restUntil) {
			continue
		}
		overdue := a.overdue(now, overdueFactor)
		if len(overdue) < a.health.overdueLeast() || 2*len(overdue) <= len(a.runs) {
			continue
		}
		a.health.stalled(now)
		effects = append(effects, LogEvent{Name: "worker_stalls", Run: overdue[0], Agent: a.name, Cause: "most_runs_overdue", SinceHeard: now.Sub(a.heard)})
	}
	return append(effects, c.stopHung(now)...)
}

// stalled takes an agent's word that no run of its worker makes progress: the worker
// rests, and what has been there for some time is tried elsewhere.
func (c *Coordinator) stalled(now time.Time, a *agent) []Effect {
	a.health.stalled(now)
	var effects []Effect
	for _, run := range a.order() {
		if now.Sub(a.runs[run].tasks[run.Index].sent) < executor.StallAfter {
			continue
		}
		effects = append(effects, LogEvent{Name: "worker_stalls", Run: run, Agent: a.name, Cause: "no_progress", SinceHeard: now.Sub(a.heard)})
		effects = append(effects, c.stop(&a.runs[run].tasks[run.Index])...)
	}
	return effects
}

// stopHung stops the runs of resting workers that are overdue for so long that a new try
// elsewhere will most likely end sooner.
func (c *Coordinator) stopHung(now time.Time) []Effect {
	var effects []Effect
	for _, a := range c.sorted() {
		if !a.attached || a.health.bad < badSigns {
			continue
		}
		for _, run := range a.overdue(now, hungFactor) {
			effects = append(effects, c.stop(&a.runs[run].tasks[run.Index])...)
		}
	}
	return effects
}

// overdue returns the runs at an agent that have taken factor times as long as expected
// there.
func (a *agent) overdue(now time.Time, factor float64) []executor.RunID {
	var runs []executor.RunID
	for _, run := range a.order() {
		j := a.runs[run]
		limit := time.Duration(factor * float64(j.expected) * max(a.pace.factor(), 1))
		if now.Sub(j.tasks[run.Index].sent) > limit {
			runs = append(runs, run)
		}
	}
	return runs
}
