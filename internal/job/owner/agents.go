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

// unreachableSuspension is how long an agent gets no tasks after it could not
// connect to its backend server.
const unreachableSuspension = time.Second

// AgentLinked registers a new link to an agent. It revokes every task that was sent
// to the agent on an earlier link, to learn whether the task was started.
func (o *Owner) AgentLinked(agent identifier.Agent, incarnation identifier.Incarnation) []Effect {
	o.pool.Link(agent, incarnation)
	for _, id := range sortedTasks(o.sentTasks[agent]) {
		j, ok := o.find(id.Submission)
		if !ok || j.ended {
			continue
		}
		o.resolveSent(agent, incarnation, j, id)
	}
	o.resolveInheritedOf(agent)
	return o.flush()
}

// resolveSent sends a Revoke for a task whose result has not arrived. If the agent
// has another incarnation now, the record of the task is lost with the earlier one.
func (o *Owner) resolveSent(agent identifier.Agent, incarnation identifier.Incarnation, j *job, id identifier.Task) {
	t := &j.tasks[id.Index]
	if t.incarnation != incarnation {
		o.end(j, id.Index, agentReplaced())
		return
	}
	p := j.Submission.Partition(o.settings.Partitions)
	o.Counters.Revokes++
	o.send(agent, &starter.Revoke{
		Incarnation: incarnation,
		Partition:   p,
		Epoch:       o.partitions[p].epoch,
		Task:        id,
		Attempt:     t.attempt,
	})
}

// resolveInheritedOf sends a Revoke for every unresolved start by an earlier owner that
// went to the agent.
func (o *Owner) resolveInheritedOf(agent identifier.Agent) {
	for p, part := range o.partitions {
		for _, id := range sortedTasks(part.inherited) {
			if start := part.inherited[id]; start.agent == agent {
				o.resolveInherited(p, part, id, start)
			}
		}
	}
}

// resolveInheritedIn sends a Revoke for every unresolved start by an earlier owner of
// a partition. That owner may have handed over a start that was still in flight, or
// that the agent has refused since.
func (o *Owner) resolveInheritedIn(p identifier.Partition, part *partition) {
	for _, id := range sortedTasks(part.inherited) {
		o.resolveInherited(p, part, id, part.inherited[id])
	}
}

func (o *Owner) resolveInherited(p identifier.Partition, part *partition, id identifier.Task, start inheritedStart) {
	a := o.pool.Agent(start.agent)
	if a == nil || start.neverStarted || start.result.Outcome != describer.Pending {
		return
	}
	if a.Incarnation != start.incarnation {
		start.result = agentReplaced()
		part.inherited[id] = start
		return
	}
	o.Counters.Revokes++
	o.send(start.agent, &starter.Revoke{
		Incarnation: start.incarnation,
		Partition:   p,
		Epoch:       part.epoch,
		Task:        id,
		Attempt:     start.attempt,
	})
}

// sortedTasks returns the keys of m in a fixed order, so that the same history
// always produces the same messages.
func sortedTasks[V any](m map[identifier.Task]V) []identifier.Task {
	return slices.SortedFunc(maps.Keys(m), identifier.Task.Compare)
}

// AgentUnlinked removes the link to an agent. The state of the agent's tasks is
// unknown until it is linked again or their deadlines pass.
func (o *Owner) AgentUnlinked(agent identifier.Agent) {
	o.pool.Unlink(agent)
}

// HandleGrant adds the slots that an agent grants.
func (o *Owner) HandleGrant(now time.Time, agent identifier.Agent, m *allocator.Grant) []Effect {
	o.grant(agent, m.Incarnation, m.Slots)
	o.dispatch(now)
	return o.flush()
}

// HandleRecall returns idle slots to an agent.
func (o *Owner) HandleRecall(agent identifier.Agent, m *allocator.Recall) []Effect {
	a := o.pool.Agent(agent)
	if a == nil || a.Incarnation != m.Incarnation {
		return nil
	}
	n := o.pool.Recall(agent, m.Slots)
	if n > 0 {
		a.Notified = false
	}
	o.Counters.Returns++
	o.send(agent, &allocator.Return{Incarnation: m.Incarnation, Slots: n})
	return o.flush()
}

// AgentLeaving drops the idle slots of an agent that is about to leave.
func (o *Owner) AgentLeaving(agent identifier.Agent) {
	o.pool.DropIdle(agent)
}

// HandleEnded records the result of a task.
func (o *Owner) HandleEnded(now time.Time, agent identifier.Agent, m *starter.Ended) []Effect {
	o.grant(agent, m.Incarnation, m.GrantedSlots)
	o.pool.TaskDone(agent)
	if j, t := o.findSent(agent, m.Incarnation, m.Task); t != nil {
		if !t.sentAt.IsZero() {
			o.runTimes.Observe(j.Template, now.Sub(t.sentAt))
		}
		o.end(j, m.Task.Index, m.Result)
	}
	o.setInheritedResult(agent, m.Incarnation, m.Task, m.Result)
	o.dispatch(now)
	return o.flush()
}

// HandleNotStarted queues a task again after its agent has reported that the attempt
// did not start and never will, unless the agent has already started the task. The task
// is sent on the next tick and not at once: otherwise an agent that refuses everything
// would cause a loop of messages.
func (o *Owner) HandleNotStarted(now time.Time, agent identifier.Agent, m *starter.NotStarted) []Effect {
	o.Counters.NotStarted++
	o.grant(agent, m.Incarnation, m.GrantedSlots)
	o.pool.TaskDone(agent)
	if m.Reason == starter.Unreachable {
		o.pool.Suspend(agent, now.Add(unreachableSuspension))
	}
	j, t := o.findSent(agent, m.Incarnation, m.Task)
	if t != nil && t.epoch == m.Epoch && t.attempt == m.Attempt && m.Reason != starter.AlreadyStarted {
		o.requeue(j, m.Task)
	}
	part, start, ok := o.findInherited(agent, m.Incarnation, m.Task)
	if ok && start.epoch == m.Epoch && start.attempt == m.Attempt && m.Reason == starter.Unreachable {
		part.markNeverStarted(m.Task, start)
	}
	return o.flush()
}

// HandleRevoked handles an agent's reply to a Revoke. A reply of another epoch is
// ignored: an owner may release a partition and claim it again while a reply is in
// flight, and attempts are counted anew in each epoch, so the attempt number alone does
// not identify the start.
func (o *Owner) HandleRevoked(now time.Time, agent identifier.Agent, m *starter.Revoked) []Effect {
	part := o.partitions[m.Task.Submission.Partition(o.settings.Partitions)]
	switch {
	case part == nil || part.epoch != m.Epoch:
	case m.Started:
		o.applyResult(agent, m.Incarnation, m.Task, m.Result)
	default:
		o.handleNeverStarted(agent, m)
	}
	o.dispatch(now)
	return o.flush()
}

// handleNeverStarted queues a task again that was never started, or marks the start
// inherited from an earlier owner as never started.
func (o *Owner) handleNeverStarted(agent identifier.Agent, m *starter.Revoked) {
	if j, t := o.findSent(agent, m.Incarnation, m.Task); t != nil && t.attempt == m.Attempt {
		o.requeue(j, m.Task)
	}
	if part, start, ok := o.findInherited(agent, m.Incarnation, m.Task); ok && start.attempt == m.Attempt {
		part.markNeverStarted(m.Task, start)
	}
}

// applyResult applies the result that an agent has on record for a task. A pending
// result changes nothing.
func (o *Owner) applyResult(agent identifier.Agent, incarnation identifier.Incarnation, id identifier.Task, r describer.Result) {
	if r.Outcome == describer.Pending {
		return
	}
	if j, t := o.findSent(agent, incarnation, id); t != nil {
		o.end(j, id.Index, r)
	}
	o.setInheritedResult(agent, incarnation, id, r)
}

func (o *Owner) requeue(j *job, id identifier.Task) {
	t := &j.tasks[id.Index]
	o.unmarkSent(t.agent, id, j.Urgent)
	t.state = taskWaiting
	o.queue.PushFront(dispatcher.Item{Task: id, Urgent: j.Urgent, Deadline: j.deadline})
}

// findSent returns the task and its job if the task was sent to this incarnation of
// the agent and has not ended, or nil.
func (o *Owner) findSent(agent identifier.Agent, incarnation identifier.Incarnation, id identifier.Task) (*job, *task) {
	j, ok := o.find(id.Submission)
	if !ok || j.ended || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil, nil
	}
	t := &j.tasks[id.Index]
	if t.state != taskSent || t.agent != agent || t.incarnation != incarnation {
		return nil, nil
	}
	return j, t
}

// setInheritedResult records the result of a task that was started under an earlier
// owner, for a submission that may come later.
func (o *Owner) setInheritedResult(agent identifier.Agent, incarnation identifier.Incarnation, id identifier.Task, r describer.Result) {
	part, start, ok := o.findInherited(agent, incarnation, id)
	if ok && r.Outcome != describer.Pending {
		start.result = r
		part.inherited[id] = start
	}
}

// markNeverStarted records that a start by an earlier owner did not happen.
func (part *partition) markNeverStarted(id identifier.Task, start inheritedStart) {
	if start.result.Outcome == describer.Pending {
		start.neverStarted = true
		part.inherited[id] = start
	}
}

func (o *Owner) findInherited(agent identifier.Agent, incarnation identifier.Incarnation, id identifier.Task) (*partition, inheritedStart, bool) {
	part := o.partitions[id.Submission.Partition(o.settings.Partitions)]
	if part == nil {
		return nil, inheritedStart{}, false
	}
	start, ok := part.inherited[id]
	return part, start, ok && start.agent == agent && start.incarnation == incarnation
}

func (o *Owner) grant(agent identifier.Agent, incarnation identifier.Incarnation, n int) {
	if a := o.pool.Agent(agent); a != nil && a.Incarnation == incarnation {
		o.pool.Grant(agent, n)
	}
}

// notifyAgents sends a Want to agents that have not been notified of waiting tasks,
// in round-robin order. It notifies no more agents than there are tasks, since each
// of them will try to free a slot.
func (o *Owner) notifyAgents() {
	agents := o.pool.Agents()
	notified := 0
	for range agents {
		if notified >= o.ready() {
			return
		}
		a := agents[o.nextToNotify%len(agents)]
		o.nextToNotify = (o.nextToNotify + 1) % len(agents)
		if a.Notified {
			continue
		}
		a.Notified = true
		notified++
		o.Counters.Wants++
		o.send(a.Agent, &allocator.Want{Waiting: o.ready()})
	}
}

func (o *Owner) markSent(agent identifier.Agent, id identifier.Task, urgent bool) {
	if !urgent {
		o.sentNormal++
	}
	if o.sentTasks[agent] == nil {
		o.sentTasks[agent] = make(map[identifier.Task]bool)
	}
	o.sentTasks[agent][id] = true
}

func (o *Owner) unmarkSent(agent identifier.Agent, id identifier.Task, urgent bool) {
	if !urgent {
		o.sentNormal--
	}
	delete(o.sentTasks[agent], id)
	if len(o.sentTasks[agent]) == 0 {
		delete(o.sentTasks, agent)
	}
}

func agentReplaced() describer.Result {
	return describer.Result{Outcome: describer.MayHaveRun, Detail: "the agent that was asked to run it was replaced"}
}
