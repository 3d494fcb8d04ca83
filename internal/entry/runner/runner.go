// Package runner is the entry as a process: it serves callers, follows the table
// service, and keeps the links to agents and other entries. What it decides is
// decided in packages owner, claimer and sealer; this package carries it out.
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

// tickPause is the time between two looks at deadlines and takeovers.
const tickPause = 50 * time.Millisecond

// settleRefreshes is how many readings of the assignment a new entry lets pass
// before it takes work from others: one for them to see it and tell their agents,
// one for the agents to link, and one to spare.
const settleRefreshes = 3

// redialPause bounds the pause before an entry is dialled anew.
const redialPause = time.Second

// Table is the platform's table service.
type Table interface {
	Get(ctx context.Context, key string) (storer.Record, error)
	Scan(ctx context.Context, prefix string) ([]storer.Record, error)
	Transact(ctx context.Context, t storer.Transaction) error
}

// Dependencies are what an entry touches outside itself.
type Dependencies struct {
	Table Table
	Dial  connector.DialFunc
}

// NewDependencies returns the edges that the settings name.
func NewDependencies(settings *loader.Entry) (Dependencies, error) {
	table, err := storer.New(settings.Platform.Addr, settings.Platform.Timeout)
	return Dependencies{Table: table, Dial: connector.DialTCP}, err
}

// Runner is one run of an entry.
type Runner struct {
	settings *loader.Entry
	log      *zap.Logger
	clock    identifier.Clock
	edges    Dependencies
	life     *drainer.Lifecycle
	counters counters

	mu        sync.Mutex
	owner     *owner.Owner
	claimer   claimer.Claimer
	promiser  extender.Extender
	takeovers []*sealer.Takeover
	// unsealed are the claims that wait for a reading of the roster.
	unsealed []starter.Claim
	// readAt is when the newest successful reading of the assignment was sent, and
	// askedAt when the other entries were last asked for promises.
	readAt, askedAt time.Time
	// agents are the links that agents dialled.
	agents map[identifier.Agent]agentLink
	// dialled are the links to other entries on which this one asks; accepted are
	// those on which they ask.
	dialled  map[identifier.Entry]*connector.Link
	accepted map[identifier.Entry]*connector.Link
	requests requests
	wanted   chan []registrar.Peer
	// woken holds a token when the assignment should be read before its time.
	woken chan struct{}
	// moved is closed and made anew whenever an owner or a link changes.
	moved chan struct{}
}

type agentLink struct {
	link        *connector.Link
	incarnation identifier.Incarnation
}

// New returns an entry that has not begun.
func New(settings *loader.Entry, log *zap.Logger, clock identifier.Clock, edges Dependencies) *Runner {
	r := &Runner{
		settings: settings,
		log:      log,
		clock:    clock,
		edges:    edges,
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
			SettleDelay:    settleRefreshes * settings.Refresh,
		},
		agents:   make(map[identifier.Agent]agentLink),
		dialled:  make(map[identifier.Entry]*connector.Link),
		accepted: make(map[identifier.Entry]*connector.Link),
		wanted:   make(chan []registrar.Peer, 1),
		woken:    make(chan struct{}, 1),
		moved:    make(chan struct{}),
	}
	r.promiser.PromiseDuration = settings.Lease
	r.claimer.HasPromised = r.promiser.HasPromised
	r.life = drainer.New(func(s drainer.Stage) { log.Info("stage", zap.String("stage", string(s))) })
	return r
}

// Run is the entry's life. It ends in good order when ctx does: the partitions go
// to other entries first, then finish is called, which must return when every
// caller has been answered.
func (r *Runner) Run(ctx context.Context, link net.Listener, finish func()) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	wait := supervisor.Start(
		func() { r.follow(background) },
		func() { r.tick(background) },
		func() { connector.Serve(background, link, r.accept) },
		func() { connector.MaintainLinks(background, r.wanted, redialPause, r.session) },
	)
	if err := r.life.Ready(); err != nil {
		return err
	}
	<-ctx.Done()
	r.leave()
	finish()
	err := r.life.Drained()
	stop()
	wait()
	return err
}

// tick looks at deadlines and takeovers until ctx ends.
func (r *Runner) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := r.clock()
			r.mu.Lock()
			r.checkTakeovers(now)
			r.perform(r.owner.Tick(now))
			r.extend(now)
			_, wanting := r.claimer.Plan(now)
			r.mu.Unlock()
			if wanting {
				r.wake()
			}
		case <-ctx.Done():
			return
		}
	}
}

// wake makes follow read the assignment at once.
func (r *Runner) wake() {
	select {
	case r.woken <- struct{}{}:
	default:
	}
}

// perform carries out the effects of a decision. The lock is held, so that the
// messages leave in the order of the decisions.
func (r *Runner) perform(effects []owner.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case owner.Respond:
			r.tell(e)
		case owner.Send:
			r.sendAgent(e.Agent, e.Message)
		}
	}
}

func (r *Runner) tell(e owner.Respond) {
	if e.To.Entry == r.settings.Name {
		r.requests.deliver(&e.Reply)
		return
	}
	r.sendOn(r.accepted[e.To.Entry], &e.Reply)
}

func (r *Runner) sendAgent(to identifier.Agent, message any) {
	r.sendOn(r.agents[to].link, message)
}

// sendOn passes a message to a link, if there is one. Whoever waits for the
// consequence asks again when the link is up anew.
// It reports false when there is none or the message cannot be sent at all.
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

// announceMove wakes everyone who waits for another owner or link.
func (r *Runner) announceMove() {
	close(r.moved)
	r.moved = make(chan struct{})
}
