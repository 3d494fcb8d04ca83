package executor

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/load/estimator"
)

// WorkerIncarnation identifies one process of a worker. A worker that restarts may keep its
// name.
type WorkerIncarnation struct {
	_msgpack struct{} `msgpack:",as_array"`

	Name      string
	StartedAt time.Time
}

// Equal reports whether w and other are the same incarnation. Incarnations must not be
// compared with ==, because equal times may differ in their location.
func (w WorkerIncarnation) Equal(other WorkerIncarnation) bool {
	return w.Name == other.Name && w.StartedAt.Equal(other.StartedAt)
}

// presence is what the worker's own answers have shown of one of its incarnations.
type presence uint8

const (
	// unconfirmed incarnations were reported, and no call has shown whether they run.
	unconfirmed presence = iota
	// present incarnations have answered a hold.
	present
	// exited incarnations no longer answer: another one does, or nothing listens.
	exited
)

// workerState is the state kept for one incarnation of the worker.
type workerState struct {
	WorkerIncarnation
	report   WorkerReport
	presence presence
	fence    uint64
	// fenced is set once the worker has answered a hold with this fencing token and has
	// listed no runs of an earlier agent.
	fenced bool
	// unresponsive is set while the worker does not answer holds.
	unresponsive bool
	// deregistered is set once a deregistration of the worker has arrived. left is set until its
	// next report, which shows that the deregistration was late.
	deregistered, left bool
	// closed is set when nothing listens at the address of a worker that is leaving. It may still
	// be ending its runs.
	closed bool
	// clock is the reading of the worker's clock that arrived at clockAt. It was taken
	// earlier, so a lease that is computed from it does not end too late.
	clock   time.Duration
	clockAt time.Time
	// lastAnswered is when the last hold that was answered was sent.
	lastAnswered time.Time
	// showsProgress is set once a run has reported progress. stalled is set by checkStall.
	showsProgress, stalled bool
	// lastUnanswered is when noteUnanswered was last called.
	lastUnanswered time.Time
	// lastExtended is when the last order that may extend the lease was sent.
	lastExtended time.Time
	// lastSeenEnd is the number of the last end that was handled.
	lastSeenEnd int64
	// learner learns the speed of the worker.
	learner estimator.Learner
	// withdrawal is the clock in the last report that said ready since the last one that said
	// draining, and withdrawing is set if there is one.
	withdrawal  time.Duration
	withdrawing bool
	// leavesAt is the earliest time at which the worker leaves, if it has told one.
	leavesAt time.Time
}

// successor is an incarnation that was reported while another one may still run.
type successor struct {
	report     WorkerReport
	reportedAt time.Time
}

// usable reports whether the worker can be given runs.
func (w *workerState) usable() bool {
	return w.fenced && !w.unresponsive && !w.left && !w.closed
}

// leaving reports whether the worker has announced that it will exit.
func (w *workerState) leaving() bool {
	return w.deregistered || w.report.Draining
}

// leaseOver reports whether the worker's lease has certainly expired.
func (w *workerState) leaseOver(now time.Time) bool {
	return now.Sub(w.lastExtended) >= LeaseDuration+ExpiryMargin
}

// clockLagDivisor bounds how slow the worker's clock may be: it may lose 1/clockLagDivisor of the time.
const clockLagDivisor = 50

// extendLease returns the end of a lease that starts now, on the worker's clock, and
// records the extension. The clock counts as slow since it was read, because a lease that is computed
// from an old reading would end too late otherwise.
func (w *workerState) extendLease(now time.Time) time.Duration {
	w.lastExtended = now
	sinceRead := now.Sub(w.clockAt)
	return w.clock + sinceRead - sinceRead/clockLagDivisor + LeaseDuration
}

// setClock records a reading of the worker's clock.
func (w *workerState) setClock(now time.Time, clock time.Duration) {
	w.clock, w.clockAt = clock, now
}

// WorkerReported handles a report of this agent's worker. Anyone can send one, so a report
// shows neither that an incarnation runs nor that another one has exited. While one may
// still run, another that is reported only becomes its successor.
func (x *Executor) WorkerReported(now time.Time, r WorkerReport) ([]Effect, error) {
	if err := r.check(x.Addr); err != nil {
		return nil, err
	}
	if !x.Policy.Evacuations {
		r.ColdFor = 0
	}
	w := x.worker
	var before WorkerReport
	if w != nil {
		before = w.report
	}
	switch {
	case w == nil || (w.presence == exited && !r.WorkerIncarnation.Equal(w.WorkerIncarnation)):
		return x.adopt(now, r), nil
	case !r.WorkerIncarnation.Equal(w.WorkerIncarnation):
		if s := x.successor; s != nil && s.report.WorkerIncarnation.Equal(r.WorkerIncarnation) {
			r.Draining = r.Draining || s.report.Draining
		}
		x.successor = &successor{r, now}
		return []Effect{HoldNow{}}, nil
	}
	// A late report leaves the remaining time of the one before, which counts from the arrival of that.
	late := r.Clock < w.report.Clock
	changed := w.acceptReport(r)
	if moved := !late && w.noteLeaving(now) && x.Policy.LeaveNotice; !changed && !moved {
		return nil, nil
	}
	var effects []Effect
	if !before.sameKind(&w.report) {
		// Queued runs were meant for a worker of the other kind.
		effects = x.refuseQueue(now, NoWorker)
	}
	effects = append(effects, x.sendStatus(now)...)
	return append(effects, x.refuseEvacuated(now)...), nil
}

// acceptReport takes over a report of the same incarnation, and reports whether it changes anything.
//
// Another writer may have sent the report, or the one before, so neither keeps out a later report of
// the worker. Reports are ordered by the worker's clock, and the clock in a report counts up to the
// reading in the last answer to a hold, which only the worker gives. A late report that says ready is
// dropped. One that says draining always counts, until two reports with different readings say ready.
func (w *workerState) acceptReport(r WorkerReport) (changed bool) {
	late := r.Clock < w.report.Clock
	switch {
	case late && !r.Draining:
		return false
	case r.Draining:
		w.withdrawing = false
	case w.report.Draining && (!w.withdrawing || w.withdrawal == r.Clock):
		w.withdrawal, w.withdrawing = r.Clock, true
		r.Draining = true
	}
	if late {
		r = w.report
		r.Draining = true
	}
	r.Clock = max(w.report.Clock, min(r.Clock, w.clock))
	// A worker that reports gets runs again: the deregistration may have come late, from an
	// earlier incarnation of the same name.
	changed = !r.Describes(&w.report) || w.left
	w.report, w.left = r, false
	return changed
}

// adopt replaces the worker by an incarnation that was reported. It gets no runs before it has
// answered a hold.
func (x *Executor) adopt(now time.Time, r WorkerReport) []Effect {
	effects := x.endRuns(now, WorkerReplaced, now)
	// The new incarnation has seen no fencing token yet, so a late order meant for the
	// earlier one could start a run there. A higher token prevents that.
	x.Fence++
	r.Clock = 0
	x.worker, x.successor = &workerState{WorkerIncarnation: r.WorkerIncarnation, report: r, fence: x.Fence}, nil
	x.worker.noteLeaving(now)
	return append(effects, HoldNow{})
}

// WorkerRestored handles the last report that an earlier incarnation of this agent stored.
// It is used until the worker sends a report; the first hold shows whether the worker is
// still the same incarnation. It has no effects if the worker has sent one already.
func (x *Executor) WorkerRestored(now time.Time, r WorkerReport) ([]Effect, error) {
	if err := r.check(x.Addr); err != nil || x.worker != nil {
		return nil, err
	}
	// The time until a draining worker leaves has passed in part since the report was stored.
	r.Remaining = 0
	return x.WorkerReported(now, r)
}

// WorkerReport returns the worker's latest report, if the worker has answered a hold.
func (x *Executor) WorkerReport() (WorkerReport, bool) {
	if x.worker == nil || x.worker.presence != present {
		return WorkerReport{}, false
	}
	return x.worker.report, true
}

// WorkerLeft handles the deregistration of a worker that shuts down. It names no incarnation
// and may come late, so it is no evidence that runs have ended: they go on until the worker
// lists their ends or has exited, and the worker is looked at. Meanwhile it gets no more runs.
// There are no effects if the deregistration names another worker or repeats an earlier one.
func (x *Executor) WorkerLeft(now time.Time, worker string) []Effect {
	if x.worker == nil || x.worker.Name != worker || x.worker.left {
		return nil
	}
	x.worker.deregistered, x.worker.left = true, true
	effects := append([]Effect{HoldNow{}}, x.refuseQueue(now, NoWorker)...)
	return append(effects, x.sendStatus(now)...)
}
