package runner

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/owner"
	"github.com/dandeliongrade/dandeliongrade/internal/member/drainer"
	"github.com/dandeliongrade/dandeliongrade/internal/report/exporter"
)

// counters counts the messages on all links. The other metrics come from the owner and the
// claimer.
type counters struct {
	sent, received metrics.Counter
}

// endpoints returns the metrics and the readiness check of the admin port.
func (r *Runner) endpoints() exporter.Endpoints {
	set := metrics.NewSet()
	gauge := func(name string, read func() float64) {
		set.NewGauge("dandeliongrade_entry_"+name, func() float64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return read()
		})
	}
	count := func(name string, read func(*owner.Counters) uint64) {
		gauge(name, func() float64 { return float64(read(&r.owner.Counters)) })
	}
	gauge("messages_sent_total", func() float64 { return float64(r.counters.sent.Get()) })
	gauge("messages_received_total", func() float64 { return float64(r.counters.received.Get()) })
	gauge("waiting_tasks", func() float64 { return float64(r.owner.WaitingTasks()) })
	gauge("identities", func() float64 { return float64(r.owner.IdentityCount()) })
	gauge("slots", func() float64 { return float64(r.owner.Slots()) })
	gauge("partitions", func() float64 { return float64(r.claimer.OwnedCount()) })
	gauge("agents", func() float64 { return float64(len(r.agents)) })
	gauge("lease_seconds", func() float64 { return r.owner.LeaseRemaining(r.clock()).Seconds() })
	count("admitted_total", func(c *owner.Counters) uint64 { return c.Admitted })
	count("joined_total", func(c *owner.Counters) uint64 { return c.Joined })
	count("refused_total", func(c *owner.Counters) uint64 { return c.Refused })
	count("completed_total", func(c *owner.Counters) uint64 { return c.Completed })
	count("failed_total", func(c *owner.Counters) uint64 { return c.Failed })
	count("starts_total", func(c *owner.Counters) uint64 { return c.Starts })
	count("not_started_total", func(c *owner.Counters) uint64 { return c.NotStarted })
	count("revokes_total", func(c *owner.Counters) uint64 { return c.Revokes })
	count("wants_total", func(c *owner.Counters) uint64 { return c.Wants })
	count("returns_total", func(c *owner.Counters) uint64 { return c.Returns })
	return exporter.Endpoints{Metrics: set, Ready: r.ready}
}

// ready returns an error that says why callers should not be sent to this entry, or nil.
func (r *Runner) ready() error {
	if stage := r.lifecycle.Stage(); stage != drainer.Serving {
		return errors.Errorf("the entry is %s; send callers to another", stage)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner.LeaseRemaining(r.clock()) == 0 {
		return errors.New("the lease is not confirmed; check the table service")
	}
	if name, reached := r.reachesOwners(); !reached {
		return errors.Errorf("the entry %s, which owns partitions, cannot be reached; send callers there, and look at the network between the entries", name)
	}
	if len(r.agents) == 0 {
		return errors.New("no agent is linked; start an agent")
	}
	return nil
}

// reachesOwners reports whether this entry has links to the owners of partitions, and
// otherwise returns one without a link. It ignores owners with a higher name, so that of two
// entries that cannot reach each other the one with the lower name stays ready.
func (r *Runner) reachesOwners() (identifier.Entry, bool) {
	for _, name := range r.claimer.Owners() {
		if name < r.settings.Name && r.dialled[name] == nil {
			return name, false
		}
	}
	return "", true
}
