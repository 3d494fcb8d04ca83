package owner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/allocator"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
)

// benchOwner returns an owner of all partitions with the given number of agents, each
// with 8 slots.
func benchOwner(agents int) *Owner {
	o := New(Settings{Partitions: 64, Retention: time.Hour, MaxWaiting: 1 << 30})
	for p := range 64 {
		c := starter.Claim{Partition: identifier.Partition(p), Epoch: 1}
		o.Claim(c)
		o.Serve(scripter.Epoch, c, time.Time{})
	}
	o.ConfirmLease(scripter.Epoch, scripter.Epoch.Add(time.Hour), scripter.Epoch.Add(time.Hour))
	for i := range agents {
		name := identifier.Agent(fmt.Sprintf("agent-%d", i))
		o.AgentLinked(name, 1)
		o.HandleGrant(scripter.Epoch, name, &allocator.Grant{Incarnation: 1, Slots: 8})
	}
	return o
}

func benchJob(i, tasks int) describer.Job {
	return describer.Job{
		Submission: identifier.Submission{Workspace: fmt.Sprintf("workspace-%d", i%50), Key: fmt.Sprintf("key-%d", i)},
		Created:    scripter.Epoch, Template: "stock", Path: "/stock", Urgent: true, Budget: time.Minute, Timeout: time.Second,
		Inputs: make([][]byte, tasks),
	}
}

// answerStarts reports success for every task that the effects start, and for those
// started in consequence.
func answerStarts(o *Owner, effects []Effect) {
	for len(effects) > 0 {
		var more []Effect
		for _, e := range effects {
			s, ok := e.(Send)
			if !ok {
				continue
			}
			if m, ok := s.Message.(*starter.Start); ok {
				ended := &starter.Ended{Incarnation: 1, Task: m.Task, Result: describer.Result{Outcome: describer.Succeeded}, GrantedSlots: 1}
				more = append(more, o.HandleEnded(scripter.Epoch, s.Agent, ended)...)
			}
		}
		effects = more
	}
}

// BenchmarkStart measures the decisions of the owner for one task, from admission to
// result.
func BenchmarkStart(b *testing.B) {
	for _, agents := range []int{11, 128, 1600} {
		for _, tasks := range []int{1, 10, 130} {
			b.Run(fmt.Sprintf("agents=%d/tasks=%d", agents, tasks), func(b *testing.B) {
				o := benchOwner(agents)
				b.ReportAllocs()
				b.ResetTimer()
				for i := 0; i < b.N; i += tasks {
					answerStarts(o, o.Submit(scripter.Epoch, RequestID{Entry: "e"}, benchJob(i, tasks)))
				}
			})
		}
	}
}

// BenchmarkIdentity measures the memory of an identity that is kept after its answer.
func BenchmarkIdentity(b *testing.B) {
	const identities = 20_000
	for _, tasks := range []int{1, 10, 130} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for range b.N {
				before := heapSize()
				o := benchOwner(11)
				for i := range identities {
					answerStarts(o, o.Submit(scripter.Epoch, RequestID{Entry: "e"}, benchJob(i, tasks)))
				}
				b.ReportMetric(float64(heapSize()-before)/identities, "B/identity")
				runtime.KeepAlive(o)
			}
		})
	}
}

func heapSize() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMove measures the handover and release of half of the partitions, during
// which an entry holds its lock.
func BenchmarkMove(b *testing.B) {
	for _, identities := range []int{1_000, 30_000} {
		b.Run(fmt.Sprintf("identities=%d", identities), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				o := benchOwner(11)
				for i := range identities {
					answerStarts(o, o.Submit(scripter.Epoch, RequestID{Entry: "e"}, benchJob(i, 4)))
				}
				b.StartTimer()
				for p := range identifier.Partition(32) {
					o.ExportHandover(p)
					o.Release(p)
				}
			}
		})
	}
}
