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

// tickInterval is the time between two looks at permits. It is short against their length.
const tickInterval = 25 * time.Millisecond

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
	deps       Dependencies
	lifecycle        *drainer.Lifecycle
	linker      *linker.Linker
	incarnation identifier.Incarnation
	counters    counters

	mu       sync.Mutex
	executor executor.Executor
	links    map[identifier.Entry]*connector.Link
	// holdNow holds a token when a hold should be sent at once.
	holdNow chan struct{}
	// reportChanged holds a token when the worker's report has changed.
	reportChanged chan struct{}
	// pendingOrders counts the orders on their way; ended reports the end of each.
	pendingOrders int
	orderDone chan struct{}
}

type counters struct {
	set                                           *metrics.Set
	starts, ends, refused, failedOrders, sent, received *metrics.Counter
}

func newCounters() counters {
	set := metrics.NewSet()
	count := func(name string) *metrics.Counter { return set.NewCounter("dandeliongrade_sidecar_" + name) }
	return counters{
		set:      set,
		starts:   count("starts_total"),
		ends:     count("ends_total"),
		refused:  count("starts_refused_total"),
		failedOrders:   count("orders_unanswered_total"),
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
		deps:       edges,
		incarnation: incarnation,
		counters:    newCounters(),
		linker:      linker.New(string(settings.Name), netip.AddrPort{}, clock, settings.SeedLinks()...),
		executor:    executor.Executor{Fence: uint64(incarnation)},
		links:       make(map[identifier.Entry]*connector.Link),
		holdNow:        make(chan struct{}, 1),
		reportChanged:    make(chan struct{}, 1),
		orderDone:       make(chan struct{}),
	}
	r.lifecycle = drainer.New(func(s drainer.Stage) { log.Info("stage", zap.String("stage", string(s))) })
	return r
}

// Run is the sidecar's life. When ctx ends it takes no more starts, and ends when
// nothing runs or grace is nearly over.
func (r *Runner) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	wait := supervisor.Start(
		func() { r.runTicks(background) },
		func() { r.runHolds(background) },
		func() { r.linker.Run(background, r.session) },
		func() { r.pollGateways(background) },
		func() { r.persistReports(background) },
	)
	if err := r.lifecycle.Ready(); err != nil {
		return err
	}
	<-ctx.Done()
	r.drain()
	err := r.lifecycle.Drained()
	stop()
	wait()
	r.awaitOrders()
	return err
}

// stopMargin is the part of the grace that is left for the end of the process.
const stopMargin = 500 * time.Millisecond

// drain refuses starts, and returns when nothing runs or grace is nearly over.
func (r *Runner) drain() {
	if err := r.lifecycle.Drain(); err != nil {
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
	ticker := time.NewTicker(tickInterval)
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

// awaitOrders waits for the orders on their way, which have short time limits.
func (r *Runner) awaitOrders() {
	r.mu.Lock()
	n := r.pendingOrders
	r.mu.Unlock()
	for range n {
		<-r.orderDone
	}
}

// runTicks looks at permits and leases until ctx ends, and takes the ends of orders.
func (r *Runner) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.orderDone:
			r.mu.Lock()
			r.pendingOrders--
			r.mu.Unlock()
		case <-ticker.C:
			r.mu.Lock()
			now := r.clock()
			r.perform(r.executor.Tick(now))
			r.mu.Unlock()
			r.linker.Expire()
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) requestHold() {
	select {
	case r.holdNow <- struct{}{}:
	default:
	}
}
