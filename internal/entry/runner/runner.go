// Package runner is the entry as a process: it serves callers, follows the table
// service, and keeps the links to agents and other entries. What it decides is
// decided in packages owner, claimer and sealer; this package carries it out.
package runner

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/internal/front/server"
	"github.com/dandeliongrade/dandeliongrade/internal/job/owner"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/member/announcer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/claimer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/drainer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/sealer"
	"github.com/dandeliongrade/dandeliongrade/internal/platform/keeper"
	"github.com/dandeliongrade/dandeliongrade/internal/report/meter"
)

// tickPause is the time between two looks at deadlines and takeovers.
const tickPause = 50 * time.Millisecond

// Runner is one run of an entry.
type Runner struct {
	settings *loader.Entry
	log      *zap.Logger
	clock    identifier.Clock
	table    *keeper.Client
	life     *drainer.Drainer
	counters counters

	mu        sync.Mutex
	owner     *owner.Owner
	claimer   claimer.Claimer
	takeovers []*sealer.Takeover
	// unsealed are the claims that wait for a reading of the roster.
	unsealed []starter.Claim
	// agents are the links that agents dialled.
	agents map[identifier.Agent]agentLink
	// dialled are the links to other entries on which this one asks; accepted are
	// those on which they ask.
	dialled  map[identifier.Entry]*connector.Link
	accepted map[identifier.Entry]*connector.Link
	requests requests
	wanted   chan []announcer.Peer
	// moved is closed and made anew whenever an owner or a link changes.
	moved chan struct{}
}

type agentLink struct {
	link        *connector.Link
	incarnation identifier.Incarnation
}

// Ports are the open ports of an entry.
type Ports struct {
	Callers, Link, Admin net.Listener
}

// New returns an entry that has not begun.
func New(settings *loader.Entry, log *zap.Logger, clock identifier.Clock) (*Runner, error) {
	table, err := keeper.New(settings.Platform.Addr, settings.Platform.Timeout)
	if err != nil {
		return nil, err
	}
	r := &Runner{
		settings: settings,
		log:      log,
		clock:    clock,
		table:    table,
		owner: owner.New(owner.Settings{
			Partitions: settings.Partitions,
			Retention:  settings.Retention,
			ClockBound: settings.ClockBound,
			MaxWaiting: settings.MaxWaiting,
			TypicalRun: settings.TypicalRun,
		}),
		claimer: claimer.Claimer{
			Self:       settings.Name,
			Member:     claimer.Member{Link: settings.Link, DataCentre: settings.DataCentre},
			Partitions: settings.Partitions,
			Silence:    settings.Timing.Silence,
		},
		agents:   make(map[identifier.Agent]agentLink),
		dialled:  make(map[identifier.Entry]*connector.Link),
		accepted: make(map[identifier.Entry]*connector.Link),
		wanted:   make(chan []announcer.Peer, 1),
		moved:    make(chan struct{}),
	}
	r.life = drainer.New(func(s drainer.Stage) { log.Info("stage", zap.String("stage", string(s))) })
	return r, nil
}

// Listen opens the ports that the settings name.
func Listen(settings *loader.Entry) (Ports, error) {
	var ports Ports
	var err error
	if ports.Callers, err = listener.Listen(settings.Callers); err != nil {
		return ports, err
	}
	if ports.Link, err = listener.Listen(settings.Link); err != nil {
		return ports, err
	}
	ports.Admin, err = listener.Listen(settings.Admin)
	return ports, err
}

// Run is the entry's life. It ends in good order when ctx does.
func (r *Runner) Run(ctx context.Context, ports Ports) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks := r.begin(background, ports)
	front := server.Server{Jobs: r, Clock: r.clock, Templates: r.settings.Templates, Workspaces: r.settings.Workspaces}
	callers, stopCallers := context.WithCancel(background)
	defer stopCallers()
	served := make(chan error, 1)
	go func() { served <- front.Run(callers, ports.Callers) }()
	if err := r.life.Ready(); err != nil {
		return err
	}
	select {
	case err := <-served:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	r.leave()
	stopCallers()
	err := <-served
	if err := r.life.Drained(); err != nil {
		r.log.Error("life_cycle", zap.Error(err))
	}
	stop()
	for range tasks.count {
		<-tasks.ended
	}
	return errors.Wrap(err, "serve callers")
}

// tasks are the background tasks of an entry.
type tasks struct {
	count int
	ended chan struct{}
}

// begin starts the tasks that go on until everything in flight has been answered.
func (r *Runner) begin(ctx context.Context, ports Ports) tasks {
	pages := r.pages()
	all := []func(){
		func() { r.follow(ctx) },
		func() { r.tick(ctx) },
		func() { connector.Serve(ctx, ports.Link, r.accept) },
		func() { connector.Keep(ctx, r.wanted, r.session) },
		func() {
			if err := meter.Run(ctx, ports.Admin, pages); err != nil {
				r.log.Error("pages_failed", zap.Error(err))
			}
		},
	}
	t := tasks{len(all), make(chan struct{}, len(all))}
	for _, run := range all {
		go func() {
			run()
			t.ended <- struct{}{}
		}()
	}
	return t
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
			r.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// perform carries out the effects of a decision. The lock is held, so that the
// messages leave in the order of the decisions.
func (r *Runner) perform(effects []owner.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case owner.Tell:
			r.tell(e)
		case owner.Send:
			r.sendAgent(e.Agent, e.Message)
		}
	}
}

func (r *Runner) tell(e owner.Tell) {
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
func (r *Runner) sendOn(link *connector.Link, message any) {
	if link == nil {
		return
	}
	r.counters.sent.Inc()
	if err := link.Send(message); err != nil {
		r.log.Error("send_failed", zap.Error(err))
	}
}

// announceMove wakes everyone who waits for another owner or link.
func (r *Runner) announceMove() {
	close(r.moved)
	r.moved = make(chan struct{})
}
