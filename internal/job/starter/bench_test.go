package starter

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

func benchStarter() *Starter {
	s := &Starter{Incarnation: 1, Retention: time.Hour}
	s.RecordLeaseRequest(scripter.Epoch, "e1", 1)
	s.HandleLeaseReply("e1", &LeaseReply{Sequence: 1, Remaining: time.Hour})
	return s
}

func benchStart(s *Starter, i int) {
	task := identifier.Task{Submission: identifier.Submission{Workspace: "workspace", Key: fmt.Sprintf("key-%d", i/10)}, Index: i % 10}
	s.Start(scripter.Epoch, "e1", &Start{Incarnation: 1, Epoch: 1, Task: task, Attempt: 1}, true)
	s.End(task, describer.Result{Outcome: describer.Succeeded})
}

// BenchmarkStart measures the agent's decision on one task and the record of its end.
func BenchmarkStart(b *testing.B) {
	s := benchStarter()
	b.ReportAllocs()
	for i := range b.N {
		benchStart(s, i)
	}
}

// BenchmarkRecord measures the memory that a record takes.
func BenchmarkRecord(b *testing.B) {
	const records = 100_000
	for range b.N {
		before := heapSize()
		s := benchStarter()
		for i := range records {
			benchStart(s, i)
		}
		b.ReportMetric(float64(heapSize()-before)/records, "B/record")
		runtime.KeepAlive(s)
	}
}

func heapSize() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
