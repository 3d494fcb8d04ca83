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

// This file is an explicit-state model checker for the rules that keep a task from
// being started twice. The model has one task, an owner, a second owner that takes
// over, and two agents. The agents run the code of this package; the owners are
// modelled here. Every message that was sent may be delivered at any later time, any
// number of times or never, which covers loss, delay and duplication. An agent may
// pause between recording a start and calling the backend server, and may be replaced
// by a new incarnation.
//
// The invariant is that the task is started at most once.

// leaseDuration is how long a lease lasts, in time steps of the model.
const leaseDuration = 1

// mutation is a rule that is left out of the model.
type mutation string

// The mutations. If any one of these rules is left out, except the agent's lease check,
// the task can be started twice.
const (
	noMutation              mutation = ""
	withoutEpochCheck       mutation = "the epoch is not checked"
	withoutAgentLeaseCheck  mutation = "the lease is not checked at the agent"
	leaseFromReceipt        mutation = "the owner counts its lease from the receipt of a table reading"
	withoutSeal             mutation = "the new owner serves without a seal"
	withoutCaution          mutation = "the new owner starts what a lost agent may have started"
	recordedAfterCall       mutation = "the start is recorded after the call"
	withoutTombstone        mutation = "a refused or revoked attempt leaves no tombstone"
	withoutIncarnationCheck mutation = "the incarnation is not checked"
	withoutFenceReading     mutation = "a new agent does not read the epochs"
)

// messageKind is the kind of a message between an owner and an agent.
type messageKind uint8

const (
	startMessage messageKind = iota
	notStartedMessage
	revokeMessage
	revokedMessage
)

// message is a message that was sent to or from an agent.
type message struct {
	kind        messageKind
	agent       int8
	incarnation int8
	epoch       int8
	attempt     int8
	// started is 1 if a revokedMessage says that the task has started, else 0.
	started int8
}

// modelAgent is an agent: a Starter, and the call to the backend server that is
// pending between recording the start and making the call.
type modelAgent struct {
	starter     *Starter
	incarnation int8
	// requestedAt is when the unanswered lease request was sent, or -1 if there is none.
	requestedAt int8
	callPending bool
	call        message
}

// modelOwner is an owner of the partition, with the last start that it sent.
type modelOwner struct {
	epoch   int8
	attempt int8
	// sentTo is the agent to which the task was sent, or -1 if there is none, and
	// incarnation that of the agent at that time.
	sentTo      int8
	incarnation int8
}

// modelState is a state of the model. The task has been started startCount times.
type modelState struct {
	bounds

	now int8
	// lease is when the first owner's lease ends.
	lease  int8
	owners [2]modelOwner
	// claimedAt is when the second owner claimed the partition, or -1.
	claimedAt int8
	// sealed is, for each agent, whether it needs no further seal.
	sealed [2]bool
	// roster holds the incarnations of the agents that the second owner has read.
	roster [2]int8
	// recordsFound is whether an agent reported the task as started in reply to a seal.
	recordsFound bool
	// cautious is whether the records of an agent may be lost, so that the second owner
	// must not start a task that an agent may have started.
	cautious bool
	// serving is whether the second owner serves the partition.
	serving bool
	agents  [2]modelAgent
	// messages is the sorted set of all messages sent so far.
	messages   []message
	startCount int8
}

// bounds limits a search, so that it ends in a reasonable time. The searches with the
// bounds below cover every rule together. A single search over all events was stopped
// after three million states.
type bounds struct {
	name string
	// lastStep is the last time step.
	lastStep int8
	// attempts is the maximum number of starts that each owner sends.
	attempts [2]int8
	// takeover, replaced and revoked allow the second owner's claim, the replacement of
	// an agent and revocations by the first owner.
	takeover bool
	replaced bool
	revoked  bool
	// newIdentity means that the job is submitted only after the new owner serves, and
	// may be submitted to both owners. The second owner then starts it even if it is
	// cautious.
	newIdentity bool
}

var (
	takeoverBounds    = bounds{name: "takeover", lastStep: 3, attempts: [2]int8{1, 1}, takeover: true}
	newIdentityBounds = bounds{name: "identity made after the takeover", lastStep: 3, attempts: [2]int8{1, 1}, takeover: true, newIdentity: true}
	replacementBounds = bounds{name: "takeover and a replaced agent", lastStep: 2, attempts: [2]int8{1, 1}, takeover: true, replaced: true}
	revocationBounds  = bounds{name: "refusals, revocations and a replaced agent", lastStep: 2, attempts: [2]int8{2, 0}, replaced: true, revoked: true}
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
	// In this model, the second owner's lease never expires.
	s.RecordLeaseRequest(scripter.Epoch, "e2", 1)
	s.HandleLeaseReply("e2", &LeaseReply{Sequence: 1, Remaining: time.Hour})
	return modelAgent{starter: s, incarnation: incarnation, requestedAt: -1}
}

func newModelState() *modelState {
	m := &modelState{lease: leaseDuration, claimedAt: -1}
	m.owners = [2]modelOwner{{epoch: 1, sentTo: -1}, {epoch: 2, sentTo: -1}}
	for i := range m.agents {
		m.agents[i] = newModelAgent(1)
	}
	return m
}

func (m *modelState) clone() *modelState {
	c := *m
	c.messages = slices.Clone(m.messages)
	for i := range c.agents {
		c.agents[i].starter = m.agents[i].starter.clone()
	}
	return &c
}

// clone copies the state of a starter that the model uses.
func (s *Starter) clone() *Starter {
	c := &Starter{Incarnation: s.Incarnation, Retention: s.Retention, running: s.running}
	c.fences = map[identifier.Partition]fence{0: s.fences[0]}
	c.leases = make(map[identifier.Entry]time.Time)
	c.leaseRequests = make(map[identifier.Entry]leaseRequest)
	for _, e := range modelEntries {
		if t, ok := s.leases[e]; ok {
			c.leases[e] = t
		}
		if a, ok := s.leaseRequests[e]; ok {
			c.leaseRequests[e] = a
		}
	}
	if r := s.records[modelTask]; r != nil {
		copied := *r
		c.records = map[identifier.Task]*taskRecord{modelTask: &copied}
	}
	return c
}

// send adds msg to the set of messages.
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
	return []byte{byte(msg.kind), byte(msg.agent), byte(msg.incarnation), byte(msg.epoch), byte(msg.attempt), byte(msg.started)}
}

// key returns an encoding of m that is equal for equivalent states.
func (m *modelState) key() string {
	// States that differ only in when a lease expired in the past are equivalent.
	until := func(step int8) byte { return byte(max(step, m.now)) }
	flag := func(b bool) byte {
		if b {
			return 1
		}
		return 0
	}
	b := []byte{
		byte(m.now), until(m.lease), byte(m.claimedAt),
		flag(m.sealed[0]), flag(m.sealed[1]), byte(m.roster[0]), byte(m.roster[1]), flag(m.recordsFound), flag(m.cautious), flag(m.serving), byte(m.startCount),
	}
	for _, o := range m.owners {
		b = append(b, byte(o.attempt), byte(o.sentTo), byte(o.incarnation))
	}
	for _, a := range m.agents {
		b = append(b, byte(a.incarnation), byte(a.requestedAt), flag(a.callPending), byte(a.call.epoch), byte(a.call.attempt))
		b = append(b, byte(a.starter.fences[0].epoch), until(modelStep(a.starter.leases["e1"])))
		if r := a.starter.records[modelTask]; r != nil {
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

// search visits the reachable states. It stops at the first one in which the task was
// started twice. It returns the number of states visited and whether there is such a
// state.
func search(mut mutation, b bounds) (states int, twice bool) {
	first := newModelState()
	first.bounds = b
	seen := map[string]bool{first.key(): true}
	pending := []*modelState{first}
	for len(pending) > 0 {
		m := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, next := range m.successors(mut) {
			if next.startCount > 1 {
				return len(seen), true
			}
			key := next.key()
			if !seen[key] {
				seen[key] = true
				pending = append(pending, next)
			}
		}
	}
	return len(seen), false
}

// successors returns all states that are reached from m by one event.
func (m *modelState) successors(mut mutation) []*modelState {
	var all []*modelState
	try := func(act func(n *modelState) bool) {
		n := m.clone()
		if act(n) {
			all = append(all, n)
		}
	}
	try(func(n *modelState) bool { n.now++; return n.now <= n.lastStep })
	try(func(n *modelState) bool { return n.renewLease(mut) })
	try(func(n *modelState) bool { return n.claim() })
	try(func(n *modelState) bool { return n.serve(mut) })
	for i := range m.agents {
		a := int8(i)
		try(func(n *modelState) bool { return n.requestLease(a) })
		try(func(n *modelState) bool { return n.replyToLeaseRequest(a) })
		try(func(n *modelState) bool { return n.start(0, a, mut) })
		try(func(n *modelState) bool { return n.start(1, a, mut) })
		try(func(n *modelState) bool { return n.revoke(a) })
		try(func(n *modelState) bool { return n.callBackend(a, mut) })
		try(func(n *modelState) bool { return n.replace(a, mut) })
		try(func(n *modelState) bool { return n.linkReplacement(a) })
		try(func(n *modelState) bool { return n.seal(a) })
	}
	for _, msg := range m.messages {
		try(func(n *modelState) bool { return n.deliver(msg, mut) })
	}
	return all
}

// renewLease renews the first owner's lease by the latest reading of the table that
// shows no other owner. The lease is counted from when the request for it was sent;
// the latest such request allows the longest lease.
func (m *modelState) renewLease(mut mutation) bool {
	sent := m.now
	if m.claimedAt >= 0 && mut != leaseFromReceipt {
		sent = m.claimedAt
	}
	if sent+leaseDuration <= m.lease {
		return false
	}
	m.lease = sent + leaseDuration
	return true
}

// claim is the second owner's write of the claim, followed by its reading of the
// roster.
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

// seal delivers the seal to an agent and the agent's reply to the second owner in one
// event: the content of the reply does not depend on when it arrives.
func (m *modelState) seal(a int8) bool {
	if m.claimedAt < 0 || m.serving || m.sealed[a] {
		return false
	}
	replies := m.agents[a].starter.Seal("e2", &Seal{Incarnation: identifier.Incarnation(m.roster[a]), Claims: []Claim{{Epoch: 2}}})
	if len(replies) == 0 {
		return false
	}
	m.sealed[a] = true
	m.recordsFound = m.recordsFound || len(replies[0].Records) > 0
	return true
}

// serve makes the second owner serve the partition once both agents are sealed, or
// with caution after the first owner's lease has expired.
func (m *modelState) serve(mut mutation) bool {
	if m.claimedAt < 0 || m.serving {
		return false
	}
	if mut == withoutSeal {
		m.serving = true
		return true
	}
	if !m.sealed[0] || !m.sealed[1] {
		if m.now < m.claimedAt+leaseDuration {
			return false
		}
		m.cautious = true
	}
	m.serving = true
	return true
}

// requestLease sends a lease request of an agent to the first owner.
func (m *modelState) requestLease(a int8) bool {
	agent := &m.agents[a]
	if agent.requestedAt == m.now || modelStep(agent.starter.leases["e1"]) > m.now {
		return false
	}
	agent.requestedAt = m.now
	agent.starter.RecordLeaseRequest(modelTime(m.now), "e1", 1)
	return true
}

// replyToLeaseRequest delivers the first owner's reply to an agent. The time of arrival
// does not matter, because the lease is counted from the request.
func (m *modelState) replyToLeaseRequest(a int8) bool {
	agent := &m.agents[a]
	if agent.requestedAt < 0 || m.now >= m.lease || agent.requestedAt+m.lease-m.now <= m.now {
		return false
	}
	agent.starter.HandleLeaseReply("e1", &LeaseReply{Sequence: 1, Remaining: time.Duration(m.lease-m.now) * time.Second})
	agent.requestedAt = -1
	return true
}

// start sends a start from an owner to an agent.
func (m *modelState) start(owner int, a int8, mut mutation) bool {
	o := &m.owners[owner]
	if o.sentTo >= 0 || o.attempt == m.attempts[owner] {
		return false
	}
	if owner == 0 && m.now >= m.lease || m.newIdentity && !m.serving {
		return false
	}
	if owner == 1 && (!m.serving || m.recordsFound || (m.cautious && !m.newIdentity && mut != withoutCaution)) {
		return false
	}
	o.sentTo, o.incarnation = a, m.agents[a].incarnation
	o.attempt++
	m.send(message{kind: startMessage, agent: a, incarnation: m.agents[a].incarnation, epoch: o.epoch, attempt: o.attempt})
	return true
}

// revoke sends a revocation from the first owner for a start that is not yet answered.
func (m *modelState) revoke(a int8) bool {
	o := m.owners[0]
	if o.sentTo != a || !m.revoked {
		return false
	}
	m.send(message{kind: revokeMessage, agent: a, incarnation: o.incarnation, epoch: 1, attempt: o.attempt})
	return true
}

// callBackend makes the pending call of an agent.
func (m *modelState) callBackend(a int8, mut mutation) bool {
	agent := &m.agents[a]
	if !agent.callPending {
		return false
	}
	agent.callPending = false
	m.startCount++
	if mut == recordedAfterCall {
		r := agent.starter.recordAttempt(modelTime(m.now), 0, identifier.Epoch(agent.call.epoch), modelTask, uint32(agent.call.attempt))
		r.started = true
	}
	return true
}

// replace kills an agent and starts its next incarnation, which reads the table. Only
// the first agent is replaced, because the model is symmetric in the agents.
func (m *modelState) replace(a int8, mut mutation) bool {
	if a != 0 || m.agents[a].incarnation == 2 || !m.replaced {
		return false
	}
	m.agents[a] = newModelAgent(2)
	if m.claimedAt >= 0 && mut != withoutFenceReading {
		m.agents[a].starter.RaiseFence("e2", Claim{Epoch: 2})
	}
	return true
}

// linkReplacement is the second owner's first link to an agent that was replaced after
// the roster was read.
func (m *modelState) linkReplacement(a int8) bool {
	if m.claimedAt < 0 || m.sealed[a] || m.agents[a].incarnation <= m.roster[a] {
		return false
	}
	m.sealed[a], m.cautious = true, true
	return true
}

// deliver delivers a message. The message stays in the set and may be delivered again.
func (m *modelState) deliver(msg message, mut mutation) bool {
	switch msg.kind {
	case startMessage:
		return m.deliverStart(msg, mut)
	case revokeMessage:
		return m.deliverRevoke(msg, mut)
	case notStartedMessage, revokedMessage:
		o := &m.owners[msg.epoch-1]
		if msg.started != 0 || o.sentTo != msg.agent || o.attempt != msg.attempt {
			return false
		}
		o.sentTo = -1
	}
	return true
}

func (m *modelState) deliverStart(msg message, mut mutation) bool {
	agent := &m.agents[msg.agent]
	from := modelEntries[msg.epoch-1]
	start := &Start{Incarnation: identifier.Incarnation(msg.incarnation), Epoch: identifier.Epoch(msg.epoch), Task: modelTask, Attempt: uint32(msg.attempt)}
	switch mut {
	case withoutEpochCheck:
		agent.starter.fences = nil
	case withoutAgentLeaseCheck:
		agent.starter.leases[from] = modelTime(100)
	case withoutIncarnationCheck:
		start.Incarnation = agent.starter.Incarnation
	}
	reason := agent.starter.Start(modelTime(m.now), from, start, true)
	switch {
	case reason == Accepted:
		agent.callPending, agent.call = true, msg
		if mut == recordedAfterCall {
			delete(agent.starter.records, modelTask)
		}
	case reason == OtherIncarnation || reason == AlreadyStarted:
		return false
	default:
		if mut == withoutTombstone && reason != Fenced {
			delete(agent.starter.records, modelTask)
		}
		m.send(message{kind: notStartedMessage, agent: msg.agent, epoch: msg.epoch, attempt: msg.attempt})
	}
	return true
}

func (m *modelState) deliverRevoke(msg message, mut mutation) bool {
	agent := &m.agents[msg.agent]
	reply, ok := agent.starter.Revoke(modelTime(m.now), "e1", &Revoke{
		Incarnation: identifier.Incarnation(msg.incarnation), Epoch: identifier.Epoch(msg.epoch), Task: modelTask, Attempt: uint32(msg.attempt),
	})
	if !ok {
		return false
	}
	started := int8(0)
	if reply.Started {
		started = 1
	}
	if mut == withoutTombstone && !reply.Started {
		delete(agent.starter.records, modelTask)
	}
	m.send(message{kind: revokedMessage, agent: msg.agent, epoch: msg.epoch, attempt: msg.attempt, started: started})
	return true
}

// TestModelStartsTaskAtMostOnce checks that no reachable state has a second start.
func TestModelStartsTaskAtMostOnce(t *testing.T) {
	for _, b := range []bounds{takeoverBounds, newIdentityBounds, replacementBounds, revocationBounds} {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			states, twice := search(noMutation, b)
			t.Logf("%d states", states)
			assert.Assert(t, !twice, "the task was started twice")
		})
	}
}

// TestModelFindsEveryMutation checks that the model is sensitive to each rule: if the
// rule is left out, a search finds a second start.
func TestModelFindsEveryMutation(t *testing.T) {
	for mut, b := range map[mutation]bounds{
		withoutEpochCheck:       takeoverBounds,
		leaseFromReceipt:        newIdentityBounds,
		withoutSeal:             takeoverBounds,
		withoutCaution:          takeoverBounds,
		recordedAfterCall:       takeoverBounds,
		withoutTombstone:        revocationBounds,
		withoutIncarnationCheck: revocationBounds,
		withoutFenceReading:     replacementBounds,
	} {
		t.Run(string(mut), func(t *testing.T) {
			t.Parallel()
			states, twice := search(mut, b)
			t.Logf("%d states", states)
			assert.Assert(t, twice, "the search %q found no second start", b.name)
		})
	}
}

// TestModelWithoutAgentLeaseCheck checks that a task is started at most once even if
// the agent does not check the lease, since the next owner's caution covers every start
// that the check would refuse. The check exists to bound how late a start can happen.
func TestModelWithoutAgentLeaseCheck(t *testing.T) {
	states, twice := search(withoutAgentLeaseCheck, takeoverBounds)
	t.Logf("%d states", states)
	assert.Assert(t, !twice)
}
