package executor

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// WorkerIncarnation names one life of a worker. A worker that starts again may keep its name.
type WorkerIncarnation struct {
	Name      string
	StartedAt time.Time
}

// Equal reports whether l and o are the same life. Times that are equal may differ in
// their location, so lives must not be compared with ==.
func (l WorkerIncarnation) Equal(o WorkerIncarnation) bool {
	return l.Name == o.Name && l.StartedAt.Equal(o.StartedAt)
}

// WorkerReport is what a worker says of itself, with each of its heartbeats.
type WorkerReport struct {
	WorkerIncarnation
	Addr     netip.AddrPort
	Service  string
	Zone     string
	Labels   []string
	Capacity specifier.Resources
	Draining bool
	// Clock is the reading of the worker's own clock, which begins at its start.
	Clock time.Duration
	// Sequence rises with each report of a life.
	Sequence uint64
}

// workerState is a worker in one workerState of it.
type workerState struct {
	WorkerIncarnation
	report WorkerReport
	fence  uint64
	// fenced is set when the worker has answered a call with the fence of this life.
	fenced bool
	// unresponsive is set when the worker does not answer any more.
	unresponsive bool
	// clock is a reading of the worker's clock that was taken not before clockAt.
	clock   time.Duration
	clockAt time.Time
	// lastAnswered is when the last lastAnswered hold was sent.
	lastAnswered time.Time
	// showsProgress is set when a run has shown progress, and stalled while none makes any.
	showsProgress, stalled bool
	// lastUnanswered is when a call got no answer last.
	lastUnanswered time.Time
	// lastExtended is when the last order that may extend the lease was sent.
	lastExtended time.Time
	// lastSeenEnd is the number of the last end that was taken note of.
	lastSeenEnd int64
}

func (l *workerState) usable() bool {
	return l.fenced && !l.unresponsive
}

// extendLease returns the end of a lease that begins now, on the worker's clock.
func (l *workerState) extendLease(now time.Time) time.Duration {
	l.lastExtended = now
	return l.clock + now.Sub(l.clockAt) + LeaseDuration
}

func (l *workerState) setClock(now time.Time, clock time.Duration) {
	l.clock, l.clockAt = clock, now
}

// WorkerReported takes a report of the worker beside this agent. A late one, of an
// earlier life or with a lower sequence, is dropped.
func (x *Executor) WorkerReported(now time.Time, r WorkerReport) []Effect {
	w := x.worker
	if w != nil && (r.StartedAt.Before(w.StartedAt) || (r.WorkerIncarnation.Equal(w.WorkerIncarnation) && r.Sequence <= w.report.Sequence)) {
		return nil
	}
	if w != nil && r.WorkerIncarnation.Equal(w.WorkerIncarnation) {
		changed := r.Draining != w.report.Draining || r.Capacity != w.report.Capacity || r.Service != w.report.Service
		w.report = r
		if !changed {
			return nil
		}
		return x.sendStatus()
	}
	effects := x.endRuns(now, true)
	// An order of the earlier life that is carried out late must not start anything in
	// this one, which has seen no fence.
	x.Fence++
	x.worker = &workerState{WorkerIncarnation: r.WorkerIncarnation, report: r, fence: x.Fence}
	x.worker.setClock(now, r.Clock)
	return append(effects, HoldNow{})
}

// WorkerRestored takes the newest report that an earlier incarnation of this agent kept, until
// the worker reports itself. Whether it is the same life shows with the first hold.
func (x *Executor) WorkerRestored(now time.Time, r WorkerReport) []Effect {
	if x.worker != nil {
		return nil
	}
	r.Sequence = 0
	return x.WorkerReported(now, r)
}

// WorkerReport returns the newest report, if there is a worker.
func (x *Executor) WorkerReport() (WorkerReport, bool) {
	if x.worker == nil {
		return WorkerReport{}, false
	}
	return x.worker.report, true
}

// WorkerLeft takes the goodbye of a worker.
func (x *Executor) WorkerLeft(now time.Time, worker string) []Effect {
	if x.worker == nil || x.worker.Name != worker {
		return nil
	}
	effects := x.endRuns(now, false)
	x.worker = nil
	return append(effects, x.sendStatus()...)
}

// endRuns ends the runs of a worker that has ended. A start without an answer may be carried
// out by its next life, and if that has started already, so may one that no list has
// confirmed. Such a run stays in doubt until the next life is fenced.
func (x *Executor) endRuns(now time.Time, restarted bool) []Effect {
	var effects []Effect
	for _, run := range slices.Clone(x.queue) {
		effects = append(effects, x.finish(now, run, x.runs[run], Refused, NoWorker)...)
	}
	for _, run := range x.sortedRuns() {
		e := x.runs[run]
		if e.phase == starting || e.phase == uncertain || (restarted && !e.confirmed) {
			e.phase, e.stopInFlight, e.stopAnswered = uncertain, false, time.Time{}
			continue
		}
		effects = append(effects, x.finish(now, run, e, Lapsed, "")...)
	}
	return effects
}
