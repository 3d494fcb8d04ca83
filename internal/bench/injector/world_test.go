package prover

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	agent "github.com/dandeliongrade/dandeliongrade/internal/agent/runner"
	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	entry "github.com/dandeliongrade/dandeliongrade/internal/entry/runner"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/platform/faker"
	"github.com/dandeliongrade/dandeliongrade/internal/platform/keeper"
)

// table is the table service as one process reaches it.
type tableClient struct {
	cell *cell
	gate *gate
}

var errNoReply = &keeper.UnavailableError{Cause: errors.New("no answer")}

// reach passes the way to the table service, which may be slow or down.
func (t *tableClient) sendRequest(ctx context.Context) error {
	if err := t.gate.pass(ctx); err != nil {
		return err
	}
	t.cell.mu.Lock()
	down, delay := t.cell.tableDown || t.cell.tableDownFor == t.gate, t.cell.tableDelay
	t.cell.mu.Unlock()
	time.Sleep(messageLatency + delay)
	if down {
		return errNoReply
	}
	return nil
}

func (t *tableClient) Get(ctx context.Context, key string) (keeper.Record, error) {
	if err := t.sendRequest(ctx); err != nil {
		return keeper.Record{}, err
	}
	r, err := t.cell.store.Get(key)
	time.Sleep(messageLatency)
	if err != nil {
		return r, err
	}
	return r, t.gate.pass(ctx)
}

func (t *tableClient) Scan(ctx context.Context, prefix string) ([]keeper.Record, error) {
	if err := t.sendRequest(ctx); err != nil {
		return nil, err
	}
	rs := t.cell.store.Scan(prefix)
	time.Sleep(messageLatency)
	return rs, t.gate.pass(ctx)
}

func (t *tableClient) Transact(ctx context.Context, tx keeper.Transaction) error {
	if err := t.sendRequest(ctx); err != nil {
		return err
	}
	err := t.cell.store.Transact(tx)
	time.Sleep(messageLatency)
	if t.cell.losesReply() {
		return errNoReply
	}
	if err != nil {
		return err
	}
	return t.gate.pass(ctx)
}

// backend is a backend server as its agent reaches it. What it has started is the
// oracle.
type backend struct {
	cell  *cell
	gate  *gate
	fails bool
}

func (b *backend) Invoke(ctx context.Context, m *starter.Start) (describer.Result, error) {
	if err := b.gate.pass(ctx); err != nil {
		return describer.Result{}, err
	}
	b.cell.recordStart(m.Task)
	run, fails := b.cell.taskBehaviour(b, m.Task)
	time.Sleep(run)
	if fails {
		return describer.Result{Outcome: describer.Failed}, nil
	}
	return describer.Result{Outcome: describer.Succeeded, Body: []byte(m.Task.String())}, nil
}

// world is a cell of two entries and three agents in virtual time, with the real
// code of both roles and fakes at their edges.
type cell struct {
	t     *testing.T
	net   *network
	store *faker.Store
	ctx   context.Context

	mu        sync.Mutex
	tableDown bool
	// unserved is a process to which the table service gives no answer.
	tableDownFor *gate
	tableDelay   time.Duration
	lostReplies  int
	starts       map[identifier.Task]int
	violations   []string
	run          time.Duration
	straggler    bool

	entries   []*process
	agents    []*process
	backends  []*backend
	processes sync.WaitGroup
	requests  []*request
}

// process is a role that runs in the world.
type process struct {
	name  string
	gate  *gate
	stop  context.CancelFunc
	entry *entry.Runner
	ended chan struct{}
}

// newEmptyWorld has a table service and no process.
func newEmptyCell(t *testing.T) *cell {
	return &cell{
		t: t, net: newNetwork(), store: &faker.Store{}, ctx: context.Background(),
		starts: make(map[identifier.Task]int), run: 50 * time.Millisecond,
	}
}

// newWorld has two entries and three agents that have settled.
func newCell(t *testing.T) *cell {
	c := newEmptyCell(t)
	for i := range 2 {
		c.entries = append(c.entries, c.startEntry(i))
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 3 {
		c.agents = append(c.agents, c.startAgent(i))
	}
	time.Sleep(5 * time.Second)
	return c
}

func linkAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7200)
}

func (c *cell) startEntry(i int) *process {
	settings := loader.DefaultEntry()
	settings.Name = identifier.Entry(fmt.Sprintf("e%d", i+1))
	settings.Link = linkAddr(i)
	settings.Partitions = 4
	p := &process{name: string(settings.Name), gate: newGate()}
	dependencies := entry.Dependencies{Table: &tableClient{c, p.gate}, Dial: c.net.dialer(p.gate)}
	p.entry = entry.New(settings, zap.NewNop(), time.Now, dependencies)
	ln := c.net.listen(p.gate, settings.Link)
	c.start(p, func(ctx context.Context) error { return p.entry.Run(ctx, ln, func() {}) })
	return p
}

func (c *cell) startAgent(i int) *process {
	settings := loader.DefaultAgent()
	settings.Name = identifier.Agent(fmt.Sprintf("a%d", i+1))
	p := &process{name: string(settings.Name), gate: newGate()}
	b := &backend{cell: c, gate: p.gate}
	c.mu.Lock()
	c.backends = append(c.backends, b)
	c.mu.Unlock()
	dependencies := agent.Dependencies{Table: &tableClient{c, p.gate}, Backend: b, Dial: c.net.dialer(p.gate)}
	r := agent.New(settings, zap.NewNop(), time.Now, dependencies)
	c.start(p, r.Run)
	return p
}

func (c *cell) start(p *process, run func(context.Context) error) {
	ctx, stop := context.WithCancel(c.ctx)
	p.stop, p.ended = stop, make(chan struct{})
	c.processes.Go(func() {
		_ = run(ctx)
		close(p.ended)
	})
}

// kill ends a process at once: nothing of it gets out any more.
func (c *cell) kill(p *process) {
	p.gate.kill()
	c.net.closeAll(p.gate)
	p.stop()
}

func (c *cell) losesReply() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostReplies == 0 {
		return false
	}
	c.lostReplies--
	return true
}

func (c *cell) setTable(down bool, delay time.Duration, lost int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tableDown, c.tableDelay, c.lostReplies = down, delay, lost
}

func (c *cell) setTableDownFor(g *gate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tableDownFor = g
}

func (c *cell) recordStart(task identifier.Task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[task]++
	if c.starts[task] > 1 {
		c.violations = append(c.violations, fmt.Sprintf("%s started twice", task))
	}
}

func (c *cell) hasStarted(task identifier.Task) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[task] > 0
}

// draw returns how long a task runs at a backend server, and whether it fails.
func (c *cell) taskBehaviour(b *backend, task identifier.Task) (run time.Duration, fails bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run = c.run
	if c.straggler && task.Index == 0 {
		run *= 40
	}
	return run, b.fails
}

// agent returns the agent that faults strike.
func (c *cell) agent() *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agents[0]
}

// replaceAgent starts the next incarnation of that agent.
func (c *cell) replaceAgent() {
	p := c.startAgent(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agents = append(c.agents, c.agents[0])
	c.agents[0] = p
}

func (c *cell) failBackend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backends[0].fails = true
}

func (c *cell) setStraggler() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.straggler = true
}

func (c *cell) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// answered is one request with its answer.
type request struct {
	submission identifier.Submission
	entry      *process
	answer     describer.Answer
	// given is closed when the answer has been given.
	answered chan struct{}
}

func (a *request) done() bool {
	select {
	case <-a.answered:
		return true
	default:
		return false
	}
}

// job returns a job of n tasks whose identity belongs to the wanted entry.
func (c *cell) newJob(n int, owner int) describer.Job {
	for k := 0; ; k++ {
		s := identifier.Submission{Workspace: "w", Key: fmt.Sprintf("job%d", k)}
		if c.entries[owner].entry.Owns(s) {
			return describer.Job{
				Submission: s, Created: time.Now(), Template: "stock", Urgent: true,
				Budget: 20 * time.Second, Timeout: 10 * time.Second, Inputs: make([][]byte, n),
			}
		}
	}
}

// submit sends a job through an entry, and checks the answer when it comes. A dead
// entry answers nobody.
func (c *cell) submit(p *process, job describer.Job) *request {
	a := &request{submission: job.Submission, entry: p, answered: make(chan struct{})}
	c.mu.Lock()
	c.requests = append(c.requests, a)
	c.mu.Unlock()
	c.processes.Go(func() {
		answer := p.entry.Submit(c.ctx, job)
		if p.gate.pass(c.ctx) != nil {
			return
		}
		a.answer = answer
		c.check(a, len(job.Inputs))
		close(a.answered)
	})
	return a
}

// check holds one answer against the oracle at the time when it is given.
func (c *cell) check(a *request, tasks int) {
	if r := a.answer.Refusal; r != nil {
		for i := range tasks {
			if r.NotRun && c.hasStarted(identifier.Task{Submission: a.submission, Index: i}) {
				c.addViolation("refused as not run, but task %d ran", i)
			}
		}
		return
	}
	if len(a.answer.Results) != tasks {
		c.addViolation("an answer has %d of %d results", len(a.answer.Results), tasks)
	}
	for i, r := range a.answer.Results {
		task := identifier.Task{Submission: a.submission, Index: i}
		if r.Outcome == describer.NotRun && c.hasStarted(task) {
			c.addViolation("task %d is said not to have run, but did", i)
		}
		if a.answer.Complete && string(r.Body) != task.String() {
			c.addViolation("task %d has the result %q", i, r.Body)
		}
		if !a.answer.Complete && r.Body != nil {
			c.addViolation("a failed answer has the result of task %d", i)
		}
	}
}

// checkTogether holds the answers to one identity against each other: once it was
// complete, it stays so.
func (c *cell) checkAnswersAgree() {
	complete := false
	for _, a := range c.requests {
		if !a.done() || a.answer.Refusal != nil {
			continue
		}
		if complete && !a.answer.Complete {
			c.addViolation("a complete answer was followed by a failed one")
		}
		complete = complete || a.answer.Complete
	}
}

// close stops all processes in good order and returns what was violated.
func (c *cell) close() string {
	c.setTable(false, 0, 0)
	c.setTableDownFor(nil)
	for _, p := range append(append([]*process(nil), c.agents...), c.entries...) {
		p.gate.resume()
		p.stop()
	}
	c.processes.Wait()
	c.checkAnswersAgree()
	return strings.Join(c.violations, "; ")
}
