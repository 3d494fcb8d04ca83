// Package runner implements the sidecar process, which is the agent for one worker on the
// users' platform. It receives the worker's reports, links to every gateway, sends orders
// to the worker and extends its lease. Package executor makes the decisions; this package
// carries them out.
package runner

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/supervisor"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/member/drainer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/linker"
	"github.com/dandeliongrade/dandeliongrade/internal/member/selector"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// tickInterval is the time between two checks for expiry. It is short compared to
// executor.PermitDuration.
const tickInterval = 25 * time.Millisecond

// Worker calls the worker on this machine.
type Worker interface {
	StartRun(ctx context.Context, order executor.StartRun) executor.CallOutcome
	StopRun(ctx context.Context, order executor.StopRun) executor.CallOutcome
	// Hold returns a reply only if the outcome is executor.Accepted.
	Hold(ctx context.Context, order executor.Hold) (executor.HoldReply, executor.CallOutcome)
}

// Store reads and writes the sidecar's rows in the platform's table store.
type Store interface {
	// Gateways returns the gateways stored after a version, waiting up to wait for a
	// change, or all gateways at once if after is zero. It also returns the number of
	// rows skipped because they are invalid, and the version to continue from.
	Gateways(ctx context.Context, after uint64, wait time.Duration) (gateways []selector.Gateway, skipped int, version uint64, err error)
	// SaveWorker stores the latest report of an agent's worker, and LoadWorker returns it.
	SaveWorker(ctx context.Context, agent identifier.Agent, r executor.WorkerReport) error
	LoadWorker(ctx context.Context, agent identifier.Agent) (r executor.WorkerReport, found bool, err error)
}

// Dependencies are the external services that a sidecar uses.
type Dependencies struct {
	Store  Store
	Worker Worker
	Dial   connector.DialFunc
}

// Runner is a sidecar process.
type Runner struct {
	settings    *loader.Sidecar
	log         *zap.Logger
	clock       identifier.Clock
	deps        Dependencies
	lifecycle   *drainer.Lifecycle
	linker      *linker.Linker
	incarnation identifier.Incarnation
	counters    counters
	// lastLink is the number of the link that was dialled last.
	lastLink atomic.Uint64

	mu       sync.Mutex
	executor executor.Executor
	links    map[identifier.Entry]*connector.Link
	// addrs holds the addresses of the linked gateways.
	addrs map[identifier.Entry]netip.AddrPort
	// holdNow holds a value when the next hold must be sent at once.
	holdNow chan struct{}
	// reportChanged holds a value when the worker's report must be stored.
	reportChanged chan struct{}
	// stored is the report that was last stored or restored. Only persistReports uses it.
	stored executor.WorkerReport
	// pendingOrders counts the orders in flight. Each sends on orderDone when it returns.
	pendingOrders int
	orderDone     chan struct{}
}

// counters holds the metrics of a sidecar.
type counters struct {
	set                                                               *metrics.Set
	starts, refused, unansweredOrders, messagesSent, messagesReceived *metrics.Counter
	workerExits                                                       *metrics.Counter
	// refusedEvacuated counts those of the refused starts whose reason is an evacuation.
	refusedEvacuated *metrics.Counter
	// ends counts the runs that were taken as over by the ground.
	ends map[executor.Ground]*metrics.Counter
	// listedAfterEnd counts those of them that the worker still lists as running, and
	// listedUnknown the listed runs of earlier incarnations of this agent.
	listedAfterEnd, listedUnknown *metrics.Counter
}

// newCounters registers the metrics in a set of their own.
func newCounters() counters {
	set := metrics.NewSet()
	count := func(name string) *metrics.Counter { return set.NewCounter("dandeliongrade_sidecar_" + name) }
	ends := make(map[executor.Ground]*metrics.Counter)
	for _, g := range executor.Grounds() {
		ends[g] = count(`ends_total{ground="` + g.String() + `"}`)
	}
	return counters{
		set:              set,
		starts:           count("starts_total"),
		ends:             ends,
		refused:          count("starts_refused_total"),
		refusedEvacuated: count("starts_refused_evacuated_total"),
		unansweredOrders: count("orders_unanswered_total"),
		messagesSent:     count("messages_sent_total"),
		messagesReceived: count("messages_received_total"),
		workerExits:      count("worker_exits_total"),
		listedAfterEnd:   count("runs_listed_after_end_total"),
		listedUnknown:    count("runs_listed_unknown_total"),
	}
}

// New returns a sidecar that has not been started.
func New(settings *loader.Sidecar, log *zap.Logger, clock identifier.Clock, deps Dependencies) *Runner {
	incarnation := identifier.NextIncarnation(clock(), 0)
	r := &Runner{
		settings:      settings,
		log:           log,
		clock:         clock,
		deps:          deps,
		incarnation:   incarnation,
		counters:      newCounters(),
		linker:        linker.New(selector.Process{Name: string(settings.Name), DataCentre: settings.DataCentre}, netip.AddrPort{}, clock),
		executor:      executor.Executor{Fence: uint64(incarnation), Addr: settings.Worker, DataCentre: settings.DataCentre, Policy: settings.Policy},
		links:         make(map[identifier.Entry]*connector.Link),
		addrs:         make(map[identifier.Entry]netip.AddrPort),
		holdNow:       make(chan struct{}, 1),
		reportChanged: make(chan struct{}, 1),
		orderDone:     make(chan struct{}),
	}
	r.lifecycle = drainer.New(func(s drainer.Stage) { log.Info("stage", zap.String("stage", string(s))) })
	return r
}

// Run runs the sidecar. When ctx ends, it refuses new runs, and returns when no runs are
// left or the grace period is nearly over.
func (r *Runner) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	wait := supervisor.Start(
		func() { r.runTicks(background) },
		func() { r.runHolds(background) },
		func() { r.linker.Run(background, r.session) },
		func() { r.findGateways(background) },
		func() { r.useSeeds(background) },
		func() { r.releaseLinks(background) },
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

// shutdownMargin is the part of the grace period that is reserved for ending the process.
const shutdownMargin = 500 * time.Millisecond

// drain refuses new runs, and returns when no runs are left or the grace period is nearly
// over.
func (r *Runner) drain() {
	if err := r.lifecycle.Drain(); err != nil {
		r.log.Error("stage_change_failed", logger.Error(err))
	}
	r.mu.Lock()
	r.perform(r.executor.Drain(r.clock()))
	r.mu.Unlock()
	r.mu.Lock()
	grace := r.settings.Grace
	r.mu.Unlock()
	limit := time.NewTimer(grace - shutdownMargin)
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

// isIdle reports whether no runs are left.
func (r *Runner) isIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executor.Idle()
}

// awaitOrders waits for the orders in flight, which have short timeouts.
func (r *Runner) awaitOrders() {
	r.mu.Lock()
	n := r.pendingOrders
	r.mu.Unlock()
	for range n {
		<-r.orderDone
	}
}

// runTicks calls the executor periodically until ctx ends, and counts the orders that have
// returned.
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

// requestHold makes runHolds send the next hold at once.
func (r *Runner) requestHold() {
	select {
	case r.holdNow <- struct{}{}:
	default:
	}
}
