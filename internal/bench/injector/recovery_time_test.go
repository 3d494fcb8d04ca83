package injector

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The bounds on the recovery times, in virtual time.
const (
	// maxAnswerDelay bounds the time from the submission of a job whose owner has been
	// killed or shut down to its answer, without the run time of its tasks.
	maxAnswerDelay = 2 * time.Second
	// maxShutdown bounds the time that a busy agent takes to shut down, without the run
	// time of its last tasks.
	maxShutdown = 2 * time.Second
)

// TestTakeoverTime measures how long a job takes to get a complete answer if it is
// submitted at the moment when its owner is killed.
func TestTakeoverTime(t *testing.T) {
	measureAnswer(t, func(c *cell) { c.kill(c.entries[0]) })
}

// TestHandoverTime measures the same for an owner that is shut down gracefully.
func TestHandoverTime(t *testing.T) {
	measureAnswer(t, func(c *cell) { c.entries[0].stop() })
}

// measureAnswer injects a fault into the owner of a job and submits the job right after.
// It checks that the answer is complete and that its delay is at most maxAnswerDelay.
func measureAnswer(t *testing.T, inject func(*cell)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		job := c.newJob(8, 0)
		inject(c)
		start := time.Now()
		r := c.submit(c.entries[1], job)
		<-r.answered
		took := time.Since(start) - c.run
		t.Logf("answered after %s", took)
		assert.Assert(t, r.answer.Complete)
		assert.Assert(t, took <= maxAnswerDelay, "the answer took %s", took)
		assert.Equal(t, c.close(), "")
	})
}

// TestLeaveTime measures how long a busy agent takes to shut down, without the run time of
// its last tasks. Its job must get a complete answer all the same.
func TestLeaveTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		r := c.submit(c.entries[0], c.newJob(120, 0))
		time.Sleep(20 * time.Millisecond)
		start := time.Now()
		c.firstAgent().stop()
		<-c.firstAgent().ended
		took := time.Since(start) - c.run
		t.Logf("stopped after %s", took)
		assert.Assert(t, took <= maxShutdown, "the shutdown took %s", took)
		<-r.answered
		assert.Assert(t, r.answer.Complete)
		assert.Equal(t, c.close(), "")
	})
}
