package main

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/soaker"
)

// TestSoak runs gateways and sidecars as processes under the faults of one seed, for a
// short time. Use the command soak for longer runs.
func TestSoak(t *testing.T) {
	t.Parallel()
	assertSoak(t, 1, 2*soaker.MinDuration)
}

// TestSoakRegressions runs the seeds that have failed, each with its cause.
func TestSoakRegressions(t *testing.T) {
	for _, c := range []struct {
		seed  uint64
		cause string
	}{
		{3036, "a queue confined for a worker that crashed twice in a row with the same task on it"},
		{6038, "jobs refused for their backlog, forecast from a few starts while long tasks took all capacity"},
	} {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			t.Parallel()
			assertSoak(t, c.seed, 25*time.Second)
		})
	}
}

// assertSoak runs one soak and fails the test if it finds a violation.
func assertSoak(t *testing.T, seed uint64, d time.Duration) {
	var faults bytes.Buffer
	report, err := soaker.Run(context.Background(), soaker.Settings{
		Seed: seed, Duration: d, Size: soaker.Size{Gateways: 2, Workers: 3},
		IP: soakTestAddr(seed), Dir: t.TempDir(),
		Program: soaker.Program{Path: testBinary(t), Env: programEnv()}, FaultLog: &faults,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(report.Violations), 0, "%s\n%s", report, faults.String())
	assert.Assert(t, report.Jobs > 0 && report.Starts > report.Jobs, "%s", report)
}

// soakTestAddr returns a loopback address for the soak of a seed in this process. Soaks run by
// hand have addresses with another second byte.
func soakTestAddr(seed uint64) netip.Addr {
	a := soakAddr(os.Getpid()).As4()
	a[1] = byte(1 + seed%127)
	return netip.AddrFrom4(a)
}
