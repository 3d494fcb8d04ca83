package loadtester

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/front/client"
)

// slowdownScale converts slowdowns to the integers that the histograms record.
const slowdownScale = 1000

// Report is the result of a load test.
type Report struct {
	// Urgent is about the urgent jobs outside the peak, Peak about those in it, and Long
	// about the jobs that are not urgent.
	Urgent JobClass `json:"urgent"`
	Peak   JobClass `json:"peak"`
	Long   JobClass `json:"long"`
	// Starts is the number of tasks that were started.
	Starts float64 `json:"starts"`
	// WastedPerStart is the number of messages per start that carried neither a start nor
	// the end of a task.
	WastedPerStart float64 `json:"wasted_messages_per_start"`
	// EntryMicrosPerStart and AgentMicrosPerStart are the processor time for each start,
	// summed over all processes of a role, in microseconds. They are 0 if they were not
	// measured.
	EntryMicrosPerStart float64 `json:"entry_cpu_us_per_start"`
	AgentMicrosPerStart float64 `json:"agent_cpu_us_per_start"`

	config *Config
}

// JobClass is the result for one class of jobs.
type JobClass struct {
	Jobs     int `json:"jobs"`
	Complete int `json:"complete"`
	// Refused counts the jobs that were refused as not run, and Failed those that got any
	// other incomplete answer, or none.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// P50, P99 and P999 are percentiles of the slowdown of complete jobs. The slowdown is
	// the latency of a job divided by the run time of its longest task.
	P50  float64 `json:"slowdown_p50"`
	P99  float64 `json:"slowdown_p99"`
	P999 float64 `json:"slowdown_p999"`
	// GoodputSeconds is the run time of all tasks of complete jobs, in seconds.
	GoodputSeconds float64 `json:"goodput_seconds"`

	slowdowns *hdrhistogram.Histogram
}

// newReport returns an empty report. The histograms record slowdowns up to that of a job
// of 1 ms that is answered after an hour, with three significant digits.
func newReport(cfg *Config) *Report {
	r := &Report{config: cfg}
	for _, c := range []*JobClass{&r.Urgent, &r.Peak, &r.Long} {
		c.slowdowns = hdrhistogram.New(1, int64(time.Hour/time.Millisecond)*slowdownScale, 3)
	}
	return r
}

// add adds the outcome of a job to its class.
func (r *Report) add(o outcome) {
	c := &r.Urgent
	switch {
	case !o.arrival.urgent:
		c = &r.Long
	case o.arrival.peak:
		c = &r.Peak
	}
	c.add(o)
}

// add counts the outcome of a job. Only complete jobs have a slowdown.
func (c *JobClass) add(o outcome) {
	c.Jobs++
	var refused *client.RefusedError
	switch {
	case o.err == nil && o.answer.Complete():
		c.Complete++
		ratio := float64(o.latency) / float64(o.arrival.idealLatency())
		_ = c.slowdowns.RecordValue(int64(ratio * slowdownScale))
		for _, run := range o.arrival.runs {
			c.GoodputSeconds += run.Seconds()
		}
	case errors.As(o.err, &refused) && refused.NotRun:
		c.Refused++
	default:
		c.Failed++
	}
}

// finish computes the percentiles from the histograms, and the costs per start from the
// growth of the metrics during the load.
func (r *Report) finish(growth cellMetrics) {
	for _, c := range []*JobClass{&r.Urgent, &r.Peak, &r.Long} {
		quantile := func(q float64) float64 { return float64(c.slowdowns.ValueAtQuantile(q)) / slowdownScale }
		c.P50, c.P99, c.P999 = quantile(50), quantile(99), quantile(99.9)
	}
	e, a := growth.entries, growth.agents
	r.Starts = e["dandeliongrade_entry_starts_total"]
	if r.Starts == 0 {
		return
	}
	wasted := e["dandeliongrade_entry_wants_total"] + e["dandeliongrade_entry_returns_total"] +
		e["dandeliongrade_entry_not_started_total"] + e["dandeliongrade_entry_revokes_total"] +
		a["dandeliongrade_agent_grants_total"] + a["dandeliongrade_agent_recalls_total"]
	r.WastedPerStart = wasted / r.Starts
	r.EntryMicrosPerStart = e["process_cpu_seconds_total"] * 1e6 / r.Starts
	r.AgentMicrosPerStart = a["process_cpu_seconds_total"] * 1e6 / r.Starts
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%-8s %7s %9s %8s %7s %8s %8s %8s %9s\n", "class", "jobs", "complete", "refused", "failed", "p50", "p99", "p99.9", "goodput")
	for _, row := range []struct {
		name  string
		class *JobClass
	}{{"urgent", &r.Urgent}, {"peak", &r.Peak}, {"long", &r.Long}} {
		c := row.class
		fmt.Fprintf(w, "%-8s %7d %9d %8d %7d %8.2f %8.2f %8.2f %8.1fs\n", row.name, c.Jobs, c.Complete, c.Refused, c.Failed, c.P50, c.P99, c.P999, c.GoodputSeconds)
	}
	fmt.Fprintf(w, "starts %.0f, wasted messages per start %.3f, processor per start: entries %.1f us, agents %.1f us\n",
		r.Starts, r.WastedPerStart, r.EntryMicrosPerStart, r.AgentMicrosPerStart)
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(r), "write the report")
}
