package prover

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The aims for the times of recovery.
const (
	takeoverAim = 2 * time.Second
	leaveAim    = 2 * time.Second
)

// TestTakeoverTime measures from the kill of an owner to the whole answer of a job
// that comes at that moment.
func TestTakeoverTime(t *testing.T) {
	measureAnswer(t, func(w *world) { w.kill(w.entries[0]) })
}

// TestHandoverTime measures the same for an owner that stops in good order.
func TestHandoverTime(t *testing.T) {
	measureAnswer(t, func(w *world) { w.entries[0].stop() })
}

// measureAnswer holds the time until a job is answered, less the runs of its tasks, to
// the aim, in virtual time, when something befalls its owner just before.
func measureAnswer(t *testing.T, befall func(*world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		job := w.job(8, 0)
		befall(w)
		begun := time.Now()
		a := w.submit(w.entries[1], job)
		<-a.given
		took := time.Since(begun) - w.run
		t.Logf("answered after %s", took)
		assert.Assert(t, a.answer.Complete)
		assert.Assert(t, took <= takeoverAim, "the answer took %s", took)
		assert.Equal(t, w.close(), "")
	})
}

// TestLeaveTime measures from the stop of a busy agent to the last start that it
// accepts, and to its end.
func TestLeaveTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.submit(w.entries[0], w.job(120, 0))
		time.Sleep(20 * time.Millisecond)
		begun := time.Now()
		w.agent().stop()
		<-w.agent().ended
		took := time.Since(begun) - w.run
		t.Logf("left after %s", took)
		assert.Assert(t, took <= leaveAim, "leaving took %s", took)
		<-a.given
		assert.Assert(t, a.answer.Complete)
		assert.Equal(t, w.close(), "")
	})
}
