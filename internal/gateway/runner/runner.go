// Package runner is the gateway as a process: it serves callers, keeps the links to
// agents and other gateways, and follows the manifest. What it decides is decided in
// packages coordinator, router and lister; this package carries it out.
package runner

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/supervisor"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/router"
	"github.com/dandeliongrade/dandeliongrade/internal/member/drainer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/linker"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/coordinator"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// tickPause is the time between two looks at deadlines and permits. It is short against
// the permits' length.
const tickPause = 25 * time.Millisecond

// Store is the platform's table store.
type Store interface {
	// Announce stores the link address of this gateway.
	Announce(ctx context.Context, name identifier.Entry, link netip.AddrPort) error
	// Gateways returns the addresses stored after a version, waiting for one, or all at
	// version zero.
	Gateways(ctx context.Context, after uint64, wait time.Duration) (addrs []netip.AddrPort, unread int, version uint64, err error)
	// Manifest returns the newest manifest stored after a version, waiting for one, or
	// the present one at version zero.
	Manifest(ctx context.Context, after uint64, wait time.Duration) (m router.Manifest, found bool, version uint64, err error)
}

// Dependencies are what a gateway touches outside itself.
type Dependencies struct {
	Store Store
	Dial  connector.DialFunc
}

// Runner is one run of a gateway.
type Runner struct {
	settings    *loader.Gateway
	log         *zap.Logger
	clock       identifier.Clock
	edges       Dependencies
	life        *drainer.Lifecycle
	finder      *linker.Linker
	incarnation identifier.Incarnation
	counters    counters

	mu          sync.Mutex
	coordinator coordinator.Coordinator
	router      router.Router
	// agents are the links that agents dialled, peers those that other gateways
	// dialled, dialled those to other gateways.
	agents  map[identifier.Agent]*connector.Link
	peers   map[*connector.Link]bool
	callers map[specifier.JobID]chan coordinator.Answer
	// manifested is closed when the first manifest is in force.
	manifested chan struct{}
	// idle holds a token after the last open job was answered.
	idle chan struct{}
}

// New returns a gateway that has not begun.
func New(settings *loader.Gateway, log *zap.Logger, clock identifier.Clock, edges Dependencies) *Runner {
	r := &Runner{
		settings:    settings,
		log:         log,
		clock:       clock,
		edges:       edges,
		incarnation: identifier.NextIncarnation(clock(), 0),
		counters:    newCounters(),
		finder:      linker.New(string(settings.Name), settings.LinkAddr(), clock, settings.SeedLinkAddrs()...),
		coordinator: coordinator.Coordinator{Zone: string(settings.DataCentre)},
		agents:      make(map[identifier.Agent]*connector.Link),
		peers:       make(map[*connector.Link]bool),
		callers:     make(map[specifier.JobID]chan coordinator.Answer),
		manifested:  make(chan struct{}),
		idle:        make(chan struct{}, 1),
	}
	r.life = drainer.New(func(s drainer.Stage) { log.Info("stage", zap.String("stage", string(s))) })
	return r
}

// Run is the gateway's life. When ctx ends it goes on serving until the balancer sends
// no more and every caller has its answer, or grace is nearly over; then it calls
// finish.
func (r *Runner) Run(ctx context.Context, link net.Listener, finish func()) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	wait := supervisor.Start(
		func() { r.tick(background) },
		func() { connector.Serve(background, link, r.accept) },
		func() { r.finder.Run(background, r.session) },
		// A call to the store that waits for a change cannot be broken off, so these end
		// with the signal to stop. Other gateways tell of changes meanwhile.
		func() { r.announce(ctx) },
		func() { r.followManifest(ctx) },
		func() { r.followGateways(ctx) },
	)
	if err := r.life.Ready(); err != nil {
		return err
	}
	<-ctx.Done()
	r.drain()
	finish()
	err := r.life.Drained()
	stop()
	wait()
	return err
}

// tick looks at deadlines and permits until ctx ends.
func (r *Runner) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.mu.Lock()
			now := r.clock()
			r.perform(r.coordinator.Tick(now))
			r.mu.Unlock()
			r.finder.Expire()
		case <-ctx.Done():
			return
		}
	}
}

// perform carries out the effects of a decision. The lock is held, so that messages
// leave in the order of the decisions.
func (r *Runner) perform(effects []coordinator.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case coordinator.Send:
			r.sendOn(r.agents[e.To], e.Message)
		case coordinator.Reply:
			r.reply(&e)
		case coordinator.LogEvent:
			r.counters.lost.Inc()
			r.log.Info(e.Name, zap.Stringer("run", e.Run), zap.String("agent", string(e.Agent)), zap.String("cause", e.Cause), zap.Duration("agent_heard_before", e.SinceHeard))
		}
	}
}

func (r *Runner) reply(e *coordinator.Reply) {
	r.counters.answer(e.Answer.State).Inc()
	r.counters.took.Update(e.Took.Seconds())
	r.log.Info("job_answered", zap.String("job", string(e.Job)), zap.Stringer("state", e.Answer.State), zap.String("cause", e.Cause),
		zap.Duration("took", e.Took), zap.Duration("placed", e.PlacedAfter), zap.Int("starts", e.Starts), zap.Int("lost", e.Lost))
	if c := r.callers[e.Job]; c != nil {
		delete(r.callers, e.Job)
		c <- e.Answer
	}
	if r.coordinator.OpenJobs() == 0 {
		select {
		case r.idle <- struct{}{}:
		default:
		}
	}
}

// sendOn passes a message to a link, if there is one. What was sent to none is found out
// when the link is up anew.
func (r *Runner) sendOn(link *connector.Link, message any) {
	if link == nil {
		return
	}
	r.counters.sent.Inc()
	if err := link.Send(message); err != nil {
		r.log.Error("send_failed", logger.Error(err))
	}
}
