package soaker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestDraw holds the plan of a seed: it must not change, or the seeds on record would name
// other plans.
func TestDraw(t *testing.T) {
	var out strings.Builder
	for _, f := range GeneratePlan(1, 20*time.Second, Size{Gateways: 2, Workers: 3}) {
		fmt.Fprintln(&out, f)
	}
	golden.Assert(t, out.String(), "plan.golden")
}

// TestCalm shows that no fault lasts into the calm at the end.
func TestCalm(t *testing.T) {
	for seed := range uint64(200) {
		for _, f := range GeneratePlan(seed, MinDuration+time.Duration(seed)*100*time.Millisecond, Size{Gateways: 3, Workers: 9}) {
			assert.Assert(t, f.At >= warmUp && f.At+f.Duration <= MinDuration+time.Duration(seed)*100*time.Millisecond-faultFreeDuration, "seed %d: %s", seed, f)
		}
	}
}
