package starter

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/scripter"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// The model is searched exhaustively: one task, an owner and the one that takes
// over, two agents. The agents are the code of this package; the owners are models.
// Every message that was ever sent may be delivered at any later time, any number of
// times or never, which covers loss, delay and repetition. An agent may pause
// between its record and its call, and may be replaced by a new incarnation.
//
// The property: the task is started at most once.
const leaseStep = 1 // how many steps of time a lease lasts

// mutation leaves out one rule.
type mutation string

// The mutations, each of which must lead to a second start.
const (
	none                 mutation = ""
	epochUnchecked       mutation = "the epoch is not checked"
	leaseUnchecked       mutation = "the lease is not checked at the agent"
	ownerLeaseUnchecked  mutation = "the owner counts its lease from the receipt of its reading"
	sealSkipped          mutation = "the new owner serves without a seal"
	cautionSkipped       mutation = "the new owner starts what a lost agent may have started"
	recordedAfterCall    mutation = "the start is recorded after the call"
	noTombstone          mutation = "a refused or revoked attempt leaves no tombstone"
	incarnationUnchecked mutation = "the incarnation is not checked"
	fenceNotRead         mutation = "a new agent does not read the epochs"
)

type kind uint8

const (
	sendStart kind = iota
	sayNotStarted
	sendRevoke
	sayRevoked
)

// message is one that was sent to or from an agent.
type message struct {
	kind        kind
	agent       int8
	incarnation int8
	epoch       int8
	attempt     int8
	// value is whether the task has started.
	value int8
}

// modelAgent is an agent: the real starter, and whether it stands between its
// record and its call.
type modelAgent struct {
	s           *Starter
	incarnation int8
	// askedAt is when the agent asked for the lease without an answer yet, -1 for
	// no open question.
	askedAt int8
	calling bool
	call    message
}

// modelOwner is an owner of the partition with what it sent.
type modelOwner struct {
	epoch   int8
	attempt int8
	// at is the agent that the task was sent to, -1 for none, and incarnation the
	// one that was meant.
	at          int8
	incarnation int8
}

type modelState struct {
	bounds

	now       int8
	lease     int8
	owners    [2]modelOwner
	claimedAt int8
	sealed    [2]bool
	roster    [2]int8
	found     bool
	cautious  bool
	serving   bool
	agents    [2]modelAgent
	messages  []message
	starts    int8
}

// bounds make a search small enough to be finished. Three searches together cover
// every rule; one over everything at once was stopped after three million states.
type bounds struct {
	name string
	// lastStep ends the search in time.
	lastStep int8
	// attempts bounds the starts that each owner sends.
	attempts [2]int8
	takeover bool
	replaced bool
	revoked  bool
	// fresh means that the identity is made after the new owner serves, so that no
	// caution covers it, and both owners may get it.
	fresh bool
}

var (
	takeover      = bounds{name: "takeover", lastStep: 3, attempts: [2]int8{1, 1}, takeover: true}
	freshIdentity = bounds{name: "identity made after the takeover", lastStep: 3, attempts: [2]int8{1, 1}, takeover: true, fresh: true}
	replacement   = bounds{name: "takeover and a replaced agent", lastStep: 2, attempts: [2]int8{1, 1}, takeover: true, replaced: true}
	revocation    = bounds{name: "refusals, revocations and a replaced agent", lastStep: 2, attempts: [2]int8{2, 0}, replaced: true, revoked: true}
)

var (
	modelTask    = identifier.Task{Submission: identifier.Submission{Workspace: "w", Key: "k"}}
	modelEntries = [2]identifier.Entry{"e1", "e2"}
)

func modelTime(step int8) time.Time {
	return scripter.Epoch.Add(time.Duration(step) * time.Second)
}

func modelStep(t time.Time) int8 {
	if t.IsZero() {
		return -1
	}
	return int8(t.Sub(scripter.Epoch) / time.Second)
}

func newModelAgent(incarnation int8) modelAgent {
	s := &Starter{Incarnation: identifier.Incarnation(incarnation), Retention: time.Hour}
	// The second owner is never paused in this model; its lease always holds.
	s.RecordLeaseRequest(scripter.Epoch, "e2", 1)
	s.HandleLeaseReply("e2", &LeaseReply{Sequence: 1, Remaining: time.Hour})
	return modelAgent{s: s, incarnation: incarnation, askedAt: -1}
}

func newModelState() *modelState {
	m := &modelState{lease: leaseStep, claimedAt: -1}
	m.owners = [2]modelOwner{{epoch: 1, at: -1}, {epoch: 2, at: -1}}
	for i := range m.agents {
		m.agents[i] = newModelAgent(1)
	}
	return m
}

func (m *modelState) clone() *modelState {
	c := *m
	c.messages = slices.Clone(m.messages)
	for i := range c.agents {
		c.agents[i].s = m.agents[i].s.clone()
	}
	return &c
}

// clone copies what the model uses of a starter.
func (s *Starter) clone() *Starter {
	c := &Starter{Incarnation: s.Incarnation, Retention: s.Retention, running: s.running}
	c.fences = map[identifier.Partition]fence{0: s.fences[0]}
	c.leases = make(map[identifier.Entry]time.Time)
	c.asked = make(map[identifier.Entry]ask)
	for _, e := range modelEntries {
		if t, ok := s.leases[e]; ok {
			c.leases[e] = t
		}
		if a, ok := s.asked[e]; ok {
			c.asked[e] = a
		}
	}
	if r := s.records[modelTask]; r != nil {
		copied := *r
		c.records = map[identifier.Task]*record{modelTask: &copied}
	}
	return c
}

func (m *modelState) send(msg message) {
	i, found := slices.BinarySearchFunc(m.messages, msg, compareMessages)
	if !found {
		m.messages = slices.Insert(m.messages, i, msg)
	}
}

func compareMessages(a, b message) int {
	return slices.Compare(a.bytes(), b.bytes())
}

func (msg message) bytes() []byte {
	return []byte{byte(msg.kind), byte(msg.agent), byte(msg.incarnation), byte(msg.epoch), byte(msg.attempt), byte(msg.value)}
}

// key identifies a state.
func (m *modelState) key() string {
	// A lease that is over is as good as none.
	until := func(step int8) byte { return byte(max(step, m.now)) }
	flag := func(b bool) byte {
		if b {
			return 1
		}
		return 0
	}
	b := []byte{
		byte(m.now), until(m.lease), byte(m.claimedAt),
		flag(m.sealed[0]), flag(m.sealed[1]), byte(m.roster[0]), byte(m.roster[1]), flag(m.found), flag(m.cautious), flag(m.serving), byte(m.starts),
	}
	for _, o := range m.owners {
		b = append(b, byte(o.attempt), byte(o.at), byte(o.incarnation))
	}
	for _, a := range m.agents {
		b = append(b, byte(a.incarnation), byte(a.askedAt), flag(a.calling), byte(a.call.epoch), byte(a.call.attempt))
		b = append(b, byte(a.s.fences[0].epoch), until(modelStep(a.s.leases["e1"])))
		if r := a.s.records[modelTask]; r != nil {
			b = append(b, byte(r.epoch), byte(r.attempt), flag(r.started))
		} else {
			b = append(b, 0, 0, 0)
		}
	}
	b = binary.AppendUvarint(b, uint64(len(m.messages)))
	for _, msg := range m.messages {
		b = append(b, msg.bytes()...)
	}
	return string(b)
}

// search visits every reachable state and returns how many there are, and whether
// the task was started twice in one.
func search(mu mutation, b bounds) (states int, twice bool) {
	first := newModelState()
	first.bounds = b
	seen := map[string]bool{first.key(): true}
	queue := []*modelState{first}
	for len(queue) > 0 {
		m := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, next := range m.successors(mu) {
			if next.starts > 1 {
				return len(seen), true
			}
			key := next.key()
			if !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), false
}

// successors returns every state that one action leads to.
func (m *modelState) successors(mu mutation) []*modelState {
	var all []*modelState
	try := func(act func(n *modelState) bool) {
		n := m.clone()
		if act(n) {
			all = append(all, n)
		}
	}
	try(func(n *modelState) bool { n.now++; return n.now <= n.lastStep })
	try(func(n *modelState) bool { return n.takeReading(mu) })
	try(func(n *modelState) bool { return n.claim() })
	try(func(n *modelState) bool { return n.serve(mu) })
	for i := range m.agents {
		a := int8(i)
		try(func(n *modelState) bool { return n.ask(a) })
		try(func(n *modelState) bool { return n.answerAsk(a) })
		try(func(n *modelState) bool { return n.start(0, a, mu) })
		try(func(n *modelState) bool { return n.start(1, a, mu) })
		try(func(n *modelState) bool { return n.revoke(a) })
		try(func(n *modelState) bool { return n.callBackend(a, mu) })
		try(func(n *modelState) bool { return n.replace(a, mu) })
		try(func(n *modelState) bool { return n.meetReplacement(a) })
		try(func(n *modelState) bool { return n.seal(a) })
	}
	for _, msg := range m.messages {
		try(func(n *modelState) bool { return n.deliver(msg, mu) })
	}
	return all
}

// takeReading is the receipt of a reading of the table that found no other owner. Of
// all that may arrive now, the one that was sent last allows the most.
func (m *modelState) takeReading(mu mutation) bool {
	sent := m.now
	if m.claimedAt >= 0 && mu != ownerLeaseUnchecked {
		sent = m.claimedAt
	}
	if sent+leaseStep <= m.lease {
		return false
	}
	m.lease = sent + leaseStep
	return true
}

// claim is the takeover's write and its reading of the roster.
func (m *modelState) claim() bool {
	if m.claimedAt >= 0 || !m.takeover {
		return false
	}
	m.claimedAt = m.now
	for i, a := range m.agents {
		m.roster[i] = a.incarnation
		m.cautious = m.cautious || a.incarnation > 1
	}
	return true
}

// seal delivers the seal to an agent, some time after the claim, and the agent's
// answer: what it says cannot change on the way.
func (m *modelState) seal(a int8) bool {
	if m.claimedAt < 0 || m.serving || m.sealed[a] {
		return false
	}
	answers := m.agents[a].s.Seal("e2", &Seal{Incarnation: identifier.Incarnation(m.roster[a]), Claims: []Claim{{Epoch: 2}}})
	if len(answers) == 0 {
		return false
	}
	m.sealed[a] = true
	m.found = m.found || len(answers[0].Records) > 0
	return true
}

func (m *modelState) serve(mu mutation) bool {
	if m.claimedAt < 0 || m.serving {
		return false
	}
	if mu == sealSkipped {
		m.serving = true
		return true
	}
	if !m.sealed[0] || !m.sealed[1] {
		if m.now < m.claimedAt+leaseStep {
			return false
		}
		m.cautious = true
	}
	m.serving = true
	return true
}

func (m *modelState) ask(a int8) bool {
	agent := &m.agents[a]
	if agent.askedAt == m.now || modelStep(agent.s.leases["e1"]) > m.now {
		return false
	}
	agent.askedAt = m.now
	agent.s.RecordLeaseRequest(modelTime(m.now), "e1", 1)
	return true
}

// answerAsk is the first owner's answer to an agent's question. When it arrives makes
// no difference, for it counts from the question.
func (m *modelState) answerAsk(a int8) bool {
	agent := &m.agents[a]
	if agent.askedAt < 0 || m.now >= m.lease || agent.askedAt+m.lease-m.now <= m.now {
		return false
	}
	agent.s.HandleLeaseReply("e1", &LeaseReply{Sequence: 1, Remaining: time.Duration(m.lease-m.now) * time.Second})
	agent.askedAt = -1
	return true
}

func (m *modelState) start(owner int, a int8, mu mutation) bool {
	o := &m.owners[owner]
	if o.at >= 0 || o.attempt == m.attempts[owner] {
		return false
	}
	if owner == 0 && m.now >= m.lease || m.fresh && !m.serving {
		return false
	}
	if owner == 1 && (!m.serving || m.found || (m.cautious && !m.fresh && mu != cautionSkipped)) {
		return false
	}
	o.at, o.incarnation = a, m.agents[a].incarnation
	o.attempt++
	m.send(message{kind: sendStart, agent: a, incarnation: m.agents[a].incarnation, epoch: o.epoch, attempt: o.attempt})
	return true
}

// revoke is a question of the first owner about a start that is in doubt.
func (m *modelState) revoke(a int8) bool {
	o := m.owners[0]
	if o.at != a || !m.revoked {
		return false
	}
	m.send(message{kind: sendRevoke, agent: a, incarnation: o.incarnation, epoch: 1, attempt: o.attempt})
	return true
}

func (m *modelState) callBackend(a int8, mu mutation) bool {
	agent := &m.agents[a]
	if !agent.calling {
		return false
	}
	agent.calling = false
	m.starts++
	if mu == recordedAfterCall {
		r := agent.s.keep(modelTime(m.now), 0, identifier.Epoch(agent.call.epoch), modelTask, uint32(agent.call.attempt))
		r.started = true
	}
	return true
}

// replace kills an agent and starts its next incarnation, which reads the table. The
// agents are alike, so it is enough that the first can be replaced.
func (m *modelState) replace(a int8, mu mutation) bool {
	if a != 0 || m.agents[a].incarnation == 2 || !m.replaced {
		return false
	}
	m.agents[a] = newModelAgent(2)
	if m.claimedAt >= 0 && mu != fenceNotRead {
		m.agents[a].s.RaiseFence("e2", Claim{Epoch: 2})
	}
	return true
}

// meetReplacement is the new owner's first link to an agent that was replaced after
// the roster was read.
func (m *modelState) meetReplacement(a int8) bool {
	if m.claimedAt < 0 || m.sealed[a] || m.agents[a].incarnation <= m.roster[a] {
		return false
	}
	m.sealed[a], m.cautious = true, true
	return true
}

// deliver hands over a message. It stays in the set and may come again.
func (m *modelState) deliver(msg message, mu mutation) bool {
	switch msg.kind {
	case sendStart:
		return m.deliverStart(msg, mu)
	case sendRevoke:
		return m.deliverRevoke(msg, mu)
	case sayNotStarted, sayRevoked:
		o := &m.owners[msg.epoch-1]
		if msg.value != 0 || o.at != msg.agent || o.attempt != msg.attempt {
			return false
		}
		o.at = -1
	}
	return true
}

func (m *modelState) deliverStart(msg message, mu mutation) bool {
	agent := &m.agents[msg.agent]
	from := modelEntries[msg.epoch-1]
	start := &Start{Incarnation: identifier.Incarnation(msg.incarnation), Epoch: identifier.Epoch(msg.epoch), Task: modelTask, Attempt: uint32(msg.attempt)}
	switch mu {
	case epochUnchecked:
		agent.s.fences = nil
	case leaseUnchecked:
		agent.s.leases[from] = modelTime(100)
	case incarnationUnchecked:
		start.Incarnation = agent.s.Incarnation
	}
	reason := agent.s.Start(modelTime(m.now), from, start, true)
	switch {
	case reason == Accepted:
		agent.calling, agent.call = true, msg
		if mu == recordedAfterCall {
			delete(agent.s.records, modelTask)
		}
	case reason == OtherIncarnation || reason == AlreadyStarted:
		return false
	default:
		if mu == noTombstone && reason != Fenced {
			delete(agent.s.records, modelTask)
		}
		m.send(message{kind: sayNotStarted, agent: msg.agent, epoch: msg.epoch, attempt: msg.attempt})
	}
	return true
}

func (m *modelState) deliverRevoke(msg message, mu mutation) bool {
	agent := &m.agents[msg.agent]
	answer, ok := agent.s.Revoke(modelTime(m.now), "e1", &Revoke{
		Incarnation: identifier.Incarnation(msg.incarnation), Epoch: identifier.Epoch(msg.epoch), Task: modelTask, Attempt: uint32(msg.attempt),
	})
	if !ok {
		return false
	}
	started := int8(0)
	if answer.Started {
		started = 1
	}
	if mu == noTombstone && !answer.Started {
		delete(agent.s.records, modelTask)
	}
	m.send(message{kind: sayRevoked, agent: msg.agent, epoch: msg.epoch, attempt: msg.attempt, value: started})
	return true
}

func TestModelStartsOnce(t *testing.T) {
	for _, b := range []bounds{takeover, freshIdentity, replacement, revocation} {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			states, twice := search(none, b)
			t.Logf("%d states", states)
			assert.Assert(t, !twice, "the task was started twice")
		})
	}
}

// TestModelBites shows that each rule is needed: without it, a search finds a second
// start.
func TestModelBites(t *testing.T) {
	for mu, b := range map[mutation]bounds{
		epochUnchecked:       takeover,
		ownerLeaseUnchecked:  freshIdentity,
		sealSkipped:          takeover,
		cautionSkipped:       takeover,
		recordedAfterCall:    takeover,
		noTombstone:          revocation,
		incarnationUnchecked: revocation,
		fenceNotRead:         replacement,
	} {
		t.Run(string(mu), func(t *testing.T) {
			t.Parallel()
			states, twice := search(mu, b)
			t.Logf("%d states", states)
			assert.Assert(t, twice, "the search %q found no second start", b.name)
		})
	}
}

// TestModelAgentLease shows what the check of the lease at the agent is not needed
// for: the caution of the next owner covers every start that it would refuse. It is
// kept because it bounds how late a start can happen.
func TestModelAgentLease(t *testing.T) {
	states, twice := search(leaseUnchecked, takeover)
	t.Logf("%d states", states)
	assert.Assert(t, !twice)
}
