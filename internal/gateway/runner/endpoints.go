package runner

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dandeliongrade/dandeliongrade/internal/report/exporter"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/coordinator"
)

// counters holds the metrics of a gateway.
type counters struct {
	set                                                 *metrics.Set
	jobs, messagesSent, messagesReceived, storeFailures *metrics.Counter
	completed, failed, cancelled, notRun, unfinished    *metrics.Counter
	// manifestsSent and manifestsReceived count the manifests that gateways pass on to each
	// other, peerLinksLost the links between gateways that have ended.
	manifestsSent, manifestsReceived, peerLinksLost *metrics.Counter
	// operatorRowsSkipped counts the rows of the operator that could not be read, or whose key names
	// no data centre.
	operatorRowsSkipped *metrics.Counter
	// refusedEvacuated counts the starts that agents refused because their data centre is evacuated.
	refusedEvacuated *metrics.Counter
	// heldInVain counts the jobs of which nothing was started by their deadline.
	heldInVain *metrics.Counter
	// refusals counts the jobs that were answered as not run by the cause, refusalSeconds is the time
	// from their arrival until then, and refusedWithCapacity counts those for which a worker had the
	// capacity.
	refusals            func(cause string) *metrics.Counter
	refusalSeconds      *metrics.Histogram
	refusedWithCapacity *metrics.Counter
	// closedUnread counts the jobs of which no further task was started because their callers had
	// closed the connection, before this process had read that.
	closedUnread *metrics.Counter
	// claimsGranted and claimsRecalled count the decisions of this gateway on claims.
	claimsGranted, claimsRecalled *metrics.Counter
	// backlogsSent and backlogsReceived count the reports of backlogs to and from other gateways.
	backlogsSent, backlogsReceived *metrics.Counter
	// cancels counts the cancels of callers, and cancelsUnanswered those for which a gateway that was
	// asked has not answered in time.
	cancels, cancelsUnanswered *metrics.Counter
	answerSeconds              *metrics.Histogram
	// resubmitted counts the jobs that were known or answered here when they were submitted.
	resubmitted *metrics.Counter
	// runsLost counts the lost runs by the ground, events the other logged events by their names.
	runsLost map[coordinator.Ground]*metrics.Counter
	events   map[string]*metrics.Counter
}

// newCounters registers the metrics in a set of their own.
func newCounters() counters {
	set := metrics.NewSet()
	count := func(name string) *metrics.Counter { return set.NewCounter("dandeliongrade_gateway_" + name) }
	runsLost := make(map[coordinator.Ground]*metrics.Counter)
	for _, g := range coordinator.Grounds() {
		runsLost[g] = count(`runs_lost_total{ground="` + g.String() + `"}`)
	}
	return counters{
		set:              set,
		jobs:             count("jobs_total"),
		messagesSent:     count("messages_sent_total"),
		messagesReceived: count("messages_received_total"),
		storeFailures:    count("store_failures_total"),

		manifestsSent:     count("manifests_sent_total"),
		manifestsReceived: count("manifests_received_total"),
		peerLinksLost:     count("peer_links_lost_total"),

		operatorRowsSkipped: count("operator_rows_skipped_total"),
		refusedEvacuated:    count("starts_refused_evacuated_total"),

		completed:  count(`answers_total{state="completed"}`),
		failed:     count(`answers_total{state="failed"}`),
		cancelled:  count(`answers_total{state="cancelled"}`),
		notRun:     count(`answers_total{state="not_run"}`),
		unfinished: count(`answers_total{state="unfinished"}`),
		heldInVain: count("jobs_held_in_vain_total"),

		refusals: func(cause string) *metrics.Counter {
			return set.GetOrCreateCounter("dandeliongrade_gateway_refusals_total{cause=" + strconv.Quote(cause) + "}")
		},
		refusalSeconds:      set.NewHistogram("dandeliongrade_gateway_refusal_seconds"),
		refusedWithCapacity: count("jobs_refused_with_capacity_total"),

		closedUnread: count("jobs_closed_unread_total"),
		resubmitted:  count("jobs_resubmitted_total"),

		claimsGranted:  count("claims_granted_total"),
		claimsRecalled: count("claims_recalled_total"),

		backlogsSent:      count("backlog_reports_sent_total"),
		backlogsReceived:  count("backlog_reports_received_total"),
		cancels:           count("cancels_total"),
		cancelsUnanswered: count("cancels_unanswered_total"),

		runsLost: runsLost,
		events: map[string]*metrics.Counter{
			coordinator.EventWorkerStalled:  count("workers_stalled_total"),
			coordinator.EventRefusedInError: count("jobs_refused_in_error_total"),
			coordinator.EventRunMoved:       count("runs_moved_total"),
			coordinator.EventTaskBlamed:     count("tasks_blamed_total"),

			coordinator.EventClaimContested:  count("claims_contested_total"),
			coordinator.EventClaimUnanswered: count("claims_unanswered_total"),
		},
		answerSeconds: set.NewHistogram("dandeliongrade_gateway_answer_seconds"),
	}
}

// answers returns the counter of answers with the given state.
func (c *counters) answers(s coordinator.State) *metrics.Counter {
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

// endpoints registers the gauges and returns the endpoints of the admin port: metrics and
// readiness.
func (r *Runner) endpoints() exporter.Endpoints {
	r.counters.set.NewGauge("dandeliongrade_gateway_open_jobs", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.coordinator.OpenJobs())
	})
	r.counters.set.NewGauge("dandeliongrade_gateway_claims", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.arbiter.Claims())
	})
	r.counters.set.NewGauge("dandeliongrade_gateway_agents", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(len(r.agentLinks))
	})
	r.counters.set.NewGauge("dandeliongrade_gateway_manifest_version", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.router.Manifest().Version)
	})
	r.counters.set.NewGauge("dandeliongrade_gateway_evacuated_data_centres", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.evacuator.Count())
	})
	r.backlogGauges()
	return exporter.Endpoints{Metrics: r.counters.set, Ready: r.Ready}
}
