// Package runner runs the gateway process: it serves callers, maintains the links to
// agents and other gateways, and follows the manifest in the store. The decisions are
// made in packages coordinator, router, distributor and selector; this package carries them out.
package runner

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/supervisor"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/distributor"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/evacuator"
	"github.com/dandeliongrade/dandeliongrade/internal/manifest/router"
	"github.com/dandeliongrade/dandeliongrade/internal/member/drainer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/linker"
	"github.com/dandeliongrade/dandeliongrade/internal/member/selector"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/arbiter"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/canceller"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/coordinator"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
)

// tickInterval is the interval at which deadlines and permits are checked. It is short
// compared with the duration of a permit.
const tickInterval = 25 * time.Millisecond

// Store reads and writes the gateway's rows in the platform's table store.
type Store interface {
	// Announce stores the address and the data centre of the named gateway.
	Announce(ctx context.Context, name identifier.Entry, gateway selector.Gateway) error
	// Gateways returns the gateways stored after a version, waiting up to wait for a
	// change, or all gateways at once if after is zero. It also returns the number of
	// rows skipped because they are invalid, and the version to continue from, also after
	// an error.
	Gateways(ctx context.Context, after uint64, wait time.Duration) (gateways []selector.Gateway, skipped int, version uint64, err error)
	// OperatorRows returns the latest manifest and the changes of evacuations stored after a
	// version, waiting up to wait for a change, or all that is stored at once if after is zero.
	// It also returns the version to continue from, also after an error. Evacuations are valid
	// also if the manifest cannot be decoded.
	OperatorRows(ctx context.Context, after uint64, wait time.Duration) (m router.Manifest, found bool, evacuations evacuator.Read, version uint64, err error)
}

// Dependencies holds the external services that a gateway uses.
type Dependencies struct {
	Store Store
	Dial  connector.DialFunc
}

// Runner is a gateway process, from its start to its stop.
type Runner struct {
	settings    *loader.Gateway
	log         *zap.Logger
	clock       identifier.Clock
	deps        Dependencies
	lifecycle   *drainer.Lifecycle
	linker      *linker.Linker
	incarnation identifier.Incarnation
	counters    counters

	mu          sync.Mutex
	coordinator coordinator.Coordinator
	router      router.Router
	distributor distributor.Distributor
	evacuator   evacuator.Evacuator
	arbiter     arbiter.Arbiter
	backlogs    backlogs
	canceller   canceller.Canceller
	// cancels holds, for each cancel whose caller waits, where its state goes.
	cancels map[uint64]chan coordinator.State
	// agentLinks holds the links that agents dialled, one for each agent, and peerLinks
	// the links with other gateways, whichever side dialled.
	agentLinks map[identifier.Agent]*connector.Link
	peerLinks  map[distributor.LinkID]peerLink
	// lastPeer is the highest key of peerLinks so far.
	lastPeer distributor.LinkID
	// callers holds, for each job, the caller that waits for its answer.
	callers callers
	// effects holds what perform carries out while performing is set.
	effects    []coordinator.Effect
	performing bool
	// firstManifest is closed when the first manifest has been adopted.
	firstManifest chan struct{}
	// idle receives a token when the last open job has been answered.
	idle chan struct{}
}

// New returns a gateway that has not been started.
func New(settings *loader.Gateway, log *zap.Logger, clock identifier.Clock, deps Dependencies) *Runner {
	r := &Runner{
		settings:      settings,
		log:           log,
		clock:         clock,
		deps:          deps,
		incarnation:   identifier.NextIncarnation(clock(), 0),
		counters:      newCounters(),
		linker:        linker.New(selector.Process{Name: string(settings.Name), DataCentre: settings.DataCentre}, settings.LinkAddr(), clock),
		agentLinks:    make(map[identifier.Agent]*connector.Link),
		peerLinks:     make(map[distributor.LinkID]peerLink),
		callers:       make(callers),
		cancels:       make(map[uint64]chan coordinator.State),
		firstManifest: make(chan struct{}),
		idle:          make(chan struct{}, 1),
	}
	r.coordinator = coordinator.Coordinator{Zone: string(settings.DataCentre), Callers: r.callers, Arbiters: arbiters{r}, Policy: settings.Policy}
	if settings.Policy.SharedBacklog {
		r.coordinator.Cell = &r.backlogs.tracker
	}
	r.arbiter.Self, r.arbiter.Since, r.canceller.Self = r.self(), clock(), settings.Name
	r.linker.LearnSeeds(settings.SeedLinkAddrs()...)
	r.lifecycle = drainer.New(func(s drainer.Stage) { log.Info("stage", zap.String("stage", string(s))) })
	return r
}

// Run runs the gateway until ctx ends. Then it drains: it continues to serve until the
// load balancer sends no more callers and every caller has its answer, or until the
// grace period is nearly over. After that it calls finish and stops.
func (r *Runner) Run(ctx context.Context, link net.Listener, finish func()) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	wait := supervisor.Start(
		func() { r.runTicks(background) },
		func() { connector.Serve(background, link, r.accept) },
		func() { r.linker.Run(background, r.session) },
		// A call to the store that waits for a change cannot be cancelled, so these
		// functions stop when ctx ends and not after the drain. While the gateway drains,
		// other gateways pass on changes.
		func() { r.announce(ctx) },
		func() { r.followOperator(ctx) },
		func() { r.followGateways(ctx) },
	)
	if err := r.lifecycle.Ready(); err != nil {
		return err
	}
	<-ctx.Done()
	r.drain()
	finish()
	err := r.lifecycle.Drained()
	stop()
	wait()
	return err
}

// runTicks checks deadlines and permits, and expires unused gateway addresses, until ctx
// ends.
func (r *Runner) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.mu.Lock()
			now := r.clock()
			r.perform(r.coordinator.Tick(now))
			r.reportBacklog(now)
			r.tickCancels(now)
			r.distribute(r.distributor.Tick(now))
			if r.arbiter.Tick(now) {
				r.perform(r.coordinator.ArbitersChanged(now))
			}
			r.mu.Unlock()
			r.linker.Expire()
		case <-ctx.Done():
			return
		}
	}
}

// perform carries out the effects of a decision. The caller holds the lock, so that
// messages are sent in the order of the decisions. An effect may lead to a decision of its own; the
// effects of that one follow those that are left.
func (r *Runner) perform(effects []coordinator.Effect) {
	r.effects = append(r.effects, effects...)
	if r.performing {
		return
	}
	r.performing = true
	defer func() {
		clear(r.effects)
		r.effects, r.performing = r.effects[:0], false
	}()
	for i := 0; i < len(r.effects); i++ {
		r.carryOut(r.effects[i])
	}
}

// carryOut carries out one effect.
func (r *Runner) carryOut(e coordinator.Effect) {
	switch e := e.(type) {
	case coordinator.Send:
		r.send(r.agentLinks[e.To], e.Message)
	case coordinator.SendGateway:
		r.sendGateway(r.clock(), e.To, e.Message)
	case coordinator.CloseLink:
		r.closeLink(&e)
	case coordinator.PassOn:
		r.passOn(e.Report)
	case coordinator.Reply:
		r.reply(&e)
	case coordinator.ClaimEvent:
		r.handleClaimEvent(r.clock(), &e)
	case coordinator.LogEvent:
		r.logEvent(&e)
	}
}

// logEvent counts and logs an event.
func (r *Runner) logEvent(e *coordinator.LogEvent) {
	fields := []zap.Field{zap.Stringer("run", e.Run), zap.String("agent", string(e.Agent)), zap.String("cause", e.Cause), zap.Duration("agent_heard_before", e.SinceHeard)}
	if e.Cause == string(executor.Evacuated) {
		r.counters.refusedEvacuated.Inc()
	}
	if e.Name == coordinator.EventRunLost {
		r.counters.runsLost[e.Ground].Inc()
		fields = append(fields, zap.Stringer("ground", e.Ground), zap.Duration("permit_age", e.PermitAge))
	} else if c := r.counters.events[e.Name]; c != nil {
		c.Inc()
	}
	r.log.Info(e.Name, fields...)
}

// closeLink closes the link to an agent. Its goroutine then reports the end to the coordinator.
func (r *Runner) closeLink(e *coordinator.CloseLink) {
	if link := r.agentLinks[e.To]; link != nil {
		r.log.Info("closing_link", zap.String("agent", string(e.To)), zap.String("cause", e.Cause))
		link.Close()
	}
}

// reply records the answer of a job and passes it to the caller that waits for it.
func (r *Runner) reply(e *coordinator.Reply) {
	r.counters.answers(e.Answer.State).Inc()
	r.counters.answerSeconds.Update(e.Took.Seconds())
	switch {
	case e.Cause == coordinator.CauseDeadline && e.Starts == 0:
		r.counters.heldInVain.Inc()
	case e.Cause == coordinator.CauseConnectionClosed:
		r.counters.closedUnread.Inc()
	}
	fields := []zap.Field{
		zap.String("job", string(e.Job)), zap.Stringer("state", e.Answer.State), zap.String("cause", e.Cause),
		zap.Duration("took", e.Took), zap.Duration("placed", e.PlacedAfter),
		zap.String("claim", e.Claim), zap.Duration("claimed", e.ClaimedAfter), zap.Int("starts", e.Starts), zap.Int("lost", e.Lost),
	}
	r.log.Info("job_answered", append(fields, r.noteRefusal(e)...)...)
	if c := r.callers[e.Job]; c != nil {
		delete(r.callers, e.Job)
		c.answer <- e.Answer
	}
	if r.coordinator.OpenJobs() == 0 {
		select {
		case r.idle <- struct{}{}:
		default:
		}
	}
}

// noteRefusal counts a job that is answered as not run, and returns what the refusal rests on.
func (r *Runner) noteRefusal(e *coordinator.Reply) []zap.Field {
	if e.Answer.State != coordinator.NotRun {
		return nil
	}
	r.counters.refusals(e.Cause).Inc()
	r.counters.refusalSeconds.Update(e.Took.Seconds())
	if e.Refusal == (coordinator.Refusal{}) {
		return nil
	}
	if e.Refusal.FreeCapacity {
		r.counters.refusedWithCapacity.Inc()
	}
	return []zap.Field{
		zap.Duration("retry_after", e.Answer.RetryAfter), zap.Duration("expected_wait", e.Refusal.Wait), zap.Duration("backlog", e.Refusal.Backlog),
		zap.Duration("backlog_age", e.Refusal.BacklogAge), zap.Duration("rate", e.Refusal.Rate), zap.Bool("free_capacity", e.Refusal.FreeCapacity),
	}
}

// send sends a message on a link. Without a link, the message is dropped: the state is
// reconciled when the agent is linked again.
func (r *Runner) send(link *connector.Link, message any) {
	if link == nil {
		return
	}
	r.counters.messagesSent.Inc()
	if err := link.Send(message); err != nil {
		r.log.Error("send_failed", logger.Error(err))
	}
}
