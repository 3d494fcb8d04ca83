package injector

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

// TestMain sets the seed and the number of fuzzed histories, unless they are given by
// flags.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// The settings of the owners and agents.
const (
	fuzzLease      = 3 * time.Second
	fuzzReadLease  = time.Second
	fuzzRetention  = 10 * time.Minute
	fuzzClockBound = time.Second
)

// packet is a message in transit between an owner and an agent. It may arrive late, out of
// order, twice or never. Links keep the order and repeat nothing, so this covers more than
// can happen.
type packet struct {
	agent   int
	owner   int
	toOwner bool
	message any
}

// fuzzAgent is an agent: its decision code and the state around it.
type fuzzAgent struct {
	starter *starter.Starter
	// linked says which owners the agent is linked to.
	linked [2]bool
	// recorded holds the accepted tasks whose backend server has not been called yet.
	recorded     []identifier.Task
	running      []identifier.Task
	registration registrar.Registration
}

// fuzzCell drives the decision code of two owners and two agents without input, output or
// concurrency. It counts the starts of each task and checks the replies against them.
type fuzzCell struct {
	now      time.Time
	owners   [2]*owner.Owner
	agents   [2]*fuzzAgent
	takeover [2]*sealer.Takeover
	packets  []packet
	// currentOwner is the index of the owner that has claimed the only partition, in epoch.
	currentOwner int
	epoch        identifier.Epoch
	// starts counts the calls to backend servers for each task.
	starts map[identifier.Task]int
	// requests holds the job of each request, by sequence.
	requests map[uint64]describer.Job
	// completed holds the submissions that got a complete answer.
	completed map[identifier.Submission]bool
	// created holds when each job was first submitted, by the number in its key.
	created  map[int]time.Time
	sequence uint64
	// violation is the first check that failed, or empty.
	violation string
	// disabled is the rule that the cell does not follow.
	disabled rule
}

// rule is a safety rule that a test can disable, to show that the checks notice it.
type rule string

// The rules that TestFuzzFindsMissingRules disables.
const (
	noRule rule = ""
	// A new owner serves a partition only after the takeover is done.
	ruleSeal rule = "the seal"
	// A new owner does not report earlier jobs as not run if records of agents are lost.
	ruleCutoff rule = "the cutoff for lost records"
	// An agent accepts only starts that are meant for its incarnation.
	ruleIncarnation rule = "the incarnation"
	// An agent records a start before it calls the backend server.
	ruleRecord rule = "the record before the call"
	// An owner reports tasks as not run only until its read lease ends.
	ruleReadLease rule = "the end of the read lease"
)

// addViolation records that a check has failed. Only the first one is kept.
func (c *fuzzCell) addViolation(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// newFuzzCell returns a cell in which the first owner serves the partition and the agents
// are not linked.
func newFuzzCell(disabled rule) *fuzzCell {
	c := &fuzzCell{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), epoch: 1, disabled: disabled,
		starts: make(map[identifier.Task]int), requests: make(map[uint64]describer.Job), completed: make(map[identifier.Submission]bool),
		created: make(map[int]time.Time),
	}
	for i := range c.owners {
		c.owners[i] = owner.New(owner.Settings{Partitions: 1, Retention: fuzzRetention, ClockBound: fuzzClockBound, MaxWaiting: 1000})
	}
	for i := range c.agents {
		c.agents[i] = &fuzzAgent{registration: registrar.Registration{Agent: agentName(i), Incarnation: 1, Registered: c.now}}
		c.startIncarnation(i)
	}
	c.owners[0].Claim(starter.Claim{Epoch: 1})
	c.perform(0, c.owners[0].Serve(c.now, starter.Claim{Epoch: 1}, time.Time{}))
	return c
}

func agentName(i int) identifier.Agent { return identifier.Agent(fmt.Sprintf("a%d", i)) }
func ownerName(i int) identifier.Entry { return identifier.Entry(fmt.Sprintf("e%d", i)) }

// startIncarnation starts the current incarnation of an agent. As it reads the assignment
// from the table, it knows the current epoch.
func (c *fuzzCell) startIncarnation(i int) {
	a := c.agents[i]
	a.starter = &starter.Starter{Incarnation: a.registration.Incarnation, Retention: fuzzRetention + fuzzClockBound}
	a.starter.RaiseFence(ownerName(c.currentOwner), starter.Claim{Epoch: c.epoch})
	a.recorded, a.running, a.linked = nil, nil, [2]bool{}
}

// perform carries out the effects of an owner.
func (c *fuzzCell) perform(from int, effects []owner.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case owner.Respond:
			c.checkReply(e.To.Sequence, e.Reply)
		case owner.Send:
			for i := range c.agents {
				if agentName(i) == e.Agent && c.agents[i].linked[from] {
					c.packets = append(c.packets, packet{agent: i, owner: from, message: e.Message})
				}
			}
		}
	}
}

// checkReply compares a reply with the tasks that have started by then.
func (c *fuzzCell) checkReply(sequence uint64, r owner.Reply) {
	job := c.requests[sequence]
	if r.Moved || r.Running {
		return
	}
	for i := range job.Inputs {
		task := identifier.Task{Submission: job.Submission, Index: i}
		ran := c.starts[task] > 0
		if refusal := r.Answer.Refusal; refusal != nil {
			if refusal.NotRun && ran {
				c.addViolation("%s was refused as not run, but ran", task)
			}
			continue
		}
		if r.Answer.Results[i].Outcome == describer.NotRun && ran {
			c.addViolation("%s was reported as not run, but ran", task)
		}
		if r.Answer.Complete && !ran {
			c.addViolation("%s was reported as succeeded, but did not run", task)
		}
	}
	if r.Answer.Complete {
		c.completed[job.Submission] = true
	}
}

// submit submits or resubmits the job with the given key to an owner.
func (c *fuzzCell) submit(o int, key int) {
	c.sequence++
	job := describer.Job{
		Submission: identifier.Submission{Workspace: "w", Key: fmt.Sprint(key)},
		Created:    c.now, Template: "t", Urgent: true,
		Budget: time.Minute, Inputs: make([][]byte, 2),
	}
	if created, known := c.created[key]; known {
		job.Created = created
	}
	c.created[key] = job.Created
	c.requests[c.sequence] = job
	c.perform(o, c.owners[o].Submit(c.now, owner.RequestID{Entry: "c", Sequence: c.sequence}, job))
}

// inquire asks an owner for the state of a job that has been submitted.
func (c *fuzzCell) inquire(o int, key int) {
	created, known := c.created[key]
	if !known {
		return
	}
	c.sequence++
	s := identifier.Submission{Workspace: "w", Key: fmt.Sprint(key)}
	c.requests[c.sequence] = describer.Job{Submission: s, Inputs: make([][]byte, 2)}
	m := &owner.Inquire{Submission: s, Created: created}
	c.perform(o, c.owners[o].Inquire(c.now, owner.RequestID{Entry: "c", Sequence: c.sequence}, m))
}

// link links an agent to an owner, which gets slots of the agent.
func (c *fuzzCell) link(a, o int) {
	agent := c.agents[a]
	if agent.linked[o] {
		return
	}
	agent.linked[o] = true
	c.perform(o, c.owners[o].AgentLinked(agentName(a), agent.starter.Incarnation))
	if t := c.takeover[o]; t != nil {
		c.sendSeal(o, a, t)
	}
	c.perform(o, c.owners[o].HandleGrant(c.now, agentName(a), &allocator.Grant{Incarnation: agent.starter.Incarnation, Slots: 3}))
}

// unlink ends the link between an agent and an owner.
func (c *fuzzCell) unlink(a, o int) {
	c.agents[a].linked[o] = false
	c.agents[a].starter.Unlink(ownerName(o))
	c.owners[o].AgentUnlinked(agentName(a))
}

// sendSeal sends the seal of a takeover to an agent that has not sealed yet.
func (c *fuzzCell) sendSeal(o, a int, t *sealer.Takeover) {
	if m := t.SealFor(agentName(a), c.agents[a].starter.Incarnation); m != nil {
		c.packets = append(c.packets, packet{agent: a, owner: o, message: m})
	}
}

// requestLease lets an agent request the lease of an owner, which replies without delay.
func (c *fuzzCell) requestLease(a, o int) {
	if !c.agents[a].linked[o] {
		return
	}
	c.sequence++
	c.agents[a].starter.RecordLeaseRequest(c.now, ownerName(o), c.sequence)
	c.agents[a].starter.HandleLeaseReply(ownerName(o), &starter.LeaseReply{Sequence: c.sequence, Remaining: c.owners[o].LeaseRemaining(c.now)})
}

// replaceAgent kills an agent and starts its next incarnation.
func (c *fuzzCell) replaceAgent(a int) {
	agent := c.agents[a]
	for o := range c.owners {
		c.unlink(a, o)
	}
	agent.registration.Replaced = agent.registration.Incarnation
	agent.registration.Incarnation++
	agent.registration.Registered = c.now
	c.startIncarnation(a)
}

// claimPartition lets the other owner claim the partition and start a takeover.
func (c *fuzzCell) claimPartition() {
	c.currentOwner = 1 - c.currentOwner
	c.epoch++
	claim := starter.Claim{Epoch: c.epoch}
	o := c.currentOwner
	c.perform(o, c.owners[o].Release(0))
	c.owners[o].Claim(claim)
	roster := []registrar.Registration{c.agents[0].registration, c.agents[1].registration}
	c.takeover[o] = sealer.New(c.now, []starter.Claim{claim}, roster, c.owners[o].ImportFinalReport, fuzzLease, fuzzReadLease, fuzzRetention+fuzzClockBound)
	for a := range c.agents {
		if c.agents[a].linked[o] {
			c.sendSeal(o, a, c.takeover[o])
		}
	}
}

// releasePartition lets the earlier owner learn that the partition was claimed, and release
// it with or without a handover.
func (c *fuzzCell) releasePartition(handover bool) {
	earlier := 1 - c.currentOwner
	if handover {
		for _, m := range c.owners[earlier].ExportHandover(0) {
			if c.owners[c.currentOwner].ImportHandover(m) {
				c.takeover[c.currentOwner].MarkHandedOver(0)
				c.perform(c.currentOwner, c.owners[c.currentOwner].Serve(c.now, starter.Claim{Epoch: m.Epoch + 1}, m.Cutoff))
			}
		}
	}
	c.perform(earlier, c.owners[earlier].Release(0))
}

// tick advances the time and ticks the owners. If confirm is set, the current owner
// confirms its lease first.
func (c *fuzzCell) tick(elapsed time.Duration, confirm bool) {
	c.now = c.now.Add(elapsed)
	if confirm {
		readLease := c.now.Add(fuzzReadLease)
		if c.disabled == ruleReadLease {
			readLease = c.now.Add(fuzzLease)
		}
		c.perform(c.currentOwner, c.owners[c.currentOwner].ConfirmLease(c.now, c.now.Add(fuzzLease), readLease))
	}
	for o := range c.owners {
		c.finishTakeover(o)
		c.perform(o, c.owners[o].Tick(c.now))
	}
}

// finishTakeover serves the partition at an owner whose takeover is done.
func (c *fuzzCell) finishTakeover(o int) {
	t := c.takeover[o]
	if t == nil {
		return
	}
	done, recordsLost := t.Done(c.now)
	if !done && c.disabled != ruleSeal {
		return
	}
	var cutoff time.Time
	if recordsLost && c.disabled != ruleCutoff {
		cutoff = c.now.Add(fuzzClockBound)
	}
	for _, claim := range t.Remaining() {
		c.perform(o, c.owners[o].Serve(c.now, claim, cutoff))
	}
	c.takeover[o] = nil
}

// deliver delivers packet i. If keep is set, the packet may be delivered again.
func (c *fuzzCell) deliver(i int, keep bool) {
	p := c.packets[i]
	if !keep {
		c.packets = append(c.packets[:i], c.packets[i+1:]...)
	}
	if p.toOwner {
		c.deliverToOwner(p)
		return
	}
	c.deliverToAgent(p)
}

// deliverToAgent lets an agent handle a message and reply to it.
func (c *fuzzCell) deliverToAgent(p packet) {
	a := c.agents[p.agent]
	from := ownerName(p.owner)
	reply := func(m any) { c.packets = append(c.packets, packet{p.agent, p.owner, true, m}) }
	switch m := p.message.(type) {
	case *starter.Start:
		if c.disabled == ruleIncarnation {
			copied := *m
			copied.Incarnation = a.starter.Incarnation
			m = &copied
		}
		reason := a.starter.Start(c.now, from, m, true)
		switch reason {
		case starter.Accepted:
			a.recorded = append(a.recorded, m.Task)
			if c.disabled == ruleRecord {
				a.starter.MarkUnreachable(m.Task)
			}
		case starter.OtherIncarnation, starter.AlreadyStarted:
		default:
			reply(&starter.NotStarted{Incarnation: m.Incarnation, Task: m.Task, Epoch: m.Epoch, Attempt: m.Attempt, Reason: reason, GrantedSlots: 1})
		}
	case *starter.Revoke:
		if answer, ok := a.starter.Revoke(c.now, from, m); ok {
			reply(&answer)
		}
	case *starter.Seal:
		// The parts of the reply are one packet, so that they arrive in order or not at all.
		reply(a.starter.Seal(from, m))
	}
}

// deliverToOwner lets an owner, or its takeover, handle a message.
func (c *fuzzCell) deliverToOwner(p packet) {
	o, name := c.owners[p.owner], agentName(p.agent)
	switch m := p.message.(type) {
	case *starter.Ended:
		c.perform(p.owner, o.HandleEnded(c.now, name, m))
	case *starter.NotStarted:
		c.perform(p.owner, o.HandleNotStarted(c.now, name, m))
	case *starter.Revoked:
		c.perform(p.owner, o.HandleRevoked(c.now, name, m))
	case []*starter.Sealed:
		for _, part := range m {
			if t := c.takeover[p.owner]; t != nil && t.HandleSealed(name, part) {
				c.perform(p.owner, o.HandleSealed(name, part))
			}
		}
	}
}

// startTask lets an agent call its backend server for the oldest recorded task.
func (c *fuzzCell) startTask(a int) {
	agent := c.agents[a]
	if len(agent.recorded) == 0 {
		return
	}
	task := agent.recorded[0]
	agent.recorded = agent.recorded[1:]
	agent.running = append(agent.running, task)
	c.starts[task]++
	if c.starts[task] > 1 {
		c.addViolation("%s was started twice", task)
	}
}

// failCall lets the call for the oldest recorded task fail, because the backend server is
// unreachable.
func (c *fuzzCell) failCall(a int) {
	agent := c.agents[a]
	if len(agent.recorded) == 0 {
		return
	}
	task := agent.recorded[0]
	agent.recorded = agent.recorded[1:]
	to, m := agent.starter.MarkUnreachable(task)
	for o := range c.owners {
		if ownerName(o) == to && agent.linked[o] {
			c.packets = append(c.packets, packet{a, o, true, &m})
		}
	}
}

// endTask lets the oldest running task succeed.
func (c *fuzzCell) endTask(a int) {
	agent := c.agents[a]
	if len(agent.running) == 0 {
		return
	}
	task := agent.running[0]
	agent.running = agent.running[1:]
	to := agent.starter.End(task, describer.Result{Outcome: describer.Succeeded})
	for o := range c.owners {
		if ownerName(o) == to && agent.linked[o] {
			m := &starter.Ended{Incarnation: agent.starter.Incarnation, Task: task, Result: describer.Result{Outcome: describer.Succeeded}, GrantedSlots: 1}
			c.packets = append(c.packets, packet{a, o, true, m})
		}
	}
}

// runWithoutFaults links all agents and owners and lets them work for a while, so that jobs
// can complete.
func (c *fuzzCell) runWithoutFaults() {
	c.tick(0, true)
	for a := range c.agents {
		for o := range c.owners {
			c.link(a, o)
			c.requestLease(a, o)
		}
	}
	for range 20 {
		if len(c.packets) > 0 {
			c.deliver(0, false)
		}
		for a := range c.agents {
			c.startTask(a)
			c.endTask(a)
		}
	}
}

// runHistory runs the history that the given numbers determine, each of them by one
// choice. It returns the violation, if any, and how many jobs got a complete answer.
func runHistory(choices []int, disabled rule) (violation string, completed int) {
	c := newFuzzCell(disabled)
	pick := func(n int) int {
		if len(choices) == 0 {
			return 0
		}
		picked := choices[0] % n
		choices = choices[1:]
		return picked
	}
	for len(choices) > 0 && c.violation == "" {
		c.randomStep(pick)
	}
	return c.violation, len(c.completed)
}

// randomStep takes one random step of a history.
func (c *fuzzCell) randomStep(pick func(int) int) {
	a, o := pick(2), pick(2)
	switch pick(20) {
	case 0, 1:
		c.submit(o, pick(12))
	case 2, 3:
		c.link(a, o)
	case 4:
		c.unlink(a, o)
	case 5, 6:
		c.requestLease(a, o)
	case 7:
		c.startTask(a)
	case 8:
		c.endTask(a)
	case 9:
		c.tick(time.Duration(pick(12))*100*time.Millisecond, pick(4) > 0)
	case 10:
		if pick(4) == 0 {
			c.replaceAgent(a)
		}
	case 11:
		if pick(3) == 0 {
			c.claimPartition()
		}
	case 12:
		c.releasePartition(pick(2) == 0)
	case 13:
		c.runWithoutFaults()
	case 14:
		c.inquire(o, pick(12))
	case 15:
		c.failCall(a)
	default:
		if len(c.packets) > 0 {
			c.deliver(pick(len(c.packets)), pick(4) == 0)
		}
	}
}

// historyGen generates the numbers that determine a history.
var historyGen = rapid.SliceOfN(rapid.IntRange(0, 1<<20), 60, 1000)

// TestFuzzedHistories runs random histories of submissions, lost and late messages,
// replaced agents and takeovers. It guards against tasks that start twice and against
// replies that contradict what has run.
func TestFuzzedHistories(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		violation, completed := runHistory(historyGen.Draw(t, "history"), noRule)
		if violation != "" {
			t.Fatal(violation)
		}
		total += completed
	})
	t.Logf("%d jobs got a complete answer", total)
	assert.Assert(t, total > 0, "no job got a complete answer, so the histories test nothing")
}

// TestFuzzFindsMissingRules checks that random histories find a violation when a safety
// rule is disabled. It guards against checks that would pass without testing anything.
func TestFuzzFindsMissingRules(t *testing.T) {
	const maxHistories = 30_000
	for _, disabled := range []rule{ruleSeal, ruleCutoff, ruleIncarnation, ruleRecord, ruleReadLease} {
		t.Run(string(disabled), func(t *testing.T) {
			t.Parallel()
			for seed := range maxHistories {
				if violation, _ := runHistory(historyGen.Example(seed), disabled); violation != "" {
					t.Logf("history %d: %s", seed, violation)
					return
				}
			}
			t.Fatalf("no violation was found in %d histories", maxHistories)
		})
	}
}
