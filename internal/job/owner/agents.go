package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/job/allocator"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
	"github.com/dandeliongrade/dandeliongrade/internal/job/dispatcher"
	"github.com/dandeliongrade/dandeliongrade/internal/job/starter"
)

// restAfterUnreachable is how long an agent gets no work after its backend
// server refused a connection.
const restAfterUnreachable = time.Second

// AgentLinked takes a new link to an agent, and asks about every task that was
// sent to it on an earlier link.
func (o *Owner) AgentLinked(agent identifier.Agent, incarnation identifier.Incarnation) []Effect {
	o.pool.Link(agent, incarnation)
	for _, name := range sortedTasks(o.sent[agent]) {
		j, ok := o.find(name.Submission)
		if !ok || j.ended {
			continue
		}
		o.settle(agent, incarnation, j, name)
	}
	o.settleEvidence(agent)
	return o.flush()
}

// settle asks about a task whose end did not come. An agent of another
// incarnation cannot tell, and no other can either.
func (o *Owner) settle(agent identifier.Agent, incarnation identifier.Incarnation, j *job, name identifier.Task) {
	t := &j.tasks[name.Index]
	if t.incarnation != incarnation {
		o.end(j, name.Index, lostAgent())
		return
	}
	p := j.Submission.Partition(o.settings.Partitions)
	o.Counters.Revokes++
	o.send(agent, &starter.Revoke{
		Incarnation: incarnation,
		Partition:   p,
		Epoch:       o.holdings[p].epoch,
		Task:        name,
		Attempt:     t.attempt,
	})
}

// settleEvidence does the same for the tasks of earlier owners that nobody has
// asked for yet.
func (o *Owner) settleEvidence(agent identifier.Agent) {
	for p, h := range o.holdings {
		for _, name := range sortedTasks(h.evidence) {
			if e := h.evidence[name]; e.agent == agent {
				o.settleRecord(p, h, name, e)
			}
		}
	}
}

// askEvidence asks every linked agent about the tasks that an earlier owner had
// sent to it. That owner may have handed over a start that was still on its way, or
// that the agent has refused since.
func (o *Owner) askEvidence(p identifier.Partition, h *holding) {
	for _, name := range sortedTasks(h.evidence) {
		o.settleRecord(p, h, name, h.evidence[name])
	}
}

func (o *Owner) settleRecord(p identifier.Partition, h *holding, name identifier.Task, e evidence) {
	w := o.pool.Worker(e.agent)
	if w == nil || e.free || e.result.Outcome != describer.Pending {
		return
	}
	if w.Incarnation != e.incarnation {
		e.result = lostAgent()
		h.evidence[name] = e
		return
	}
	o.Counters.Revokes++
	o.send(e.agent, &starter.Revoke{
		Incarnation: e.incarnation,
		Partition:   p,
		Epoch:       h.epoch,
		Task:        name,
		Attempt:     e.attempt,
	})
}

// sortedTasks returns the keys in a fixed order, so that equal histories lead to
// equal messages.
func sortedTasks[V any](m map[identifier.Task]V) []identifier.Task {
	return slices.SortedFunc(maps.Keys(m), identifier.Task.Compare)
}

// AgentUnlinked notes that the link to an agent is gone. Its tasks stay in doubt
// until it is linked again or their deadlines pass.
func (o *Owner) AgentUnlinked(agent identifier.Agent) {
	o.pool.Unlink(agent)
}

// HandleGrant takes slots that an agent offers.
func (o *Owner) HandleGrant(now time.Time, agent identifier.Agent, m *allocator.Grant) []Effect {
	o.grant(agent, m.Incarnation, m.Slots)
	o.dispatch(now)
	return o.flush()
}

// HandleRecall gives idle slots back to an agent.
func (o *Owner) HandleRecall(agent identifier.Agent, m *allocator.Recall) []Effect {
	w := o.pool.Worker(agent)
	if w == nil || w.Incarnation != m.Incarnation {
		return nil
	}
	n := o.pool.Recall(agent, m.Slots)
	if n > 0 {
		w.Notified = false
	}
	o.Counters.Returns++
	o.send(agent, &allocator.Return{Incarnation: m.Incarnation, Slots: n})
	return o.flush()
}

// AgentLeaving drops the offered slots of an agent that is leaving.
func (o *Owner) AgentLeaving(agent identifier.Agent) {
	o.pool.DropIdle(agent)
}

// HandleEnded takes the end of a task.
func (o *Owner) HandleEnded(now time.Time, agent identifier.Agent, m *starter.Ended) []Effect {
	o.grant(agent, m.Incarnation, m.GrantedSlots)
	o.pool.TaskDone(agent)
	if j, t := o.findSent(agent, m.Incarnation, m.Task); t != nil {
		if !t.at.IsZero() {
			o.runs.Observe(j.Template, now.Sub(t.at))
		}
		o.end(j, m.Task.Index, m.Result)
	}
	o.addEvidence(agent, m.Incarnation, m.Task, m.Result)
	o.dispatch(now)
	return o.flush()
}

// HandleNotStarted takes an agent's report that an attempt did not start and never will.
// The task is queued again; the next tick sends it, so that an agent that refuses
// everything does not make a loop.
func (o *Owner) HandleNotStarted(now time.Time, agent identifier.Agent, m *starter.NotStarted) []Effect {
	o.Counters.NotStarted++
	o.grant(agent, m.Incarnation, m.GrantedSlots)
	o.pool.TaskDone(agent)
	if m.Reason == starter.Unreachable {
		o.pool.Suspend(agent, now.Add(restAfterUnreachable))
	}
	j, t := o.findSent(agent, m.Incarnation, m.Task)
	if t != nil && t.epoch == m.Epoch && t.attempt == m.Attempt && m.Reason != starter.AlreadyStarted {
		o.requeue(j, m.Task)
	}
	h, e, ok := o.findEvidence(agent, m.Incarnation, m.Task)
	if ok && e.epoch == m.Epoch && e.attempt == m.Attempt && m.Reason == starter.Unreachable {
		h.free(m.Task, e)
	}
	return o.flush()
}

// HandleRevoked takes an agent's report on a task that was in doubt. Attempts are counted anew
// in each epoch, and an owner may lose a partition and claim it again while an answer
// to a question of its earlier epoch is on its way; that one counts for nothing.
func (o *Owner) HandleRevoked(now time.Time, agent identifier.Agent, m *starter.Revoked) []Effect {
	h := o.holdings[m.Task.Submission.Partition(o.settings.Partitions)]
	switch {
	case h == nil || h.epoch != m.Epoch:
	case m.Started:
		o.settleEnd(agent, m.Incarnation, m.Task, m.Result)
	default:
		o.settleRevoked(agent, m)
	}
	o.dispatch(now)
	return o.flush()
}

// settleRevoked queues a task again that never started, or lets its evidence go.
func (o *Owner) settleRevoked(agent identifier.Agent, m *starter.Revoked) {
	if j, t := o.findSent(agent, m.Incarnation, m.Task); t != nil && t.attempt == m.Attempt {
		o.requeue(j, m.Task)
	}
	if h, e, ok := o.findEvidence(agent, m.Incarnation, m.Task); ok && e.attempt == m.Attempt {
		h.free(m.Task, e)
	}
}

// settleEnd takes what an agent has on record of a task; a pending result changes
// nothing.
func (o *Owner) settleEnd(agent identifier.Agent, incarnation identifier.Incarnation, name identifier.Task, r describer.Result) {
	if r.Outcome == describer.Pending {
		return
	}
	if j, t := o.findSent(agent, incarnation, name); t != nil {
		o.end(j, name.Index, r)
	}
	o.addEvidence(agent, incarnation, name, r)
}

func (o *Owner) requeue(j *job, name identifier.Task) {
	t := &j.tasks[name.Index]
	o.unmarkSent(t.agent, name, j.Urgent)
	t.state = waiting
	o.queue.PushFront(dispatcher.Item{Task: name, Urgent: j.Urgent, Deadline: j.deadline})
}

// findSent returns the task if it was sent to this incarnation of the agent and
// has not ended.
func (o *Owner) findSent(agent identifier.Agent, incarnation identifier.Incarnation, name identifier.Task) (*job, *task) {
	j, ok := o.find(name.Submission)
	if !ok || j.ended || name.Index < 0 || name.Index >= len(j.tasks) {
		return nil, nil
	}
	t := &j.tasks[name.Index]
	if t.state != sent || t.agent != agent || t.incarnation != incarnation {
		return nil, nil
	}
	return j, t
}

// addEvidence keeps the end of a task of an earlier owner that nobody has asked
// for yet.
func (o *Owner) addEvidence(agent identifier.Agent, incarnation identifier.Incarnation, name identifier.Task, r describer.Result) {
	h, e, ok := o.findEvidence(agent, incarnation, name)
	if ok && r.Outcome != describer.Pending {
		e.result = r
		h.evidence[name] = e
	}
}

// free notes that a task which an earlier owner had sent never started.
func (h *holding) free(name identifier.Task, e evidence) {
	if e.result.Outcome == describer.Pending {
		e.free = true
		h.evidence[name] = e
	}
}

func (o *Owner) findEvidence(agent identifier.Agent, incarnation identifier.Incarnation, name identifier.Task) (*holding, evidence, bool) {
	h := o.holdings[name.Submission.Partition(o.settings.Partitions)]
	if h == nil {
		return nil, evidence{}, false
	}
	e, ok := h.evidence[name]
	return h, e, ok && e.agent == agent && e.incarnation == incarnation
}

func (o *Owner) grant(agent identifier.Agent, incarnation identifier.Incarnation, n int) {
	if w := o.pool.Worker(agent); w != nil && w.Incarnation == incarnation {
		o.pool.Grant(agent, n)
	}
}

// want tells agents that do not know it yet that work waits here: in turn, and no
// more at a time than there are tasks, for each will look for a slot.
func (o *Owner) want() {
	workers := o.pool.Workers()
	asked := 0
	for range workers {
		if asked >= o.ready() {
			return
		}
		w := workers[o.nextWant%len(workers)]
		o.nextWant = (o.nextWant + 1) % len(workers)
		if w.Notified {
			continue
		}
		w.Notified = true
		asked++
		o.Counters.Wants++
		o.send(w.Agent, &allocator.Want{Waiting: o.ready()})
	}
}

func (o *Owner) markSent(agent identifier.Agent, name identifier.Task, urgent bool) {
	if !urgent {
		o.normal++
	}
	if o.sent[agent] == nil {
		o.sent[agent] = make(map[identifier.Task]bool)
	}
	o.sent[agent][name] = true
}

func (o *Owner) unmarkSent(agent identifier.Agent, name identifier.Task, urgent bool) {
	if !urgent {
		o.normal--
	}
	delete(o.sent[agent], name)
	if len(o.sent[agent]) == 0 {
		delete(o.sent, agent)
	}
}

func lostAgent() describer.Result {
	return describer.Result{Outcome: describer.MayHaveRun, Detail: "the agent that was asked to run it was replaced"}
}
