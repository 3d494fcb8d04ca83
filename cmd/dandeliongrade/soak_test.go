package main

import (
	"bytes"
	"context"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/soaker"
)

// TestSoak runs gateways and sidecars as processes under the faults of one seed, for a
// short time. Use the command soak for longer runs.
func TestSoak(t *testing.T) {
	t.Parallel()
	var faults bytes.Buffer
	report, err := soaker.Run(context.Background(), soaker.Settings{
		Seed: 1, Duration: 2 * soaker.MinDuration, Size: soaker.Size{Gateways: 2, Workers: 3},
		IP: soakAddr(os.Getpid()), Dir: t.TempDir(),
		Program: soaker.Program{Path: testBinary(t), Env: programEnv()}, FaultLog: &faults,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(report.Violations), 0, "%s\n%s", report, faults.String())
	assert.Assert(t, report.Jobs > 0 && report.Starts > report.Jobs, "%s", report)
}
