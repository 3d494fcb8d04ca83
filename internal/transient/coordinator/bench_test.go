package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// BenchmarkFull is what a word of an agent costs a gateway while all workers are full and
// jobs of three queues wait.
func BenchmarkFull(b *testing.B) {
	const agents, jobs = 64, 200
	now := time.Unix(0, 0)
	c := Coordinator{Zone: "a"}
	full := specifier.Resources{CPU: 16_000, Memory: 1 << 16}
	for n := range agents {
		name := identifier.Agent(fmt.Sprintf("side-%d", n))
		c.AgentLinked(now, name, 1)
		c.Attached(now, name, &executor.Attach{Status: executor.Status{Available: true, Service: "s", Zone: "a", Capacity: full, Others: full}})
	}
	for n := range jobs {
		queue := specifier.Queue{Name: fmt.Sprintf("q%d", n%3), Service: "s", Priority: n % 3}
		c.Submit(now, specifier.Job{
			ID: specifier.JobID(fmt.Sprintf("%016x", n)), Queue: queue, Tasks: 4, Demand: specifier.Resources{CPU: 1600, Memory: 64},
			Estimate: 100 * time.Millisecond, Budget: time.Second,
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Load(now, "side-7", full)
	}
}
