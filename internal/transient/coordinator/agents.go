package coordinator

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/load/estimator"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// agent holds what this gateway knows of an agent and its worker.
type agent struct {
	name        identifier.Agent
	incarnation identifier.Incarnation
	linked      bool
	// attached is set once the agent has sent its Attach message on the present link.
	attached bool
	// released is set once the agent has asked for the link to be closed.
	released  bool
	status    executor.Status
	lastHeard time.Time
	// lastRequest is the sequence number of the last permit request on the present link, or
	// zero before the first, and requestedAt is when it arrived.
	lastRequest uint64
	requestedAt time.Time
	// permitSent is when the last permit was sent. busySince is when the first of the
	// present runs was sent.
	permitSent, busySince time.Time
	// used is the sum of the demands of runs. The agent may have a different view while
	// messages are on their way.
	used     specifier.Resources
	runs     map[executor.RunID]*job
	health   health
	slowdown estimator.Slowdown
	// leavesAt is the earliest time at which the worker leaves, if it has told one.
	leavesAt time.Time
	// inWantedRack is set while tasks here want the rack of the worker.
	inWantedRack bool
	// crashedAt is when the worker last crashed, and backAt when it was available again.
	crashedAt, backAt time.Time
	// withheldUntil is until when the agent gets no start, because it has refused one for want of a
	// permit. It does so while it withholds the lease of its worker, and does not tell when that ends.
	withheldUntil time.Time
	// ramp tells whether the worker has returned or started a short time ago.
	ramp ramp
	// sentBacklog is the backlog that was last sent to the agent, and backlogSent is when.
	sentBacklog executor.Backlog
	backlogSent time.Time
	// staleUntil is set while runs that were sent to an earlier incarnation of the agent
	// may still be running: until the worker accepts the new incarnation, but no longer
	// than this time.
	staleUntil time.Time
}

// withheldPause is how long an agent gets no start after it has refused one for want of a permit.
const withheldPause = 50 * time.Millisecond

// AgentLinked records a new link from an agent, which numbers its links. The agent gets no work before
// its Attach message. It reports false, and has no effect, if a later link was recorded before.
func (c *Coordinator) AgentLinked(now time.Time, name identifier.Agent, incarnation identifier.Incarnation, number uint64) bool {
	if !c.links.add(name, incarnation, number) {
		return false
	}
	if c.agents == nil {
		c.agents = make(map[identifier.Agent]*agent)
	}
	a := c.agents[name]
	if a == nil {
		a = &agent{name: name, runs: make(map[executor.RunID]*job)}
		c.agents[name] = a
	}
	a.linked, a.attached, a.released, a.lastRequest, a.lastHeard, a.sentBacklog = true, false, false, 0, now, executor.Backlog{}
	if a.incarnation != incarnation {
		a.incarnation = incarnation
		a.health, a.slowdown = health{}, estimator.Slowdown{}
		if len(a.runs) > 0 && a.staleUntil.IsZero() {
			a.staleUntil = now.Add(executor.RunsOverAfter)
		}
	}
	return true
}

// AgentUnlinked records the end of a link. The state of the runs at the agent is unknown
// until it attaches again or until permit and lease have expired.
func (c *Coordinator) AgentUnlinked(name identifier.Agent) {
	if a := c.agents[name]; a != nil {
		a.linked, a.attached = false, false
	}
}

// HandleAttach compares the runs that an agent lists with those that were sent to it. Runs
// that are not listed have lapsed, unless the worker may still run them for an earlier
// incarnation of the agent. Listed runs that are unknown here or to be stopped are stopped.
func (c *Coordinator) HandleAttach(now time.Time, name identifier.Agent, m *executor.Attach) []Effect {
	a := c.agents[name]
	if a == nil {
		return nil
	}
	a.attached, a.lastHeard, a.status = true, now, m.Status
	a.ramp.noteStatus(now, &m.Status)
	var effects []Effect
	for i := range m.Crashes {
		effects = append(effects, c.HandleCrash(now, name, &m.Crashes[i])...)
	}
	c.noteAvailability(now, a)
	effects = append(effects, c.noteNotice(now, a)...)
	for _, end := range m.Ends {
		effects = append(effects, c.runEnded(now, a, &end, ReportedAtAttach)...)
	}
	switch {
	case a.staleUntil.IsZero():
		effects = append(effects, c.lapseUnlisted(now, a, m.Runs, NotListedAtAttach)...)
	case m.Status.Available:
		effects = append(effects, c.lapseUnlisted(now, a, m.Runs, AgentRestarted)...)
	}
	for _, run := range m.Runs {
		j := a.runs[run]
		if j == nil || j.tasks[run.Index].stopping {
			effects = append(effects, Send{name, &executor.Stop{Run: run}})
		}
	}
	// Tasks are placed with the permit request that follows.
	return effects
}

// HandleStatus records the status of an agent's worker.
func (c *Coordinator) HandleStatus(now time.Time, name identifier.Agent, m *executor.Status) []Effect {
	a := c.agents[name]
	if a == nil || !a.attached {
		return nil
	}
	a.lastHeard, a.status = now, *m
	a.ramp.noteStatus(now, m)
	c.noteAvailability(now, a)
	effects := c.noteNotice(now, a)
	if m.Available && !a.staleUntil.IsZero() {
		effects = append(effects, c.lapseUnlisted(now, a, nil, AgentRestarted)...)
	}
	if m.Stalled {
		effects = append(effects, c.workerStalled(now, a)...)
	}
	return append(effects, c.place(now)...)
}

// lapseUnlisted ends all runs at an agent, except those listed, as lapsed.
func (c *Coordinator) lapseUnlisted(now time.Time, a *agent, listed []executor.RunID, ground Ground) []Effect {
	a.staleUntil = time.Time{}
	var effects []Effect
	for _, run := range a.sortedRuns() {
		if !slices.Contains(listed, run) {
			effects = append(effects, c.runEnded(now, a, &executor.Ended{Run: run, Outcome: executor.Lapsed}, ground)...)
		}
	}
	return effects
}

// HandleLoad records what runs of other gateways use of an agent's worker.
func (c *Coordinator) HandleLoad(now time.Time, name identifier.Agent, others specifier.Resources) []Effect {
	a := c.agents[name]
	if a == nil || !a.attached {
		return nil
	}
	a.lastHeard, a.status.UsedByOthers = now, others
	return c.place(now)
}

// HandlePermitRequest grants a permit. The agent counts its duration from when it sent the
// request, so the permit expires there no later than is assumed here.
func (c *Coordinator) HandlePermitRequest(now time.Time, name identifier.Agent, m *executor.PermitRequest) []Effect {
	a := c.agents[name]
	if a == nil {
		return nil
	}
	a.lastRequest, a.requestedAt = m.Sequence, now
	effects := c.checkCallers(now)
	permit := a.grantPermit(now)
	effects = append(effects, Send{name, &permit})
	return append(effects, c.HandleLoad(now, name, m.UsedByOthers)...)
}

// grantPermit returns a permit that refers to the last request, and must be sent at now.
func (a *agent) grantPermit(now time.Time) executor.Permit {
	a.permitSent = now
	return executor.Permit{Sequence: a.lastRequest, Age: now.Sub(a.requestedAt)}
}

// HandleRelease records that an agent needs its link no longer.
func (c *Coordinator) HandleRelease(now time.Time, name identifier.Agent) []Effect {
	a := c.agents[name]
	if a == nil || !a.attached {
		return nil
	}
	a.lastHeard, a.released = now, true
	return c.closeLinks(now)
}

// maxSilence is how long an agent with runs may send nothing. It then requests permits, so
// that its link has failed after this time.
const maxSilence = 400 * time.Millisecond

// closeLinks closes the links on which agents with runs are silent, and those of agents
// without runs that have asked for it. After a pause of this process, what the agents have
// sent meanwhile must be read first.
func (c *Coordinator) closeLinks(now time.Time) []Effect {
	if now.Before(c.resumeAt) {
		return nil
	}
	var effects []Effect
	for _, a := range c.sortedAgents() {
		switch {
		case !a.attached:
		case len(a.runs) == 0 && a.released:
			effects = append(effects, CloseLink{a.name, "released"})
		case len(a.runs) > 0 && now.Sub(a.lastHeard) >= maxSilence && now.Sub(a.busySince) >= maxSilence:
			effects = append(effects, CloseLink{a.name, "agent_silent"})
		}
	}
	return effects
}

// HandleEnded records the end of a run.
func (c *Coordinator) HandleEnded(now time.Time, name identifier.Agent, m *executor.Ended) []Effect {
	a := c.agents[name]
	if a == nil || !a.attached {
		return nil
	}
	a.lastHeard, a.status.UsedByOthers = now, m.UsedByOthers
	return append(c.runEnded(now, a, m, Reported), c.place(now)...)
}

// runEnded removes a run from its agent, updates the health of the worker, and completes,
// retries or fails the task. The end of a run that is not known here has no effect.
func (c *Coordinator) runEnded(now time.Time, a *agent, m *executor.Ended, ground Ground) []Effect {
	j := a.runs[m.Run]
	if j == nil {
		return nil
	}
	t := &j.tasks[m.Run.Index]
	delete(a.runs, m.Run)
	a.used = a.used.Sub(j.Demand)
	if m.Outcome == executor.Refused && m.Reason == executor.NoPermit {
		a.withheldUntil = now.Add(withheldPause)
	}
	stopping := t.stopping
	t.active, t.stopping = false, false
	if m.Outcome == executor.Done {
		j.longestRun = max(j.longestRun, m.Took)
		c.observe(a, j, m.Took)
		c.clearTask(now, j, m.Run.Index)
	}
	if !stopping || m.Outcome == executor.Done {
		a.health.runEnded(now, t.startSent, m, c.soundRun(a, j))
	}
	if j.ended {
		return c.removeFinished(now, j)
	}
	if m.Outcome == executor.Done {
		return c.taskDone(now, j, t)
	}
	return c.retryOrFail(now, a, j, t, m, ground)
}

// taskDone marks a task as done and completes its job with the last one.
func (c *Coordinator) taskDone(now time.Time, j *job, t *task) []Effect {
	t.done = true
	j.openTasks--
	if j.openTasks > 0 {
		return nil
	}
	return c.end(now, j, Answer{State: Completed}, "done")
}

// retryOrFail puts a task back among the pending ones, or fails its job if the task has
// used its attempts.
func (c *Coordinator) retryOrFail(now time.Time, a *agent, j *job, t *task, m *executor.Ended, ground Ground) []Effect {
	moved := t.endMove(m.Outcome)
	if !moved {
		j.lostRuns++
	}
	t.avoidAgent = a.name
	event := LogEvent{Name: EventRunLost, Run: m.Run, Agent: a.name, Cause: m.Outcome.String(), SinceHeard: now.Sub(a.lastHeard), Ground: ground, PermitAge: now.Sub(a.permitSent)}
	if m.Outcome == executor.Refused {
		event.Cause = string(m.Reason)
	}
	t.other = otherRun{}
	if m.Outcome == executor.Refused && m.Reason == executor.Duplicate {
		t.noteDuplicate(now, a.name)
	}
	if m.Outcome == executor.Failed {
		t.failures++
		if t.failures >= j.Queue.MaxAttempts {
			return append([]Effect{event}, c.end(now, j, Answer{State: Failed}, "attempts_used")...)
		}
	}
	j.pending = append(j.pending, m.Run.Index)
	c.enqueue(j)
	if moved {
		// The move was logged.
		return nil
	}
	return []Effect{event}
}

// expireRuns ends the runs whose permit and lease have expired for certain, at agents that are
// not attached or have restarted, and removes unlinked agents without runs.
func (c *Coordinator) expireRuns(now time.Time) []Effect {
	var effects []Effect
	for _, a := range c.sortedAgents() {
		switch {
		case !a.staleUntil.IsZero() && !now.Before(a.staleUntil):
			effects = append(effects, c.lapseUnlisted(now, a, nil, RestartExpired)...)
		case !a.attached && now.Sub(a.permitSent) >= executor.RunsOverAfter:
			effects = append(effects, c.lapseUnlisted(now, a, nil, PermitExpired)...)
		}
		if !a.linked && len(a.runs) == 0 {
			delete(c.agents, a.name)
		}
	}
	return effects
}
