// Package runner runs an entry process. It serves callers, follows the assignment in
// the table service, and maintains the links to agents and other entries. The decisions are
// made in packages owner, claimer, extender and sealer; this package carries them out.
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
	"github.com/dandeliongrade/dandeliongrade/internal/job/owner"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/member/claimer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/drainer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/extender"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/member/sealer"
	"github.com/dandeliongrade/dandeliongrade/internal/platform/storer"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// tickInterval is the interval at which deadlines, takeovers and the lease are checked.
const tickInterval = 50 * time.Millisecond

// settleRefreshCount is how many refresh intervals a new entry waits before it claims
// partitions from entries that serve them: one for the others to read that it has joined
// and tell their agents, one for the agents to link, and one as a margin.
const settleRefreshCount = 3

// maxRedialPause bounds the pause between two attempts to dial another entry.
const maxRedialPause = time.Second

// Table is the platform's table service, which holds the assignment and the roster.
type Table interface {
	Get(ctx context.Context, key string) (storer.Record, error)
	Scan(ctx context.Context, prefix string) ([]storer.Record, error)
	Transact(ctx context.Context, t storer.Transaction) error
}

// Dependencies are the external services that an entry uses.
type Dependencies struct {
	Table Table
	Dial  connector.DialFunc
}

// NewDependencies returns the dependencies of an entry with the given settings.
func NewDependencies(settings *loader.Entry) (Dependencies, error) {
	table, err := storer.New(settings.Platform.Addr, settings.Platform.Timeout)
	return Dependencies{Table: table, Dial: connector.DialTCP}, err
}

// Runner runs one entry. The fields after mu are guarded by it, except that the channels
// peerUpdates and refreshNow are received from without the lock.
type Runner struct {
	settings  *loader.Entry
	log       *zap.Logger
	clock     identifier.Clock
	deps      Dependencies
	lifecycle *drainer.Lifecycle
	counters  counters

	mu        sync.Mutex
	owner     *owner.Owner
	claimer   claimer.Claimer
	extender  extender.Extender
	takeovers []*sealer.Takeover
	// unsealed holds the claims whose takeover has not started, because the roster has to
	// be read first.
	unsealed []starter.Claim
	// readAt is when the newest successful read of the assignment was sent, and
	// requestedAt when promises were last requested from the other entries.
	readAt, requestedAt time.Time
	// agents holds the newest link of each linked agent. Agents dial entries.
	agents map[identifier.Agent]agentLink
	// dialled holds the links that this entry dialled, on which it sends requests to other
	// entries. accepted holds those that other entries dialled to send theirs.
	dialled  map[identifier.Entry]*connector.Link
	accepted map[identifier.Entry]*connector.Link
	requests pendingReplies
	// peerUpdates holds the newest list of entries to link to, until it is received.
	peerUpdates chan []registrar.Peer
	// refreshNow holds a value while an early refresh of the assignment is requested.
	refreshNow chan struct{}
	// routesChanged is closed and replaced whenever the assignment or a dialled link
	// changes.
	routesChanged chan struct{}
}

// agentLink is a link to one incarnation of an agent.
type agentLink struct {
	link        *connector.Link
	incarnation identifier.Incarnation
}

// New returns an entry that has not started.
func New(settings *loader.Entry, log *zap.Logger, clock identifier.Clock, deps Dependencies) *Runner {
	r := &Runner{
		settings: settings,
		log:      log,
		clock:    clock,
		deps:     deps,
		owner: owner.New(owner.Settings{
			Partitions:  settings.Partitions,
			Retention:   settings.Retention,
			ClockBound:  settings.ClockBound,
			MaxWaiting:  settings.MaxWaiting,
			TypicalRun:  settings.TypicalRun,
			NormalShare: settings.NormalShare,
		}),
		claimer: claimer.Claimer{
			Self:           settings.Name,
			Member:         claimer.Member{Link: settings.Link, DataCentre: settings.DataCentre},
			Partitions:     settings.Partitions,
			SilenceTimeout: settings.Timing.SilenceTimeout,
			SettleDelay:    settleRefreshCount * settings.Refresh,
		},
		agents:        make(map[identifier.Agent]agentLink),
		dialled:       make(map[identifier.Entry]*connector.Link),
		accepted:      make(map[identifier.Entry]*connector.Link),
		peerUpdates:   make(chan []registrar.Peer, 1),
		refreshNow:    make(chan struct{}, 1),
		routesChanged: make(chan struct{}),
	}
	r.extender.PromiseDuration = settings.Lease
	r.claimer.HasPromised = r.extender.HasPromised
	r.lifecycle = drainer.New(func(s drainer.Stage) { log.Info("stage", zap.String("stage", string(s))) })
	return r
}

// Run runs the entry on the given link port until ctx ends, and then stops it gracefully:
// other entries take over its partitions, and then it calls finish, which must return once
// every caller has been answered.
func (r *Runner) Run(ctx context.Context, link net.Listener, finish func()) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	wait := supervisor.Start(
		func() { r.followAssignment(background) },
		func() { r.tick(background) },
		func() { connector.Serve(background, link, r.acceptLink) },
		func() { connector.MaintainLinks(background, r.peerUpdates, maxRedialPause, r.dialEntry) },
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

// tick checks deadlines, takeovers and the lease periodically until ctx ends. It triggers a
// refresh when the claimer wants to change the assignment.
func (r *Runner) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := r.clock()
			r.mu.Lock()
			r.checkTakeovers(now)
			r.perform(r.owner.Tick(now))
			r.extendLease(now)
			_, changed := r.claimer.Plan(now)
			r.mu.Unlock()
			if changed {
				r.triggerRefresh()
			}
		case <-ctx.Done():
			return
		}
	}
}

// triggerRefresh makes followAssignment refresh the assignment without waiting for its next
// tick.
func (r *Runner) triggerRefresh() {
	select {
	case r.refreshNow <- struct{}{}:
	default:
	}
}

// perform carries out the effects of a decision. The caller holds the lock, so that messages
// are sent in the order of the decisions.
func (r *Runner) perform(effects []owner.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case owner.Respond:
			r.respond(e)
		case owner.Send:
			r.sendToAgent(e.Agent, e.Message)
		}
	}
}

// respond passes a reply to the caller of this entry, or to the other entry, that waits for
// it.
func (r *Runner) respond(e owner.Respond) {
	if e.To.Entry == r.settings.Name {
		r.requests.deliver(&e.Reply)
		return
	}
	r.sendOn(r.accepted[e.To.Entry], &e.Reply)
}

// sendToAgent queues a message on the link of an agent, if it is linked.
func (r *Runner) sendToAgent(to identifier.Agent, message any) {
	r.sendOn(r.agents[to].link, message)
}

// sendOn queues a message on a link. It reports false if the link is nil or does not accept
// the message. A message that is lost with its link is not sent again here; whoever depends
// on it repeats it on the next link.
func (r *Runner) sendOn(link *connector.Link, message any) bool {
	if link == nil {
		return false
	}
	r.counters.sent.Inc()
	if err := link.Send(message); err != nil {
		r.log.Error("send_failed", logger.Error(err))
		return false
	}
	return true
}

// notifyRoutesChanged wakes all tasks that wait for a change of the assignment or of a
// dialled link.
func (r *Runner) notifyRoutesChanged() {
	close(r.routesChanged)
	r.routesChanged = make(chan struct{})
}
