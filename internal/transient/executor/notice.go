package executor

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// noticeStep is the change in the time at which a worker leaves from which it is reported again. Reports
// of the worker arrive some milliseconds earlier or later each time.
const noticeStep = 50 * time.Millisecond

const (
	// minProgressTime is the run time from which the progress of a run tells its whole run time, and
	// progressMargin the inverse of the margin that is added to what is left, because workers report
	// whole percents.
	minProgressTime = 100 * time.Millisecond
	progressMargin  = 10
)

// noteLeaving records when the worker leaves by its present report, and reports whether that has
// changed. A notice is withdrawn by a report without it. The worker stays for at least the time that it
// has told, so a report that is delivered late only makes the time too short.
func (w *workerState) noteLeaving(now time.Time) bool {
	before := w.leavesAt
	if !w.report.Draining || w.report.Remaining <= 0 {
		w.leavesAt = time.Time{}
		return !before.IsZero()
	}
	at := now.Add(w.report.Remaining)
	if !before.IsZero() && at.Sub(before).Abs() < noticeStep {
		return false
	}
	w.leavesAt = at
	return true
}

// leaves reports whether the worker leaves, and the least time until then, which is zero if it is not
// known.
func (x *Executor) leaves(now time.Time) (leaving bool, in time.Duration) {
	if !x.Policy.LeaveNotice || !x.worker.report.Draining {
		return false, 0
	}
	if x.worker.leavesAt.IsZero() {
		return true, 0
	}
	return true, max(x.worker.leavesAt.Sub(now), time.Millisecond)
}

// cutOff returns the runs of a gateway that do not end before the worker leaves, for a status to that
// gateway.
func (x *Executor) cutOff(g *gatewayState) []CutOffRun {
	if !x.Policy.LeaveNotice {
		return nil
	}
	var runs []CutOffRun
	for _, run := range x.sortedRuns() {
		e := x.runs[run]
		if x.gatewayOf(e) != g {
			continue
		}
		x.worker.updateCutOff(e)
		if e.cutOff {
			runs = append(runs, CutOffRun{Run: run, Total: e.total()})
		}
	}
	return runs
}

// updateCutOff records whether a run ends before the worker leaves, by its progress, and reports whether
// that has changed. Of a worker that shows no progress, nothing is known. The margin counts only until the
// run is taken as cut off, so that runs near the limit do not change with each hold.
func (w *workerState) updateCutOff(e *execution) (changed bool) {
	cutOff := false
	if !w.leavesAt.IsZero() && e.phase == running && w.showsProgress && e.progressTime() >= minProgressTime {
		left := e.total() - e.progressTime()
		if !e.cutOff {
			left += left / progressMargin
		}
		cutOff = e.progressedAt.Add(left).After(w.leavesAt)
	}
	changed, e.cutOff = cutOff != e.cutOff, cutOff
	return changed
}

// progressTime returns how long a run took for the progress that it has made.
func (e *execution) progressTime() time.Duration {
	if e.progressedAt.IsZero() {
		return 0
	}
	return e.progressedAt.Sub(e.since)
}

// total returns the whole run time of a run, by its progress.
func (e *execution) total() time.Duration {
	return e.progressTime() * 100 / time.Duration(min(max(e.percent, 1), 100))
}

// reportCutOff sends the status of the worker to the gateways with runs of which it has changed whether
// they end before the worker leaves. Most runs show their progress some time after the notice, and the
// first percents of a long run tell little, so that a gateway must not go by what they told for the whole
// notice.
func (x *Executor) reportCutOff(now time.Time) []Effect {
	if !x.Policy.LeaveNotice || x.worker.leavesAt.IsZero() {
		return nil
	}
	var gateways []identifier.Entry
	for _, e := range x.runs {
		if g := x.gatewayOf(e); g != nil && g.linked && x.worker.updateCutOff(e) {
			gateways = append(gateways, e.gateway)
		}
	}
	slices.Sort(gateways)
	var effects []Effect
	for _, gateway := range slices.Compact(gateways) {
		effects = append(effects, x.sendStatusTo(now, gateway))
	}
	return effects
}
