package runner

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/member/drainer"
	"github.com/dandeliongrade/dandeliongrade/internal/report/exporter"
)

// Serve runs the agent, and serves its metrics and health endpoints on admin.
func (r *Runner) Serve(ctx context.Context, admin net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	served := make(chan error, 1)
	go func() { served <- exporter.Run(background, admin, r.endpoints()) }()
	if err := r.Run(ctx); err != nil {
		return err
	}
	stop()
	return errors.Wrap(<-served, "serve the metrics and health endpoints")
}

// endpoints returns the metrics and the readiness check of the admin port.
func (r *Runner) endpoints() exporter.Endpoints {
	set := metrics.NewSet()
	count := func(name string, c *metrics.Counter) {
		set.NewGauge("dandeliongrade_agent_"+name+"_total", func() float64 { return float64(c.Get()) })
	}
	count("starts", &r.counters.started)
	count("refusals", &r.counters.refused)
	count("grants", &r.counters.grants)
	count("recalls", &r.counters.recalls)
	count("messages_sent", &r.counters.sent)
	count("messages_received", &r.counters.received)
	set.NewGauge("dandeliongrade_agent_running_tasks", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.starter.Running())
	})
	set.NewGauge("dandeliongrade_agent_records", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.starter.Records())
	})
	set.NewGauge("dandeliongrade_agent_links", func() float64 { return float64(r.linkCount()) })
	return exporter.Endpoints{Metrics: set, Ready: r.ready}
}

// ready returns an error if the agent is not serving or has no link to an entry.
func (r *Runner) ready() error {
	if stage := r.lifecycle.Stage(); stage != drainer.Serving {
		return errors.Errorf("the agent is %s; wait, or start another", stage)
	}
	if r.linkCount() == 0 {
		return errors.New("no entry is linked; check that an entry runs and that its link port can be reached")
	}
	return nil
}
