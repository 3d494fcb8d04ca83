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
	"github.com/dandeliongrade/dandeliongrade/internal/platform/storer"
)

// table is the table service as one process reaches it.
type table struct {
	world *world
	gate  *gate
}

var errNoAnswer = &storer.NoAnswerError{Cause: errors.New("no answer")}

// reach passes the way to the table service, which may be slow or down.
func (t *table) reach(ctx context.Context) error {
	if err := t.gate.pass(ctx); err != nil {
		return err
	}
	t.world.mu.Lock()
	down, delay := t.world.tableDown || t.world.unserved == t.gate, t.world.tableDelay
	t.world.mu.Unlock()
	time.Sleep(latency + delay)
	if down {
		return errNoAnswer
	}
	return nil
}

func (t *table) Get(ctx context.Context, key string) (storer.Record, error) {
	if err := t.reach(ctx); err != nil {
		return storer.Record{}, err
	}
	r, err := t.world.store.Get(key)
	time.Sleep(latency)
	if err != nil {
		return r, err
	}
	return r, t.gate.pass(ctx)
}

func (t *table) Scan(ctx context.Context, prefix string) ([]storer.Record, error) {
	if err := t.reach(ctx); err != nil {
		return nil, err
	}
	rs := t.world.store.Scan(prefix)
	time.Sleep(latency)
	return rs, t.gate.pass(ctx)
}

func (t *table) Transact(ctx context.Context, tx storer.Transaction) error {
	if err := t.reach(ctx); err != nil {
		return err
	}
	err := t.world.store.Transact(tx)
	time.Sleep(latency)
	if t.world.loseReply() {
		return errNoAnswer
	}
	if err != nil {
		return err
	}
	return t.gate.pass(ctx)
}

// backend is a backend server as its agent reaches it. What it has started is the
// oracle.
type backend struct {
	world *world
	gate  *gate
	fails bool
}

func (b *backend) Invoke(ctx context.Context, m *starter.Start) (describer.Result, error) {
	if err := b.gate.pass(ctx); err != nil {
		return describer.Result{}, err
	}
	b.world.began(m.Task)
	run, fails := b.world.draw(b, m.Task)
	time.Sleep(run)
	if fails {
		return describer.Result{Outcome: describer.Failed}, nil
	}
	return describer.Result{Outcome: describer.Succeeded, Body: []byte(m.Task.String())}, nil
}

// world is a cell of two entries and three agents in virtual time, with the real
// code of both roles and fakes at their edges.
type world struct {
	t     *testing.T
	net   *network
	store *faker.Store
	ctx   context.Context

	mu        sync.Mutex
	tableDown bool
	// unserved is a process to which the table service gives no answer.
	unserved   *gate
	tableDelay time.Duration
	lost       int
	starts     map[identifier.Task]int
	violations []string
	run        time.Duration
	straggler  bool

	entries   []*process
	agents    []*process
	backends  []*backend
	processes sync.WaitGroup
	answers   []*answered
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
func newEmptyWorld(t *testing.T) *world {
	return &world{
		t: t, net: newNetwork(), store: &faker.Store{}, ctx: context.Background(),
		starts: make(map[identifier.Task]int), run: 50 * time.Millisecond,
	}
}

// newWorld has two entries and three agents that have settled.
func newWorld(t *testing.T) *world {
	w := newEmptyWorld(t)
	for i := range 2 {
		w.entries = append(w.entries, w.startEntry(i))
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 3 {
		w.agents = append(w.agents, w.startAgent(i))
	}
	time.Sleep(5 * time.Second)
	return w
}

func linkAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7200)
}

func (w *world) startEntry(i int) *process {
	settings := loader.DefaultEntry()
	settings.Name = identifier.Entry(fmt.Sprintf("e%d", i+1))
	settings.Link = linkAddr(i)
	settings.Partitions = 4
	p := &process{name: string(settings.Name), gate: newGate()}
	edges := entry.Dependencies{Table: &table{w, p.gate}, Dial: w.net.dialer(p.gate)}
	p.entry = entry.New(settings, zap.NewNop(), time.Now, edges)
	ln := w.net.listen(p.gate, settings.Link)
	w.begin(p, func(ctx context.Context) error { return p.entry.Run(ctx, ln, func() {}) })
	return p
}

func (w *world) startAgent(i int) *process {
	settings := loader.DefaultAgent()
	settings.Name = identifier.Agent(fmt.Sprintf("a%d", i+1))
	p := &process{name: string(settings.Name), gate: newGate()}
	b := &backend{world: w, gate: p.gate}
	w.mu.Lock()
	w.backends = append(w.backends, b)
	w.mu.Unlock()
	edges := agent.Dependencies{Table: &table{w, p.gate}, Backend: b, Dial: w.net.dialer(p.gate)}
	r := agent.New(settings, zap.NewNop(), time.Now, edges)
	w.begin(p, r.Run)
	return p
}

func (w *world) begin(p *process, run func(context.Context) error) {
	ctx, stop := context.WithCancel(w.ctx)
	p.stop, p.ended = stop, make(chan struct{})
	w.processes.Go(func() {
		_ = run(ctx)
		close(p.ended)
	})
}

// kill ends a process at once: nothing of it gets out any more.
func (w *world) kill(p *process) {
	p.gate.kill()
	w.net.closeAll(p.gate)
	p.stop()
}

func (w *world) loseReply() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost == 0 {
		return false
	}
	w.lost--
	return true
}

func (w *world) setTable(down bool, delay time.Duration, lost int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tableDown, w.tableDelay, w.lost = down, delay, lost
}

func (w *world) setUnserved(g *gate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unserved = g
}

func (w *world) began(task identifier.Task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[task]++
	if w.starts[task] > 1 {
		w.violations = append(w.violations, fmt.Sprintf("%s started twice", task))
	}
}

func (w *world) started(task identifier.Task) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task] > 0
}

// draw returns how long a task runs at a backend server, and whether it fails.
func (w *world) draw(b *backend, task identifier.Task) (run time.Duration, fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run = w.run
	if w.straggler && task.Index == 0 {
		run *= 40
	}
	return run, b.fails
}

// agent returns the agent that faults strike.
func (w *world) agent() *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[0]
}

// replaceAgent starts the next incarnation of that agent.
func (w *world) replaceAgent() {
	p := w.startAgent(0)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agents = append(w.agents, w.agents[0])
	w.agents[0] = p
}

func (w *world) failBackend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends[0].fails = true
}

func (w *world) setStraggler() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.straggler = true
}

func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// answered is one request with its answer.
type answered struct {
	submission identifier.Submission
	entry      *process
	answer     describer.Answer
	// given is closed when the answer has been given.
	given chan struct{}
}

func (a *answered) done() bool {
	select {
	case <-a.given:
		return true
	default:
		return false
	}
}

// job returns a job of n tasks whose identity belongs to the wanted entry.
func (w *world) job(n int, owner int) describer.Job {
	for k := 0; ; k++ {
		s := identifier.Submission{Workspace: "w", Key: fmt.Sprintf("job%d", k)}
		if w.entries[owner].entry.Owns(s) {
			return describer.Job{
				Submission: s, Created: time.Now(), Template: "stock", Urgent: true,
				Budget: 20 * time.Second, Timeout: 10 * time.Second, Inputs: make([][]byte, n),
			}
		}
	}
}

// submit sends a job through an entry, and checks the answer when it comes. A dead
// entry answers nobody.
func (w *world) submit(p *process, job describer.Job) *answered {
	a := &answered{submission: job.Submission, entry: p, given: make(chan struct{})}
	w.mu.Lock()
	w.answers = append(w.answers, a)
	w.mu.Unlock()
	w.processes.Go(func() {
		answer := p.entry.Submit(w.ctx, job)
		if p.gate.pass(w.ctx) != nil {
			return
		}
		a.answer = answer
		w.check(a, len(job.Inputs))
		close(a.given)
	})
	return a
}

// check holds one answer against the oracle at the time when it is given.
func (w *world) check(a *answered, tasks int) {
	if r := a.answer.Refusal; r != nil {
		for i := range tasks {
			if r.NotRun && w.started(identifier.Task{Submission: a.submission, Index: i}) {
				w.violate("refused as not run, but task %d ran", i)
			}
		}
		return
	}
	if len(a.answer.Results) != tasks {
		w.violate("an answer has %d of %d results", len(a.answer.Results), tasks)
	}
	for i, r := range a.answer.Results {
		task := identifier.Task{Submission: a.submission, Index: i}
		if r.Outcome == describer.NotRun && w.started(task) {
			w.violate("task %d is said not to have run, but did", i)
		}
		if a.answer.Complete && string(r.Body) != task.String() {
			w.violate("task %d has the result %q", i, r.Body)
		}
		if !a.answer.Complete && r.Body != nil {
			w.violate("a failed answer has the result of task %d", i)
		}
	}
}

// checkTogether holds the answers to one identity against each other: once it was
// complete, it stays so.
func (w *world) checkTogether() {
	complete := false
	for _, a := range w.answers {
		if !a.done() || a.answer.Refusal != nil {
			continue
		}
		if complete && !a.answer.Complete {
			w.violate("a complete answer was followed by a failed one")
		}
		complete = complete || a.answer.Complete
	}
}

// close stops all processes in good order and returns what was violated.
func (w *world) close() string {
	w.setTable(false, 0, 0)
	w.setUnserved(nil)
	for _, p := range append(append([]*process(nil), w.agents...), w.entries...) {
		p.gate.thaw()
		p.stop()
	}
	w.processes.Wait()
	w.checkTogether()
	return strings.Join(w.violations, "; ")
}
