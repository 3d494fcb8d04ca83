package soaker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStandstill checks which calls count as disturbed by standstills of the machine. It guards
// against violations that are none, and against standstills that excuse a call beside them.
func TestStandstill(t *testing.T) {
	epoch := time.Unix(0, 0)
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	var p pulse
	for ms := 0; ms <= 1000; ms += 20 {
		p.beat(at(ms))
	}
	p.beat(at(1100)) // a late beat, but no standstill
	p.beat(at(1520)) // a standstill of 400 ms from 1120
	for ms := 1540; ms <= 3000; ms += 20 {
		p.beat(at(ms))
	}
	for _, c := range []struct {
		from, to int
		still    bool
	}{
		{0, 1100, false},
		{0, 1419, false},
		{0, 1420, true},
		{1000, 3000, true},
		{1220, 3000, true},
		{1221, 3000, false},
		{1520, 3000, false},
	} {
		assert.Equal(t, p.stoodStill(at(c.from), at(c.to)), c.still, "from %d to %d", c.from, c.to)
	}
	assert.Assert(t, p.stoodStill(at(3000), at(3400)), "the machine stands still since the last beat")
	n, sum := p.total()
	assert.Equal(t, n, 2)
	assert.Equal(t, sum, 780*time.Millisecond)
}
