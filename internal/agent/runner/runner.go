// Package runner is the agent as a process: it registers, links to every entry,
// runs tasks at its backend server, and leaves in good order. What it may start
// is decided in package starter, and whom it offers slots to in package offerer.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/allocator"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/invoker"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/member/drainer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/platform/storer"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// byeWait bounds how long a leaving agent waits for the entries to close their
// links.
const byeWait = time.Second

// expirePause is the time between two sweeps for records that have expired.
const expirePause = time.Second

// redialPause bounds the pause before an entry is dialled anew.
const redialPause = time.Second

// Table is the platform's table service.
type Table interface {
	Get(ctx context.Context, key string) (storer.Record, error)
	Transact(ctx context.Context, t storer.Transaction) error
}

// Backend is the backend server beside the agent. Call runs a task; only
// caller.ErrUnreachable means that the task was not started.
type Backend interface {
	Invoke(ctx context.Context, m *starter.Start) (describer.Result, error)
}

// Dependencies are what an agent touches outside itself.
type Dependencies struct {
	Table   Table
	Backend Backend
	Dial    connector.DialFunc
}

// NewDependencies returns the edges that the settings name.
func NewDependencies(settings *loader.Agent) (Dependencies, error) {
	table, err := storer.New(settings.Platform.Addr, settings.Platform.Timeout)
	if err != nil {
		return Dependencies{}, err
	}
	c, err := invoker.New(settings.Backend, settings.Connections)
	return Dependencies{Table: table, Backend: c, Dial: connector.DialTCP}, err
}

// Runner is one run of an agent.
type Runner struct {
	settings *loader.Agent
	log      *zap.Logger
	clock    identifier.Clock
	edges    Dependencies
	life     *drainer.Lifecycle
	counters counters

	mu       sync.Mutex
	starter  starter.Starter
	offerer  *allocator.Allocator
	links    map[identifier.Entry]*connector.Link
	sequence uint64
	// peers is the newest list of entries, of this version of the assignment.
	peers   []registrar.Peer
	version uint64
	wanted  chan []registrar.Peer
	ended   chan ending
	// released are the linked entries that have sent their last start.
	released map[identifier.Entry]bool
	// changed holds a token after a link has ended or was released.
	changed chan struct{}
}

type counters struct {
	started, refused, sent, received, grants, recalls metrics.Counter
}

// ending is the end of a call to the backend server.
type ending struct {
	task   identifier.Task
	from   identifier.Entry
	result describer.Result
	err    error
}

// New returns an agent that has not begun.
func New(settings *loader.Agent, log *zap.Logger, clock identifier.Clock, edges Dependencies) *Runner {
	r := &Runner{
		settings: settings,
		log:      log,
		clock:    clock,
		edges:    edges,
		offerer:  allocator.New(settings.Slots),
		links:    make(map[identifier.Entry]*connector.Link),
		wanted:   make(chan []registrar.Peer, 1),
		ended:    make(chan ending),
		released: make(map[identifier.Entry]bool),
		changed:  make(chan struct{}, 1),
	}
	r.life = drainer.New(func(s drainer.Stage) { log.Info("stage", zap.String("stage", string(s))) })
	r.starter.Retention = settings.Retention
	return r
}

// Run is the agent's life. It ends in good order when ctx does, and at once when
// something fails that no waiting mends.
func (r *Runner) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	member, err := r.register(ctx)
	if err != nil {
		return err
	}
	linked := make(chan struct{})
	go func() {
		connector.Keep(background, r.wanted, redialPause, r.session)
		close(linked)
	}()
	learned := make(chan struct{})
	go func() {
		r.relearn(background)
		close(learned)
	}()
	if err := r.life.Ready(); err != nil {
		return err
	}
	r.serve(ctx)
	r.drain()
	r.sayBye(linked, stop)
	<-learned
	r.recordLeave(member)
	return nil
}

// serve handles the ends of tasks until ctx does.
func (r *Runner) serve(ctx context.Context) {
	ticker := time.NewTicker(expirePause)
	defer ticker.Stop()
	for {
		select {
		case e := <-r.ended:
			r.end(e)
		case <-ticker.C:
			r.mu.Lock()
			r.starter.Expire(r.clock())
			r.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) linkCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// run calls the backend server and reports the end on r.ended. It is a task of
// its own, and is not cut short when the agent drains.
func (r *Runner) run(ctx context.Context, from identifier.Entry, m *starter.Start) {
	result, err := r.edges.Backend.Invoke(ctx, m)
	r.ended <- ending{m.Task, from, result, err}
}

func (r *Runner) end(e ending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := r.offerer.End(e.from)
	if errors.Is(e.err, invoker.ErrUnreachable) {
		to, m := r.starter.MarkUnreachable(e.task)
		m.GrantedSlots, changes = takeGrant(changes, to)
		r.send(to, &m)
	} else {
		to := r.starter.End(e.task, e.result)
		m := starter.Ended{Incarnation: r.starter.Incarnation, Task: e.task, Result: e.result}
		m.GrantedSlots, changes = takeGrant(changes, to)
		r.send(to, &m)
	}
	r.sendChanges(changes)
}

// takeGrant takes the grant to an entry out of changes, to travel with another
// message.
func takeGrant(changes []allocator.Adjustment, to identifier.Entry) (int, []allocator.Adjustment) {
	for i, c := range changes {
		if c.Entry == to {
			changes[i].Grant = 0
			return c.Grant, changes
		}
	}
	return 0, changes
}

func (r *Runner) sendChanges(changes []allocator.Adjustment) {
	for _, c := range changes {
		if c.Grant > 0 {
			r.counters.grants.Inc()
			r.send(c.Entry, &allocator.Grant{Incarnation: r.starter.Incarnation, Slots: c.Grant})
		}
		if c.Recall > 0 {
			r.counters.recalls.Inc()
			r.send(c.Entry, &allocator.Recall{Incarnation: r.starter.Incarnation, Slots: c.Recall})
		}
	}
}

// send passes a message to an entry, if it is linked. What is lost here is asked
// for when the entry is linked again.
// It reports false when the entry is not linked or the message cannot be sent at all.
func (r *Runner) send(to identifier.Entry, message any) bool {
	link := r.links[to]
	if link == nil {
		return false
	}
	r.counters.sent.Inc()
	if err := link.Send(message); err != nil {
		r.log.Error("send_failed", zap.String("entry", string(to)), logger.Error(err))
		return false
	}
	return true
}

// sendParts sends what belongs together, and stops when a part cannot be sent: the
// last one must not say that all have come.
func sendParts[M any](r *Runner, to identifier.Entry, parts []M) {
	for _, m := range parts {
		if !r.send(to, m) {
			return
		}
	}
}
