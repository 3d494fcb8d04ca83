package runner

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/internal/member/drainer"
	"github.com/dandeliongrade/dandeliongrade/internal/report/exporter"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// Ports are the open ports of a gateway.
type Ports struct {
	Callers, Ready, Link, Admin net.Listener
}

// Front serves callers until ctx ends, and cuts off no request in flight.
type Front interface {
	Run(ctx context.Context, ln net.Listener) error
}

// Serve runs the gateway together with its servers for callers and operators.
func (r *Runner) Serve(ctx context.Context, ports Ports, front, ready Front) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers, stopCallers := context.WithCancel(background)
	defer stopCallers()
	answered := make(chan error, 1)
	go func() { answered <- front.Run(callers, ports.Callers) }()
	asked := make(chan error, 1)
	go func() { asked <- ready.Run(background, ports.Ready) }()
	served := make(chan error, 1)
	go func() { served <- exporter.Run(background, ports.Admin, r.pages()) }()

	var frontErr error
	err := r.Run(ctx, ports.Link, func() {
		stopCallers()
		frontErr = <-answered
	})
	stop()
	for _, next := range []error{<-asked, <-served, frontErr} {
		if err == nil {
			err = next
		}
	}
	return errors.Wrap(err, "run a gateway")
}

// Ready returns nil when callers may be sent here, else why not.
func (r *Runner) Ready() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.life.Stage() != drainer.Serving:
		return errors.Errorf("the gateway is %s; use another one", r.life.Stage())
	case r.router.Manifest().Version == 0:
		return errors.New("no manifest has been read; check that the store is reachable")
	case len(r.agents) == 0:
		return errors.New("no agent is linked; check that agents run and reach the link port")
	}
	return nil
}

const (
	// leaveWait is how long the balancer may go on sending callers: until it has asked
	// twice, a second apart, and one second more.
	leaveWait = 3 * time.Second
	// leaveShare is the part of a short grace, as a divisor, in which jobs are taken. The
	// rest is for ending them.
	leaveShare = 2
	// stopMargin is the part of the grace that is left for closing connections.
	stopMargin = 700 * time.Millisecond
)

// drain serves on until the balancer knows that this gateway leaves. Then it takes only
// jobs that do not keep it open for longer, and returns when no job is open or the grace
// is nearly over.
func (r *Runner) drain() {
	if err := r.life.Drain(); err != nil {
		r.log.Error("life_cycle", logger.Error(err))
	}
	r.mu.Lock()
	grace := r.settings.Grace
	r.mu.Unlock()
	limit := time.NewTimer(grace - stopMargin)
	defer limit.Stop()
	taking := min(leaveWait, (grace-stopMargin)/leaveShare)
	wait := time.NewTimer(taking)
	defer wait.Stop()
	<-wait.C
	r.mu.Lock()
	now := r.clock()
	r.coordinator.Drain(now, now.Add(grace-stopMargin-taking))
	r.mu.Unlock()
	r.log.Info("closing", zap.Int("open_jobs", r.openJobs()))
	for {
		if r.openJobs() == 0 {
			return
		}
		select {
		case <-r.idle:
		case <-limit.C:
			r.mu.Lock()
			r.perform(r.coordinator.Stop(r.clock()))
			r.mu.Unlock()
			return
		}
	}
}

func (r *Runner) openJobs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coordinator.OpenJobs()
}

// Listen opens the ports that the settings name.
func Listen(settings *loader.Gateway) (Ports, error) {
	lns, err := listener.ListenAll(settings.Callers, settings.Ready, settings.Link, settings.Admin)
	if err != nil {
		return Ports{}, err
	}
	return Ports{Callers: lns[0], Ready: lns[1], Link: lns[2], Admin: lns[3]}, nil
}

// Reload takes changed settings: the seeds, and the grace. Everything else counts from
// the next start.
func (r *Runner) Reload(next *loader.Gateway) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settings.Grace = next.Grace
	r.finder.Learn(next.SeedLinkAddrs()...)
}
