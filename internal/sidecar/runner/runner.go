// Package runner is the sidecar as a process: the agent beside a worker on the users'
// platform. It takes the worker's reports, links to every gateway, gives the worker its
// orders and extends its lease. What it decides is decided in package executor; this
// package carries it out.
package runner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/supervisor"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/member/drainer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/linker"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// tickPause is the time between two looks at permits. It is short against their length.
const tickPause = 25 * time.Millisecond

// Worker is the worker on this machine.
type Worker interface {
	StartRun(ctx context.Context, b executor.StartRun) executor.CallOutcome
	StopRun(ctx context.Context, h executor.StopRun) executor.CallOutcome
	// Hold returns an answer when the reply is executor.Accepted.
	Hold(ctx context.Context, h executor.Hold) (executor.HoldReply, executor.CallOutcome)
}

// Store is the platform's table store.
type Store interface {
	// Gateways returns the link addresses of all gateways at version zero.
	Gateways(ctx context.Context, after uint64, wait time.Duration) (addrs []netip.AddrPort, unread int, version uint64, err error)
	// SaveWorker stores the report of an agent's worker, and LoadWorker returns it.
	SaveWorker(ctx context.Context, agent identifier.Agent, r executor.WorkerReport) error
	LoadWorker(ctx context.Context, agent identifier.Agent) (r executor.WorkerReport, found bool, err error)
}

// Dependencies are what a sidecar touches outside itself.
type Dependencies struct {
	Store  Store
	Worker Worker
	Dial   connector.DialFunc
}

// Runner is one run of a sidecar.
type Runner struct {
	settings    *loader.Sidecar
	log         *zap.Logger
	clock       identifier.Clock
	edges       Dependencies
	life        *drainer.Lifecycle
	finder      *linker.Linker
	incarnation identifier.Incarnation
	counters    counters

	mu       sync.Mutex
	executor executor.Executor
	links    map[identifier.Entry]*connector.Link
	// look holds a token when a hold should be sent at once.
	look chan struct{}
	// reported holds a token when the worker's report has changed.
	reported chan struct{}
	// calls counts the orders on their way; ended reports the end of each.
	calls int
	ended chan struct{}
}

type counters struct {
	set                                           *metrics.Set
	starts, ends, refused, silent, sent, received *metrics.Counter
}

func newCounters() counters {
	set := metrics.NewSet()
	count := func(name string) *metrics.Counter { return set.NewCounter("dandeliongrade_sidecar_" + name) }
	return counters{
		set:      set,
		starts:   count("starts_total"),
		ends:     count("ends_total"),
		refused:  count("starts_refused_total"),
		silent:   count("orders_unanswered_total"),
		sent:     count("messages_sent_total"),
		received: count("messages_received_total"),
	}
}

// New returns a sidecar that has not begun.
func New(settings *loader.Sidecar, log *zap.Logger, clock identifier.Clock, edges Dependencies) *Runner {
	incarnation := identifier.NextIncarnation(clock(), 0)
	r := &Runner{
		settings:    settings,
		log:         log,
		clock:       clock,
		edges:       edges,
		incarnation: incarnation,
		counters:    newCounters(),
		finder:      linker.New(string(settings.Name), netip.AddrPort{}, clock, settings.SeedLinks()...),
		executor:    executor.Executor{Fence: uint64(incarnation)},
		links:       make(map[identifier.Entry]*connector.Link),
		look:        make(chan struct{}, 1),
		reported:    make(chan struct{}, 1),
		ended:       make(chan struct{}),
	}
	r.life = drainer.New(func(s drainer.Stage) { log.Info("stage", zap.String("stage", string(s))) })
	return r
}

// Run is the sidecar's life. When ctx ends it takes no more starts, and ends when
// nothing runs or grace is nearly over.
func (r *Runner) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	wait := supervisor.Start(
		func() { r.tick(background) },
		func() { r.hold(background) },
		func() { r.finder.Run(background, r.session) },
		func() { r.find(background) },
		func() { r.remember(background) },
	)
	if err := r.life.Ready(); err != nil {
		return err
	}
	<-ctx.Done()
	r.drain()
	err := r.life.Drained()
	stop()
	wait()
	r.awaitCalls()
	return err
}

// stopMargin is the part of the grace that is left for the end of the process.
const stopMargin = 500 * time.Millisecond

// drain refuses starts, and returns when nothing runs or grace is nearly over.
func (r *Runner) drain() {
	if err := r.life.Drain(); err != nil {
		r.log.Error("life_cycle", logger.Error(err))
	}
	r.mu.Lock()
	r.perform(r.executor.Drain())
	r.mu.Unlock()
	r.mu.Lock()
	grace := r.settings.Grace
	r.mu.Unlock()
	limit := time.NewTimer(grace - stopMargin)
	defer limit.Stop()
	ticker := time.NewTicker(tickPause)
	defer ticker.Stop()
	for !r.isIdle() {
		select {
		case <-ticker.C:
		case <-limit.C:
			return
		}
	}
}

func (r *Runner) isIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executor.Idle()
}

// awaitCalls waits for the orders on their way, which have short time limits.
func (r *Runner) awaitCalls() {
	r.mu.Lock()
	n := r.calls
	r.mu.Unlock()
	for range n {
		<-r.ended
	}
}

// tick looks at permits and leases until ctx ends, and takes the ends of orders.
func (r *Runner) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPause)
	defer ticker.Stop()
	for {
		select {
		case <-r.ended:
			r.mu.Lock()
			r.calls--
			r.mu.Unlock()
		case <-ticker.C:
			r.mu.Lock()
			now := r.clock()
			r.perform(r.executor.Tick(now))
			r.mu.Unlock()
			r.finder.Expire()
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) wakeHold() {
	select {
	case r.look <- struct{}{}:
	default:
	}
}
