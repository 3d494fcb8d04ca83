package soaker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestGeneratePlan checks that the plan of a seed does not change. Otherwise the seeds on
// record would stand for other plans.
func TestGeneratePlan(t *testing.T) {
	var out strings.Builder
	for _, f := range GeneratePlan(1, 20*time.Second, Size{Gateways: 2, Workers: 3}) {
		fmt.Fprintln(&out, f)
	}
	golden.Assert(t, out.String(), "plan.golden")
}

// TestFaultFreePeriod checks that every fault starts after the warm-up and ends before the
// fault-free period at the end of a soak.
func TestFaultFreePeriod(t *testing.T) {
	for seed := range uint64(200) {
		for _, f := range GeneratePlan(seed, MinDuration+time.Duration(seed)*100*time.Millisecond, Size{Gateways: 3, Workers: 9}) {
			assert.Assert(t, f.At >= warmUp && f.At+f.Duration <= MinDuration+time.Duration(seed)*100*time.Millisecond-faultFreeDuration, "seed %d: %s", seed, f)
		}
	}
}
