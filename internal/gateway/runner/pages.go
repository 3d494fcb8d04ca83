package runner

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/dandeliongrade/dandeliongrade/internal/report/exporter"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/coordinator"
)

// counters count what a gateway does.
type counters struct {
	set                                              *metrics.Set
	jobs, lost, sent, received, storeFailures        *metrics.Counter
	completed, failed, cancelled, notRun, unfinished *metrics.Counter
	took                                             *metrics.Histogram
}

func newCounters() counters {
	set := metrics.NewSet()
	count := func(name string) *metrics.Counter { return set.NewCounter("dandeliongrade_gateway_" + name) }
	return counters{
		set:           set,
		jobs:          count("jobs_total"),
		lost:          count("runs_lost_total"),
		sent:          count("messages_sent_total"),
		received:      count("messages_received_total"),
		storeFailures: count("store_failures_total"),
		completed:     count(`answers_total{state="completed"}`),
		failed:        count(`answers_total{state="failed"}`),
		cancelled:     count(`answers_total{state="cancelled"}`),
		notRun:        count(`answers_total{state="not_run"}`),
		unfinished:    count(`answers_total{state="unfinished"}`),
		took:          set.NewHistogram("dandeliongrade_gateway_answer_seconds"),
	}
}

// answer returns the counter of the answers with a state.
func (c *counters) answer(s coordinator.State) *metrics.Counter {
	switch s {
	case coordinator.Completed:
		return c.completed
	case coordinator.Failed:
		return c.failed
	case coordinator.Cancelled:
		return c.cancelled
	case coordinator.NotRun:
		return c.notRun
	}
	return c.unfinished
}

// pages returns what operators read.
func (r *Runner) pages() exporter.Endpoints {
	r.counters.set.NewGauge("dandeliongrade_gateway_open_jobs", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.coordinator.OpenJobs())
	})
	r.counters.set.NewGauge("dandeliongrade_gateway_agents", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(len(r.agents))
	})
	return exporter.Endpoints{Metrics: r.counters.set, Ready: r.Ready}
}
