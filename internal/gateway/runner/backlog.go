package runner

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/load/tracker"
)

// backlogLogInterval is the time between two log lines on the backlog of the cell while it lasts.
const backlogLogInterval = time.Second

// backlogs holds what gateways report to each other of their backlogs, if the policy shares them.
type backlogs struct {
	tracker tracker.Tracker
	// known is set while a backlog is known of, here or elsewhere, and loggedAt is when it was logged last.
	known    bool
	loggedAt time.Time
}

// reportBacklog sends the backlog of this gateway to the gateways that are linked, if that is due. The
// caller holds the lock.
func (r *Runner) reportBacklog(now time.Time) {
	t := &r.backlogs.tracker
	if !r.settings.Policy.SharedBacklog || !t.Due(now) {
		return
	}
	linked := r.linkedGateways()
	known := len(linked)
	if !r.linker.FullMesh() {
		known = len(r.linker.Known()) - 1
	}
	t.SetCell(known, len(linked), r.coordinator.Capacity().CPU)
	report, send := t.Report(now, r.coordinator.ReportBacklog(now))
	if send {
		for _, gateway := range linked {
			r.sendGateway(now, gateway, &report)
			r.counters.backlogsSent.Inc()
		}
	}
	r.logBacklog(now)
}

// handleBacklog records the report of another gateway. The caller holds the lock. Without the policy,
// the report has no effect.
func (r *Runner) handleBacklog(now time.Time, from identifier.Entry, m *tracker.Report) {
	r.counters.backlogsReceived.Inc()
	if r.settings.Policy.SharedBacklog {
		r.backlogs.tracker.Handle(now, from, m)
	}
}

// dropBacklog drops the report of a gateway if its last link has ended. The caller holds the lock.
func (r *Runner) dropBacklog(gateway identifier.Entry) {
	if !slices.Contains(r.linkedGateways(), gateway) {
		r.backlogs.tracker.Unlinked(gateway)
	}
}

// logBacklog logs the backlogs of this gateway and of the others while there are any, and when they have
// gone. The caller holds the lock.
func (r *Runner) logBacklog(now time.Time) {
	b, s := &r.backlogs, r.backlogs.tracker.Summary(now)
	known := s.OwnWaiting > 0 || s.Gateways > 0
	if known == b.known && (!known || now.Sub(b.loggedAt) < backlogLogInterval) {
		return
	}
	b.known, b.loggedAt = known, now
	r.log.Info("cell_backlog", zap.Bool("waiting", known), zap.Duration("own_work", s.OwnWaiting), zap.Duration("own_started_each_second", s.OwnStarted),
		zap.Duration("others_work", s.Waiting), zap.Duration("others_started_each_second", s.Started), zap.Int("others", s.Gateways), zap.Duration("age", s.Age))
}

// backlogGauges registers the gauges of the backlog of the cell, as this gateway knows it.
func (r *Runner) backlogGauges() {
	gauge := func(name string, value func(s tracker.Summary) float64) {
		r.counters.set.NewGauge("dandeliongrade_gateway_cell_"+name, func() float64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return value(r.backlogs.tracker.Summary(r.clock()))
		})
	}
	gauge("backlog_seconds", func(s tracker.Summary) float64 { return (s.OwnWaiting + s.Waiting).Seconds() })
	gauge("started_seconds_per_second", func(s tracker.Summary) float64 { return (s.OwnStarted + s.Started).Seconds() })
	gauge("backlog_gateways", func(s tracker.Summary) float64 { return float64(s.Gateways) })
	gauge("backlog_age_seconds", func(s tracker.Summary) float64 { return s.Age.Seconds() })
}
