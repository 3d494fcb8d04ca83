package runner

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/internal/load/estimator"
	"github.com/dandeliongrade/dandeliongrade/internal/member/drainer"
	"github.com/dandeliongrade/dandeliongrade/internal/report/exporter"
)

// Ports are the listeners of a sidecar: Control for the worker, and Admin for operators.
type Ports struct {
	Control, Admin net.Listener
}

// ReportServer receives the reports of the worker until ctx ends.
type ReportServer interface {
	Run(ctx context.Context, ln net.Listener) error
}

// Serve runs the sidecar and its servers for the worker and for operators.
func (r *Runner) Serve(ctx context.Context, ports Ports, reports ReportServer) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	reported := make(chan error, 1)
	go func() { reported <- reports.Run(background, ports.Control) }()
	served := make(chan error, 1)
	go func() { served <- exporter.Run(background, ports.Admin, r.endpoints()) }()
	err := r.Run(ctx)
	stop()
	for _, next := range []error{<-reported, <-served} {
		if err == nil {
			err = next
		}
	}
	return errors.Wrap(err, "run a sidecar")
}

// endpoints returns the endpoints of the admin server.
func (r *Runner) endpoints() exporter.Endpoints {
	r.counters.set.NewGauge("dandeliongrade_sidecar_links", func() float64 { return float64(r.linkCount()) })
	r.counters.set.NewGauge("dandeliongrade_sidecar_evacuated", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.executor.Evacuated() {
			return 1
		}
		return 0
	})
	r.counters.set.NewGauge("dandeliongrade_sidecar_reservations_missed", func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return float64(r.executor.MissedReservations())
	})
	speed := func() estimator.Speed {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.executor.WorkerSpeed()
	}
	r.counters.set.NewGauge("dandeliongrade_sidecar_worker_speed", func() float64 { return speed().Factor })
	r.counters.set.NewGauge("dandeliongrade_sidecar_worker_speed_runs", func() float64 { return float64(speed().Runs) })
	return exporter.Endpoints{Metrics: r.counters.set, Ready: r.ready}
}

// ready returns nil if the sidecar can serve, or an error that says why not.
func (r *Runner) ready() error {
	switch {
	case r.lifecycle.Stage() != drainer.Serving:
		return errors.Errorf("the sidecar is %s; wait, or start another", r.lifecycle.Stage())
	case r.linkCount() == 0:
		return errors.New("no gateway is linked; check that a gateway runs and that its link port can be reached")
	}
	return nil
}

// Listen listens on the addresses in the settings.
func Listen(settings *loader.Sidecar) (Ports, error) {
	lns, err := listener.ListenAll(settings.Control, settings.Admin)
	if err != nil {
		return Ports{}, err
	}
	return Ports{Control: lns[0], Admin: lns[1]}, nil
}

// Reload applies changes of the seeds and of the grace period. Changes of other settings
// take effect when the sidecar is restarted.
func (r *Runner) Reload(next *loader.Sidecar) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settings.Grace = next.Grace
	r.linker.LearnSeeds(next.SeedLinkAddrs()...)
}
