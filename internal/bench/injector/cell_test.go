package injector

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
	"github.com/dandeliongrade/dandeliongrade/internal/platform/storer"
)

// tableClient gives one process access to the fake table service.
type tableClient struct {
	cell *cell
	gate *gate
}

var errNoAnswer = &storer.NoAnswerError{Cause: errors.New("no answer")}

// sendRequest takes the time of a request to the table service. It returns errNoAnswer if
// the service is down for the process.
func (t *tableClient) sendRequest(ctx context.Context) error {
	if err := t.gate.pass(ctx); err != nil {
		return err
	}
	t.cell.mu.Lock()
	down, delay := t.cell.tableDown || t.cell.tableDownFor == t.gate, t.cell.tableDelay
	t.cell.mu.Unlock()
	time.Sleep(messageLatency + delay)
	if down {
		return errNoAnswer
	}
	return nil
}

func (t *tableClient) Get(ctx context.Context, key string) (storer.Record, error) {
	if err := t.sendRequest(ctx); err != nil {
		return storer.Record{}, err
	}
	r, err := t.cell.store.Get(key)
	time.Sleep(messageLatency)
	if err != nil {
		return r, err
	}
	return r, t.gate.pass(ctx)
}

func (t *tableClient) Scan(ctx context.Context, prefix string) ([]storer.Record, error) {
	if err := t.sendRequest(ctx); err != nil {
		return nil, err
	}
	rs := t.cell.store.Scan(prefix)
	time.Sleep(messageLatency)
	return rs, t.gate.pass(ctx)
}

func (t *tableClient) Transact(ctx context.Context, tx storer.Transaction) error {
	if err := t.sendRequest(ctx); err != nil {
		return err
	}
	err := t.cell.store.Transact(tx)
	time.Sleep(messageLatency)
	if t.cell.useLostReply() {
		return errNoAnswer
	}
	if err != nil {
		return err
	}
	return t.gate.pass(ctx)
}

// backend is the fake backend server of one agent. It records the tasks that it starts,
// against which the answers are checked.
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

// cell is a set of entries and agents that run the real code of their roles in virtual
// time, with a fake network, table service and backend servers.
type cell struct {
	t     *testing.T
	net   *network
	store *faker.Store
	ctx   context.Context

	// mu guards the fields below while processes run.
	mu        sync.Mutex
	tableDown bool
	// tableDownFor is a process to which the table service does not reply, or nil.
	tableDownFor *gate
	tableDelay   time.Duration
	// lostReplies is how many replies to the next transactions are lost.
	lostReplies int
	starts      map[identifier.Task]int
	violations  []string
	// run is the run time of a task.
	run time.Duration
	// straggler means that the first task of a job runs much longer.
	straggler bool

	entries   []*process
	agents    []*process
	backends  []*backend
	processes sync.WaitGroup
	requests  []*request
}

// process is an entry or an agent of a cell.
type process struct {
	name string
	gate *gate
	// stop starts a graceful shutdown.
	stop context.CancelFunc
	// entry is nil for an agent.
	entry *entry.Runner
	// ended is closed when the process has ended.
	ended chan struct{}
}

// newEmptyCell returns a cell without processes.
func newEmptyCell(t *testing.T) *cell {
	return &cell{
		t: t, net: newNetwork(), store: &faker.Store{}, ctx: context.Background(),
		starts: make(map[identifier.Task]int), run: 50 * time.Millisecond,
	}
}

// newCell starts a cell of two entries and three agents. It waits until the agents are
// linked and the partitions assigned.
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

// linkAddr returns the address at which entry i takes links.
func linkAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7200)
}

// startEntry starts entry i.
func (c *cell) startEntry(i int) *process {
	settings := loader.DefaultEntry()
	settings.Name = identifier.Entry(fmt.Sprintf("e%d", i+1))
	settings.Link = linkAddr(i)
	settings.Partitions = 4
	p := &process{name: string(settings.Name), gate: newGate()}
	deps := entry.Dependencies{Table: &tableClient{c, p.gate}, Dial: c.net.dialer(p.gate)}
	p.entry = entry.New(settings, zap.NewNop(), time.Now, deps)
	ln := c.net.listen(p.gate, settings.Link)
	c.start(p, func(ctx context.Context) error { return p.entry.Run(ctx, ln, func() {}) })
	return p
}

// startAgent starts agent i, or its next incarnation, with a backend server of its own.
func (c *cell) startAgent(i int) *process {
	settings := loader.DefaultAgent()
	settings.Name = identifier.Agent(fmt.Sprintf("a%d", i+1))
	p := &process{name: string(settings.Name), gate: newGate()}
	b := &backend{cell: c, gate: p.gate}
	c.mu.Lock()
	c.backends = append(c.backends, b)
	c.mu.Unlock()
	deps := agent.Dependencies{Table: &tableClient{c, p.gate}, Backend: b, Dial: c.net.dialer(p.gate)}
	r := agent.New(settings, zap.NewNop(), time.Now, deps)
	c.start(p, r.Run)
	return p
}

// start runs a process until it ends or p.stop is called.
func (c *cell) start(p *process, run func(context.Context) error) {
	ctx, stop := context.WithCancel(c.ctx)
	p.stop, p.ended = stop, make(chan struct{})
	c.processes.Go(func() {
		_ = run(ctx)
		close(p.ended)
	})
}

// kill ends a process at once. Its connections close, and its input and output fail.
func (c *cell) kill(p *process) {
	p.gate.kill()
	c.net.closeAll(p.gate)
	p.stop()
}

// useLostReply reports whether the reply to this transaction is lost, and if so reduces
// lostReplies by one.
func (c *cell) useLostReply() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostReplies == 0 {
		return false
	}
	c.lostReplies--
	return true
}

// setTable sets whether the table service is down, how much each request is delayed, and
// how many replies to the next transactions are lost.
func (c *cell) setTable(down bool, delay time.Duration, lostReplies int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tableDown, c.tableDelay, c.lostReplies = down, delay, lostReplies
}

// setTableDownFor makes the table service unavailable to one process, or to none if g is
// nil.
func (c *cell) setTableDownFor(g *gate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tableDownFor = g
}

// recordStart records that a backend server starts a task. No task may start twice.
func (c *cell) recordStart(task identifier.Task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[task]++
	if c.starts[task] > 1 {
		c.violations = append(c.violations, fmt.Sprintf("%s was started twice", task))
	}
}

// hasStarted reports whether a backend server has started the task.
func (c *cell) hasStarted(task identifier.Task) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[task] > 0
}

// taskBehaviour returns how long a task runs at a backend server, and whether it fails.
func (c *cell) taskBehaviour(b *backend, task identifier.Task) (run time.Duration, fails bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run = c.run
	if c.straggler && task.Index == 0 {
		run *= 40
	}
	return run, b.fails
}

// firstAgent returns the first agent, into which faults are injected.
func (c *cell) firstAgent() *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agents[0]
}

// replaceAgent starts the next incarnation of the first agent. The earlier one stays in
// c.agents, where close finds it.
func (c *cell) replaceAgent() {
	p := c.startAgent(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agents = append(c.agents, c.agents[0])
	c.agents[0] = p
}

// failBackend makes the backend server of the first agent fail every task.
func (c *cell) failBackend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backends[0].fails = true
}

// setStraggler makes the first task of every job run 40 times as long.
func (c *cell) setStraggler() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.straggler = true
}

// addViolation records that a check has failed.
func (c *cell) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// request is one submission of a job through an entry.
type request struct {
	submission identifier.Submission
	entry      *process
	// answer is set before answered is closed.
	answer   describer.Answer
	answered chan struct{}
}

// isAnswered reports whether the answer has been received.
func (r *request) isAnswered() bool {
	select {
	case <-r.answered:
		return true
	default:
		return false
	}
}

// newJob returns a job of n tasks that is owned by the entry with the index owner.
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

// submit submits a job through an entry and checks the answer when it comes. If the entry
// is killed before, there is no answer.
func (c *cell) submit(p *process, job describer.Job) *request {
	req := &request{submission: job.Submission, entry: p, answered: make(chan struct{})}
	c.mu.Lock()
	c.requests = append(c.requests, req)
	c.mu.Unlock()
	c.processes.Go(func() {
		answer := p.entry.Submit(c.ctx, job)
		if p.gate.pass(c.ctx) != nil {
			return
		}
		req.answer = answer
		c.checkAnswer(req, len(job.Inputs))
		close(req.answered)
	})
	return req
}

// checkAnswer compares the answer to a request with the tasks that have started by then.
func (c *cell) checkAnswer(req *request, tasks int) {
	if r := req.answer.Refusal; r != nil {
		for i := range tasks {
			if r.NotRun && c.hasStarted(identifier.Task{Submission: req.submission, Index: i}) {
				c.addViolation("the job was refused as not run, but task %d ran", i)
			}
		}
		return
	}
	if len(req.answer.Results) != tasks {
		c.addViolation("the answer has %d of %d results", len(req.answer.Results), tasks)
	}
	for i, r := range req.answer.Results {
		task := identifier.Task{Submission: req.submission, Index: i}
		if r.Outcome == describer.NotRun && c.hasStarted(task) {
			c.addViolation("task %d was reported as not run, but ran", i)
		}
		if req.answer.Complete && string(r.Body) != task.String() {
			c.addViolation("task %d has the result %q", i, r.Body)
		}
		if !req.answer.Complete && r.Body != nil {
			c.addViolation("the answer is incomplete, but has the result of task %d", i)
		}
	}
}

// checkAnswersAgree compares the answers to one job with each other, in the order of the
// requests. Once one of them is complete, later ones must be complete or refusals.
func (c *cell) checkAnswersAgree() {
	complete := false
	for _, req := range c.requests {
		if !req.isAnswered() || req.answer.Refusal != nil {
			continue
		}
		if complete && !req.answer.Complete {
			c.addViolation("a complete answer was followed by an incomplete one")
		}
		complete = complete || req.answer.Complete
	}
}

// close restores the table service, resumes frozen processes, shuts down all processes
// gracefully and returns the violations.
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
