package runner

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/member/drainer"
	"github.com/dandeliongrade/dandeliongrade/internal/report/meter"
)

// pages returns what operators see of the agent.
func (r *Runner) pages() meter.Pages {
	set := metrics.NewSet()
	r.counters = counters{
		started:  set.NewCounter("dandeliongrade_agent_starts_total"),
		refused:  set.NewCounter("dandeliongrade_agent_refusals_total"),
		sent:     set.NewCounter("dandeliongrade_agent_messages_sent_total"),
		received: set.NewCounter("dandeliongrade_agent_messages_received_total"),
	}
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
	return meter.Pages{Metrics: set, Ready: r.ready}
}

func (r *Runner) ready() error {
	if stage := r.life.Stage(); stage != drainer.Serving {
		return errors.Errorf("the agent is %s; wait, or start another", stage)
	}
	if r.linkCount() == 0 {
		return errors.New("no entry is linked; check that an entry runs and that its link port can be reached")
	}
	return nil
}
