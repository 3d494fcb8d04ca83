package simulator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStartsWhileBlocked counts the starts that an agent refuses while it withholds the lease, because
// its worker answers no stops. It guards against a gateway and an agent that send a start and its
// refusal to and fro as fast as the network carries them: a gateway has no reason to try a task again
// before its next tick.
func TestStartsWhileBlocked(t *testing.T) {
	s := newSimulation(1, 1, 1)
	s.run(500 * time.Millisecond)
	w := s.agents[0].worker
	w.deaf, w.slowness = true, 100
	s.submit(1, 1, 5*time.Second, 100*time.Millisecond, "")
	s.run(800 * time.Millisecond)
	assert.Equal(t, len(w.running), 1)
	const ticks = 8
	s.submit(2, 1, 5*time.Second, 0, "")
	s.run(ticks * tickInterval)
	assert.Assert(t, s.refused <= ticks+1, "%d refused starts in %s", s.refused, ticks*tickInterval)
}
