package prover

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The aims for the times of recovery.
const (
	maxTakeover = 2 * time.Second
	maxLeave    = 2 * time.Second
)

// TestTakeoverTime measures from the kill of an owner to the whole answer of a job
// that comes at that moment.
func TestTakeoverTime(t *testing.T) {
	measureAnswer(t, func(c *cell) { c.kill(c.entries[0]) })
}

// TestHandoverTime measures the same for an owner that stops in good order.
func TestHandoverTime(t *testing.T) {
	measureAnswer(t, func(c *cell) { c.entries[0].stop() })
}

// measureAnswer holds the time until a job is answered, less the runs of its tasks, to
// the aim, in virtual time, when something befalls its owner just before.
func measureAnswer(t *testing.T, fault func(*cell)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		job := c.newJob(8, 0)
		fault(c)
		start := time.Now()
		a := c.submit(c.entries[1], job)
		<-a.answered
		took := time.Since(start) - c.run
		t.Logf("answered after %s", took)
		assert.Assert(t, a.answer.Complete)
		assert.Assert(t, took <= maxTakeover, "the answer took %s", took)
		assert.Equal(t, c.close(), "")
	})
}

// TestLeaveTime measures from the stop of a busy agent to the last start that it
// accepts, and to its end.
func TestLeaveTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a := c.submit(c.entries[0], c.newJob(120, 0))
		time.Sleep(20 * time.Millisecond)
		start := time.Now()
		c.agent().stop()
		<-c.agent().ended
		took := time.Since(start) - c.run
		t.Logf("left after %s", took)
		assert.Assert(t, took <= maxLeave, "leaving took %s", took)
		<-a.answered
		assert.Assert(t, a.answer.Complete)
		assert.Equal(t, c.close(), "")
	})
}
