package executor

import "time"

// standstillAfter is the time without a Tick after which this process counts as having stood still. A
// worker that crashes is back later than that, and without a standstill its end is noticed at once.
const standstillAfter = 100 * time.Millisecond

// noteStandstill records a standstill of this process, in which the worker may have been replaced unnoticed.
func (x *Executor) noteStandstill(now time.Time) {
	if !x.lastTick.IsZero() && now.Sub(x.lastTick) >= standstillAfter {
		x.resumedAt, x.lastTick = now, now
	}
}

// workerChecked reports whether the worker has answered a hold that was sent after the last standstill
// of this process. Until then another incarnation, of another kind, may be at its address.
func (x *Executor) workerChecked(now time.Time) bool {
	x.noteStandstill(now)
	return x.resumedAt.IsZero() || !x.worker.lastAnswered.Before(x.resumedAt)
}

// meantFor reports whether a start was decided for this incarnation of the worker, as far as its
// gateway knows.
func (m *Start) meantFor(w *workerState) bool {
	return m.WorkerStartedAt.IsZero() || m.WorkerStartedAt.Equal(w.StartedAt)
}
