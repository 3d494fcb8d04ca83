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

// Ports holds the listeners of a gateway.
type Ports struct {
	Callers, Ready, Link, Admin net.Listener
}

// Server is an HTTP server. Run serves until ctx ends, and completes the requests in
// flight.
type Server interface {
	Run(ctx context.Context, ln net.Listener) error
}

// Serve runs the gateway together with its HTTP servers for callers, for readiness
// checks and for operators.
func (r *Runner) Serve(ctx context.Context, ports Ports, callerServer, readyServer Server) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers, stopCallers := context.WithCancel(background)
	defer stopCallers()
	callersDone := make(chan error, 1)
	go func() { callersDone <- callerServer.Run(callers, ports.Callers) }()
	readyDone := make(chan error, 1)
	go func() { readyDone <- readyServer.Run(background, ports.Ready) }()
	adminDone := make(chan error, 1)
	go func() { adminDone <- exporter.Run(background, ports.Admin, r.endpoints()) }()

	var callersErr error
	err := r.Run(ctx, ports.Link, func() {
		stopCallers()
		callersErr = <-callersDone
	})
	stop()
	for _, next := range []error{<-readyDone, <-adminDone, callersErr} {
		if err == nil {
			err = next
		}
	}
	return errors.Wrap(err, "run a gateway")
}

// Ready returns nil if the gateway can serve callers, else an error with the reason.
func (r *Runner) Ready() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.lifecycle.Stage() != drainer.Serving:
		return errors.Errorf("the gateway is %s; use another one", r.lifecycle.Stage())
	case r.router.Manifest().Version == 0:
		return errors.New("no manifest has been read; check that the store is reachable")
	case len(r.agentLinks) == 0:
		return errors.New("no agent is linked; check that agents run and reach the link port")
	}
	return nil
}

const (
	// balancerDelay is how long the load balancer may go on sending callers after the
	// drain has begun: two readiness checks one second apart, and a margin of one second.
	balancerDelay = 3 * time.Second
	// acceptDivisor limits the time in which a draining gateway accepts all jobs, when the
	// grace period is short: to the grace period less shutdownMargin, divided by it. The
	// rest is for completing the jobs.
	acceptDivisor = 2
	// shutdownMargin is the part of the grace period that is reserved for closing
	// connections.
	shutdownMargin = 700 * time.Millisecond
)

// drain continues to serve until the load balancer has noticed that this gateway is
// draining. Then it accepts only jobs that do not prolong the drain, and returns when no
// job is open or the grace period is nearly over.
func (r *Runner) drain() {
	if err := r.lifecycle.Drain(); err != nil {
		r.log.Error("stage_change_failed", logger.Error(err))
	}
	r.mu.Lock()
	grace := r.settings.Grace
	r.mu.Unlock()
	limit := time.NewTimer(grace - shutdownMargin)
	defer limit.Stop()
	accepting := min(balancerDelay, (grace-shutdownMargin)/acceptDivisor)
	wait := time.NewTimer(accepting)
	defer wait.Stop()
	<-wait.C
	r.mu.Lock()
	now := r.clock()
	r.coordinator.Drain(now, now.Add(grace-shutdownMargin-accepting))
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

// openJobs returns the number of jobs without an answer.
func (r *Runner) openJobs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coordinator.OpenJobs()
}

// Listen opens the listeners of the ports in the settings.
func Listen(settings *loader.Gateway) (Ports, error) {
	lns, err := listener.ListenAll(settings.Callers, settings.Ready, settings.Link, settings.Admin)
	if err != nil {
		return Ports{}, err
	}
	return Ports{Callers: lns[0], Ready: lns[1], Link: lns[2], Admin: lns[3]}, nil
}

// Reload applies the seeds and the grace period of changed settings. All other settings
// take effect at the next start.
func (r *Runner) Reload(next *loader.Gateway) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settings.Grace = next.Grace
	r.linker.LearnSeeds(next.SeedLinkAddrs()...)
}
