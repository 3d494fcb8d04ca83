package prover

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/allocator"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/owner"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
	"github.com/dandeliongrade/dandeliongrade/internal/member/sealer"
)

// TestMain fixes the seed and the length of the stateful fuzzing, unless others are
// given.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// The settings of the fuzzed world.
const (
	fuzzLease     = 3 * time.Second
	fuzzReadLease = time.Second
	fuzzRetain    = 10 * time.Minute
	fuzzBound     = time.Second
)

// packet is a message on its way. It may arrive late, out of order, twice or never,
// which is more than the links allow.
type packet struct {
	agent   int
	owner   int
	toOwner bool
	message any
}

// fuzzAgent is the deciding code of an agent, with the calls that it has recorded
// and not yet made, and those that run.
type fuzzAgent struct {
	s       *starter.Starter
	linked  [2]bool
	pending []identifier.Task
	running []identifier.Task
	member  registrar.Registration
}

// fuzzWorld drives the deciding code of two owners and two agents. The oracle counts
// calls of the backend servers.
type fuzzWorld struct {
	now      time.Time
	owners   [2]*owner.Owner
	agents   [2]*fuzzAgent
	takeover [2]*sealer.Takeover
	packets  []packet
	current  int
	epoch    identifier.Epoch
	started  map[identifier.Task]int
	requests map[uint64]describer.Job
	whole    map[identifier.Submission]bool
	created  map[int]time.Time
	sequence uint64
	violated string
	leftOut  rule
}

// rule is one that a mutation leaves out.
type rule string

// The rules that are left out in turn.
const (
	noRule          rule = ""
	ruleSeal        rule = "the seal"
	ruleCaution     rule = "the caution for lost evidence"
	ruleIncarnation rule = "the incarnation"
	ruleRecord      rule = "the record before the call"
	ruleReadLease   rule = "the end of the read lease"
)

func (w *fuzzWorld) violate(format string, args ...any) {
	if w.violated == "" {
		w.violated = fmt.Sprintf(format, args...)
	}
}

func newFuzzWorld(leftOut rule) *fuzzWorld {
	w := &fuzzWorld{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), epoch: 1, leftOut: leftOut,
		started: make(map[identifier.Task]int), requests: make(map[uint64]describer.Job), whole: make(map[identifier.Submission]bool),
		created: make(map[int]time.Time),
	}
	for i := range w.owners {
		w.owners[i] = owner.New(owner.Settings{Partitions: 1, Retention: fuzzRetain, ClockBound: fuzzBound, MaxWaiting: 1000})
	}
	for i := range w.agents {
		w.agents[i] = &fuzzAgent{member: registrar.Registration{Agent: agentName(i), Incarnation: 1, Registered: w.now}}
		w.renew(i)
	}
	w.owners[0].Claim(starter.Claim{Epoch: 1})
	w.perform(0, w.owners[0].Serve(w.now, starter.Claim{Epoch: 1}, time.Time{}))
	return w
}

func agentName(i int) identifier.Agent { return identifier.Agent(fmt.Sprintf("a%d", i)) }
func ownerName(i int) identifier.Entry { return identifier.Entry(fmt.Sprintf("e%d", i)) }

// renew begins an agent's present incarnation, fenced by a reading of the table.
func (w *fuzzWorld) renew(i int) {
	a := w.agents[i]
	a.s = &starter.Starter{Incarnation: a.member.Incarnation, Retention: fuzzRetain + fuzzBound}
	a.s.RaiseFence(ownerName(w.current), starter.Claim{Epoch: w.epoch})
	a.pending, a.running, a.linked = nil, nil, [2]bool{}
}

// perform carries out the effects of an owner.
func (w *fuzzWorld) perform(from int, effects []owner.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case owner.Respond:
			w.check(e.To.Sequence, e.Reply)
		case owner.Send:
			for i := range w.agents {
				if agentName(i) == e.Agent && w.agents[i].linked[from] {
					w.packets = append(w.packets, packet{agent: i, owner: from, message: e.Message})
				}
			}
		}
	}
}

// check holds a reply against the oracle at the time it is given.
func (w *fuzzWorld) check(sequence uint64, r owner.Reply) {
	job := w.requests[sequence]
	if r.Moved || r.Running {
		return
	}
	for i := range job.Inputs {
		task := identifier.Task{Submission: job.Submission, Index: i}
		ran := w.started[task] > 0
		if refusal := r.Answer.Refusal; refusal != nil {
			if refusal.NotRun && ran {
				w.violate("%s is refused as not run, and ran", task)
			}
			continue
		}
		if r.Answer.Results[i].Outcome == describer.NotRun && ran {
			w.violate("%s is said not to have run, and ran", task)
		}
		if r.Answer.Complete && !ran {
			w.violate("%s is said to have succeeded, and did not run", task)
		}
	}
	if r.Answer.Complete {
		w.whole[job.Submission] = true
	}
}

func (w *fuzzWorld) submit(o int, key int) {
	w.sequence++
	job := describer.Job{
		Submission: identifier.Submission{Workspace: "w", Key: fmt.Sprint(key)},
		Created:    w.now, Template: "t", Urgent: true,
		Budget: time.Minute, Inputs: make([][]byte, 2),
	}
	if created, known := w.created[key]; known {
		job.Created = created
	}
	w.created[key] = job.Created
	w.requests[w.sequence] = job
	w.perform(o, w.owners[o].Submit(w.now, owner.RequestID{Entry: "c", Sequence: w.sequence}, job))
}

// inquire asks an owner about a job that was submitted before.
func (w *fuzzWorld) inquire(o int, key int) {
	created, known := w.created[key]
	if !known {
		return
	}
	w.sequence++
	s := identifier.Submission{Workspace: "w", Key: fmt.Sprint(key)}
	w.requests[w.sequence] = describer.Job{Submission: s, Inputs: make([][]byte, 2)}
	m := &owner.Inquire{Submission: s, Created: created}
	w.perform(o, w.owners[o].Inquire(w.now, owner.RequestID{Entry: "c", Sequence: w.sequence}, m))
}

func (w *fuzzWorld) link(a, o int) {
	agent := w.agents[a]
	if agent.linked[o] {
		return
	}
	agent.linked[o] = true
	w.perform(o, w.owners[o].AgentLinked(agentName(a), agent.s.Incarnation))
	if t := w.takeover[o]; t != nil {
		w.seal(o, a, t)
	}
	w.perform(o, w.owners[o].HandleGrant(w.now, agentName(a), &allocator.Grant{Incarnation: agent.s.Incarnation, Slots: 3}))
}

func (w *fuzzWorld) unlink(a, o int) {
	w.agents[a].linked[o] = false
	w.agents[a].s.Unlink(ownerName(o))
	w.owners[o].AgentUnlinked(agentName(a))
}

func (w *fuzzWorld) seal(o, a int, t *sealer.Takeover) {
	if m := t.SealFor(agentName(a), w.agents[a].s.Incarnation); m != nil {
		w.packets = append(w.packets, packet{agent: a, owner: o, message: m})
	}
}

// askLease is a question and its answer without a delay between them.
func (w *fuzzWorld) askLease(a, o int) {
	if !w.agents[a].linked[o] {
		return
	}
	w.sequence++
	w.agents[a].s.RecordLeaseRequest(w.now, ownerName(o), w.sequence)
	w.agents[a].s.HandleLeaseReply(ownerName(o), &starter.LeaseReply{Sequence: w.sequence, Remaining: w.owners[o].LeaseRemaining(w.now)})
}

// replace kills an agent and starts its next incarnation.
func (w *fuzzWorld) replace(a int) {
	agent := w.agents[a]
	for o := range w.owners {
		w.unlink(a, o)
	}
	agent.member.Replaced = agent.member.Incarnation
	agent.member.Incarnation++
	agent.member.Registered = w.now
	w.renew(a)
}

// claim lets the other owner claim the partition.
func (w *fuzzWorld) claim() {
	w.current = 1 - w.current
	w.epoch++
	claim := starter.Claim{Epoch: w.epoch}
	o := w.current
	w.perform(o, w.owners[o].Release(0))
	w.owners[o].Claim(claim)
	roster := []registrar.Registration{w.agents[0].member, w.agents[1].member}
	w.takeover[o] = sealer.New(w.now, []starter.Claim{claim}, roster, w.owners[o].ImportFinalReport, fuzzLease, fuzzReadLease, fuzzRetain+fuzzBound)
	for a := range w.agents {
		if w.agents[a].linked[o] {
			w.seal(o, a, w.takeover[o])
		}
	}
}

// notice lets the owner that has lost the partition read that, and hand it over or
// not.
func (w *fuzzWorld) notice(hand bool) {
	old := 1 - w.current
	if hand {
		for _, m := range w.owners[old].ExportHandover(0) {
			if w.owners[w.current].ImportHandover(m) {
				w.takeover[w.current].MarkHandedOver(0)
				w.perform(w.current, w.owners[w.current].Serve(w.now, starter.Claim{Epoch: m.Epoch + 1}, m.Cutoff))
			}
		}
	}
	w.perform(old, w.owners[old].Release(0))
}

// tick lets time pass, and the present owner confirm its lease or not.
func (w *fuzzWorld) tick(pass time.Duration, confirm bool) {
	w.now = w.now.Add(pass)
	if confirm {
		readLease := w.now.Add(fuzzReadLease)
		if w.leftOut == ruleReadLease {
			readLease = w.now.Add(fuzzLease)
		}
		w.perform(w.current, w.owners[w.current].ConfirmLease(w.now, w.now.Add(fuzzLease), readLease))
	}
	for o := range w.owners {
		w.finishTakeover(o)
		w.perform(o, w.owners[o].Tick(w.now))
	}
}

func (w *fuzzWorld) finishTakeover(o int) {
	t := w.takeover[o]
	if t == nil {
		return
	}
	done, cautious := t.Done(w.now)
	if !done && w.leftOut != ruleSeal {
		return
	}
	var cutoff time.Time
	if cautious && w.leftOut != ruleCaution {
		cutoff = w.now.Add(fuzzBound)
	}
	for _, c := range t.Remaining() {
		w.perform(o, w.owners[o].Serve(w.now, c, cutoff))
	}
	w.takeover[o] = nil
}

// deliver hands over one packet, and keeps it for another time or not.
func (w *fuzzWorld) deliver(i int, keep bool) {
	p := w.packets[i]
	if !keep {
		w.packets = append(w.packets[:i], w.packets[i+1:]...)
	}
	if p.toOwner {
		w.deliverToOwner(p)
		return
	}
	w.deliverToAgent(p)
}

func (w *fuzzWorld) deliverToAgent(p packet) {
	a := w.agents[p.agent]
	from := ownerName(p.owner)
	reply := func(m any) { w.packets = append(w.packets, packet{p.agent, p.owner, true, m}) }
	switch m := p.message.(type) {
	case *starter.Start:
		if w.leftOut == ruleIncarnation {
			copied := *m
			copied.Incarnation = a.s.Incarnation
			m = &copied
		}
		reason := a.s.Start(w.now, from, m, true)
		switch reason {
		case starter.Accepted:
			a.pending = append(a.pending, m.Task)
			if w.leftOut == ruleRecord {
				a.s.MarkUnreachable(m.Task)
			}
		case starter.OtherIncarnation, starter.AlreadyStarted:
		default:
			reply(&starter.NotStarted{Incarnation: m.Incarnation, Task: m.Task, Epoch: m.Epoch, Attempt: m.Attempt, Reason: reason, GrantedSlots: 1})
		}
	case *starter.Revoke:
		if answer, ok := a.s.Revoke(w.now, from, m); ok {
			reply(&answer)
		}
	case *starter.Seal:
		// The parts of an answer come in their order or not at all.
		reply(a.s.Seal(from, m))
	}
}

func (w *fuzzWorld) deliverToOwner(p packet) {
	o, name := w.owners[p.owner], agentName(p.agent)
	switch m := p.message.(type) {
	case *starter.Ended:
		w.perform(p.owner, o.HandleEnded(w.now, name, m))
	case *starter.NotStarted:
		w.perform(p.owner, o.HandleNotStarted(w.now, name, m))
	case *starter.Revoked:
		w.perform(p.owner, o.HandleRevoked(w.now, name, m))
	case []*starter.Sealed:
		for _, part := range m {
			if t := w.takeover[p.owner]; t != nil && t.HandleSealed(name, part) {
				w.perform(p.owner, o.HandleSealed(name, part))
			}
		}
	}
}

// call lets an agent make a call that it has recorded; end ends one that runs.
func (w *fuzzWorld) call(a int) {
	agent := w.agents[a]
	if len(agent.pending) == 0 {
		return
	}
	task := agent.pending[0]
	agent.pending = agent.pending[1:]
	agent.running = append(agent.running, task)
	w.started[task]++
	if w.started[task] > 1 {
		w.violate("%s was started twice", task)
	}
}

// fail lets a recorded call find no backend server.
func (w *fuzzWorld) fail(a int) {
	agent := w.agents[a]
	if len(agent.pending) == 0 {
		return
	}
	task := agent.pending[0]
	agent.pending = agent.pending[1:]
	to, m := agent.s.MarkUnreachable(task)
	for o := range w.owners {
		if ownerName(o) == to && agent.linked[o] {
			w.packets = append(w.packets, packet{a, o, true, &m})
		}
	}
}

func (w *fuzzWorld) end(a int) {
	agent := w.agents[a]
	if len(agent.running) == 0 {
		return
	}
	task := agent.running[0]
	agent.running = agent.running[1:]
	to := agent.s.End(task, describer.Result{Outcome: describer.Succeeded})
	for o := range w.owners {
		if ownerName(o) == to && agent.linked[o] {
			m := &starter.Ended{Incarnation: agent.s.Incarnation, Task: task, Result: describer.Result{Outcome: describer.Succeeded}, GrantedSlots: 1}
			w.packets = append(w.packets, packet{a, o, true, m})
		}
	}
}

// settle lets everything that is linked work for a while without a fault.
func (w *fuzzWorld) settle() {
	w.tick(0, true)
	for a := range w.agents {
		for o := range w.owners {
			w.link(a, o)
			w.askLease(a, o)
		}
	}
	for range 20 {
		if len(w.packets) > 0 {
			w.deliver(0, false)
		}
		for a := range w.agents {
			w.call(a)
			w.end(a)
		}
	}
}

// history drives a world by numbers, of which each decides something, and returns
// what was violated and how many jobs were answered completely.
func history(numbers []int, leftOut rule) (violated string, whole int) {
	w := newFuzzWorld(leftOut)
	pick := func(n int) int {
		if len(numbers) == 0 {
			return 0
		}
		picked := numbers[0] % n
		numbers = numbers[1:]
		return picked
	}
	for len(numbers) > 0 && w.violated == "" {
		w.act(pick)
	}
	return w.violated, len(w.whole)
}

// act does one thing.
func (w *fuzzWorld) act(pick func(int) int) {
	a, o := pick(2), pick(2)
	switch pick(20) {
	case 0, 1:
		w.submit(o, pick(12))
	case 2, 3:
		w.link(a, o)
	case 4:
		w.unlink(a, o)
	case 5, 6:
		w.askLease(a, o)
	case 7:
		w.call(a)
	case 8:
		w.end(a)
	case 9:
		w.tick(time.Duration(pick(12))*100*time.Millisecond, pick(4) > 0)
	case 10:
		if pick(4) == 0 {
			w.replace(a)
		}
	case 11:
		if pick(3) == 0 {
			w.claim()
		}
	case 12:
		w.notice(pick(2) == 0)
	case 13:
		w.settle()
	case 14:
		w.inquire(o, pick(12))
	case 15:
		w.fail(a)
	default:
		if len(w.packets) > 0 {
			w.deliver(pick(len(w.packets)), pick(4) == 0)
		}
	}
}

var histories = rapid.SliceOfN(rapid.IntRange(0, 1<<20), 60, 1000)

// TestFuzzedHistories draws histories of submissions, lost and late messages,
// replaced agents and takeovers, and holds what happens against the oracle.
func TestFuzzedHistories(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		violated, whole := history(histories.Draw(t, "history"), noRule)
		if violated != "" {
			t.Fatal(violated)
		}
		total += whole
	})
	t.Logf("%d jobs were answered completely", total)
	assert.Assert(t, total > 0, "no job was answered completely: the histories show nothing")
}

// TestFuzzBites shows that the histories find what each rule prevents.
func TestFuzzBites(t *testing.T) {
	const most = 30_000
	for _, leftOut := range []rule{ruleSeal, ruleCaution, ruleIncarnation, ruleRecord, ruleReadLease} {
		t.Run(string(leftOut), func(t *testing.T) {
			t.Parallel()
			for seed := range most {
				if violated, _ := history(histories.Example(seed), leftOut); violated != "" {
					t.Logf("history %d: %s", seed, violated)
					return
				}
			}
			t.Fatalf("nothing was found in %d histories", most)
		})
	}
}
