// Package runner runs an agent process. It registers the agent, links it to every entry,
// runs tasks on its backend server, and drains before it leaves. Package starter decides
// which tasks may start, and package allocator which entries get the agent's slots.
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

// byeTimeout is how long a leaving agent waits for the entries to close their links.
const byeTimeout = time.Second

// expireInterval is the time between two deletions of expired records.
const expireInterval = time.Second

// maxRedialPause is the longest pause before an entry is dialled again.
const maxRedialPause = time.Second

// Table is the platform's table service, which holds the assignment and the roster.
type Table interface {
	Get(ctx context.Context, key string) (storer.Record, error)
	Transact(ctx context.Context, t storer.Transaction) error
}

// Backend is the backend server beside the agent. Invoke runs a task. Only
// invoker.ErrUnreachable means that the task was not started.
type Backend interface {
	Invoke(ctx context.Context, m *starter.Start) (describer.Result, error)
}

// Dependencies are the external services that an agent uses.
type Dependencies struct {
	Table   Table
	Backend Backend
	Dial    connector.DialFunc
}

// NewDependencies returns the dependencies that the settings name.
func NewDependencies(settings *loader.Agent) (Dependencies, error) {
	table, err := storer.New(settings.Platform.Addr, settings.Platform.Timeout)
	if err != nil {
		return Dependencies{}, err
	}
	backend, err := invoker.New(settings.Backend, settings.Connections)
	return Dependencies{Table: table, Backend: backend, Dial: connector.DialTCP}, err
}

// Runner runs one agent process. The fields after mu are guarded by it, except that the
// channels are used without the lock where a goroutine waits for them. The incarnation of
// the starter does not change after the registration, and is then read without the lock too.
type Runner struct {
	settings  *loader.Agent
	log       *zap.Logger
	clock     identifier.Clock
	deps      Dependencies
	lifecycle *drainer.Lifecycle
	counters  counters

	mu            sync.Mutex
	starter       starter.Starter
	allocator     *allocator.Allocator
	links         map[identifier.Entry]*connector.Link
	leaseSequence uint64
	// peers is the newest known list of entries. It was read from assignmentVersion of
	// the assignment.
	peers             []registrar.Peer
	assignmentVersion uint64
	// peerUpdates holds the newest list of entries to link to, until it is received.
	peerUpdates chan []registrar.Peer
	callResults chan callResult
	// leaveAcked holds the linked entries that have sent their last start.
	leaveAcked map[identifier.Entry]bool
	// linkChanged is signalled after a link has ended or an entry has acknowledged the
	// agent's Leave.
	linkChanged chan struct{}
}

type counters struct {
	started, refused, sent, received, grants, recalls metrics.Counter
}

// callResult is the result of a call to the backend server.
type callResult struct {
	task   identifier.Task
	from   identifier.Entry
	result describer.Result
	err    error
}

// New returns a Runner, which is started by Run or Serve.
func New(settings *loader.Agent, log *zap.Logger, clock identifier.Clock, deps Dependencies) *Runner {
	r := &Runner{
		settings:    settings,
		log:         log,
		clock:       clock,
		deps:        deps,
		allocator:   allocator.New(settings.Slots),
		links:       make(map[identifier.Entry]*connector.Link),
		peerUpdates: make(chan []registrar.Peer, 1),
		callResults: make(chan callResult),
		leaveAcked:  make(map[identifier.Entry]bool),
		linkChanged: make(chan struct{}, 1),
	}
	r.lifecycle = drainer.New(func(s drainer.Stage) { log.Info("stage", zap.String("stage", string(s))) })
	r.starter.Retention = settings.Retention
	return r
}

// Run registers the agent and serves until ctx ends. It then drains: running tasks end,
// their results are reported, and the roster records that the agent has left.
// It returns an error if ctx ends before the agent is registered, or if the agent cannot
// start to serve.
func (r *Runner) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	registration, err := r.register(ctx)
	if err != nil {
		return err
	}
	linksClosed := make(chan struct{})
	go func() {
		connector.MaintainLinks(background, r.peerUpdates, maxRedialPause, r.session)
		close(linksClosed)
	}()
	rereadDone := make(chan struct{})
	go func() {
		r.rereadAssignment(background)
		close(rereadDone)
	}()
	if err := r.lifecycle.Ready(); err != nil {
		return err
	}
	r.serve(ctx)
	r.drain()
	r.closeLinks(linksClosed, stop)
	<-rereadDone
	r.recordLeft(registration)
	return nil
}

// serve handles the results of calls and deletes expired records, until ctx ends.
func (r *Runner) serve(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case call := <-r.callResults:
			r.handleCallResult(call)
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

// callBackend calls the backend server and sends the result to r.callResults. It runs
// in its own goroutine, and is not cancelled when the agent drains.
func (r *Runner) callBackend(ctx context.Context, from identifier.Entry, m *starter.Start) {
	result, err := r.deps.Backend.Invoke(ctx, m)
	r.callResults <- callResult{m.Task, from, result, err}
}

// handleCallResult records the end of a task, frees its slot and reports the end to the
// newest owner of the task's partition.
func (r *Runner) handleCallResult(call callResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	adjustments := r.allocator.End(call.from)
	if errors.Is(call.err, invoker.ErrUnreachable) {
		to, m := r.starter.MarkUnreachable(call.task)
		m.GrantedSlots, adjustments = extractGrant(adjustments, to)
		r.send(to, &m)
	} else {
		to := r.starter.End(call.task, call.result)
		m := starter.Ended{Incarnation: r.starter.Incarnation, Task: call.task, Result: call.result}
		m.GrantedSlots, adjustments = extractGrant(adjustments, to)
		r.send(to, &m)
	}
	r.sendAdjustments(adjustments)
}

// extractGrant removes the grant to an entry from adjustments and returns it, so that
// it can be sent as a part of another message.
func extractGrant(adjustments []allocator.Adjustment, to identifier.Entry) (int, []allocator.Adjustment) {
	for i, adj := range adjustments {
		if adj.Entry == to {
			adjustments[i].Grant = 0
			return adj.Grant, adjustments
		}
	}
	return 0, adjustments
}

// sendAdjustments sends grants and recalls. The caller holds the lock.
func (r *Runner) sendAdjustments(adjustments []allocator.Adjustment) {
	for _, adj := range adjustments {
		if adj.Grant > 0 {
			r.counters.grants.Inc()
			r.send(adj.Entry, &allocator.Grant{Incarnation: r.starter.Incarnation, Slots: adj.Grant})
		}
		if adj.Recall > 0 {
			r.counters.recalls.Inc()
			r.send(adj.Entry, &allocator.Recall{Incarnation: r.starter.Incarnation, Slots: adj.Recall})
		}
	}
}

// send sends a message to an entry. It returns false if the entry is not linked or the
// message cannot be sent. A lost message is not sent again: the entry asks for its
// content when it is linked again. The caller holds the lock.
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

// sendParts sends the parts of a message in order. It stops if one cannot be sent,
// because the last part tells the entry that it has received all of them.
func sendParts[M any](r *Runner, to identifier.Entry, parts []M) {
	for _, m := range parts {
		if !r.send(to, m) {
			return
		}
	}
}
