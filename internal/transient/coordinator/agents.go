package coordinator

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// agent is what is known of an agent and its worker.
type agent struct {
	name        identifier.Agent
	incarnation identifier.Incarnation
	linked      bool
	// attached is set when the agent has said what it holds.
	attached bool
	status   executor.Status
	heard    time.Time
	// permitted is when the last permit was sent.
	permitted time.Time
	// used is what the runs of this gateway use, in the eyes of this gateway.
	used   specifier.Resources
	runs   map[executor.RunID]*job
	health health
	pace   pace
	// told is what the agent was last told of waiting work.
	told executor.Backlog
	// staleUntil is set while runs were sent to an earlier incarnation of the agent
	// and may still be at work: until the worker obeys the new one, or for so long.
	staleUntil time.Time
}

// AgentLinked notes a link from an agent. It gets no work before it has said what it
// holds.
func (c *Coordinator) AgentLinked(now time.Time, name identifier.Agent, incarnation identifier.Incarnation) {
	if c.agents == nil {
		c.agents = make(map[identifier.Agent]*agent)
	}
	a := c.agents[name]
	if a == nil {
		a = &agent{name: name, runs: make(map[executor.RunID]*job)}
		c.agents[name] = a
	}
	a.linked, a.attached, a.heard, a.told = true, false, now, executor.Backlog{}
	if a.incarnation != incarnation {
		a.incarnation = incarnation
		a.health, a.pace = health{}, pace{}
		if len(a.runs) > 0 && a.staleUntil.IsZero() {
			a.staleUntil = now.Add(executor.RunsOverAfter)
		}
	}
}

// AgentUnlinked notes the end of a link. What runs there stays in doubt until the agent
// is back or the permit and the lease are over.
func (c *Coordinator) AgentUnlinked(name identifier.Agent) {
	if a := c.agents[name]; a != nil {
		a.linked, a.attached = false, false
	}
}

// HandleAttach takes what an agent holds for this gateway.
func (c *Coordinator) HandleAttach(now time.Time, name identifier.Agent, m *executor.Attach) []Effect {
	a := c.agents[name]
	if a == nil {
		return nil
	}
	a.attached, a.heard, a.status = true, now, m.Status
	var effects []Effect
	for _, end := range m.Ends {
		effects = append(effects, c.ended(now, a, &end)...)
	}
	if a.staleUntil.IsZero() || m.Status.Available {
		effects = append(effects, c.lapse(now, a, m.Runs)...)
	}
	for _, run := range m.Runs {
		j := a.runs[run]
		if j == nil || j.tasks[run.Index].stopping {
			effects = append(effects, Send{name, &executor.Stop{Run: run}})
		}
	}
	return append(effects, c.place(now)...)
}

// HandleStatus takes the state of an agent's worker.
func (c *Coordinator) HandleStatus(now time.Time, name identifier.Agent, m *executor.Status) []Effect {
	a := c.agents[name]
	if a == nil || !a.attached {
		return nil
	}
	a.heard, a.status = now, *m
	var effects []Effect
	if m.Available && !a.staleUntil.IsZero() {
		effects = c.lapse(now, a, nil)
	}
	if m.Stalled {
		effects = append(effects, c.stalled(now, a)...)
	}
	return append(effects, c.place(now)...)
}

// lapse ends the runs at an agent other than those listed.
func (c *Coordinator) lapse(now time.Time, a *agent, listed []executor.RunID) []Effect {
	a.staleUntil = time.Time{}
	var effects []Effect
	for _, run := range a.order() {
		if !slices.Contains(listed, run) {
			effects = append(effects, c.ended(now, a, &executor.Ended{Run: run, Outcome: executor.Lapsed})...)
		}
	}
	return effects
}

// HandleLoad takes what runs of other gateways use of an agent's worker.
func (c *Coordinator) HandleLoad(now time.Time, name identifier.Agent, others specifier.Resources) []Effect {
	a := c.agents[name]
	if a == nil || !a.attached {
		return nil
	}
	a.heard, a.status.UsedByOthers = now, others
	return c.place(now)
}

// HandlePermitRequest answers an agent's question. The agent counts from when it sent it, which
// was earlier.
func (c *Coordinator) HandlePermitRequest(now time.Time, name identifier.Agent, m *executor.PermitRequest) []Effect {
	a := c.agents[name]
	if a == nil {
		return nil
	}
	a.permitted = now
	return append([]Effect{Send{name, &executor.Permit{Sequence: m.Sequence}}}, c.HandleLoad(now, name, m.UsedByOthers)...)
}

// HandleEnded takes the end of a run.
func (c *Coordinator) HandleEnded(now time.Time, name identifier.Agent, m *executor.Ended) []Effect {
	a := c.agents[name]
	if a == nil || !a.attached {
		return nil
	}
	a.heard, a.status.UsedByOthers = now, m.UsedByOthers
	return append(c.ended(now, a, m), c.place(now)...)
}

func (c *Coordinator) ended(now time.Time, a *agent, m *executor.Ended) []Effect {
	j := a.runs[m.Run]
	if j == nil {
		return nil
	}
	t := &j.tasks[m.Run.Index]
	delete(a.runs, m.Run)
	a.used = a.used.Sub(j.Demand)
	stopping := t.stopping
	t.active, t.stopping = false, false
	if m.Outcome == executor.Done {
		c.observe(a, j, m.Took)
	}
	if !stopping || m.Outcome == executor.Done {
		a.health.ended(now, m, j.expected)
	}
	if j.ended {
		c.forget(j)
		return nil
	}
	if m.Outcome == executor.Done {
		return c.taskDone(now, j, t)
	}
	return c.taskLost(now, a, j, t, m)
}

// observe learns from the run time of a task. Away from its data it says nothing about
// its queue or the worker.
func (c *Coordinator) observe(a *agent, j *job, took time.Duration) {
	if j.Rack != "" && !slices.Contains(a.status.Labels, j.Rack) {
		return
	}
	a.pace.observe(took, j.expected)
	c.runs.observe(&j.Job, took)
}

func (c *Coordinator) taskDone(now time.Time, j *job, t *task) []Effect {
	t.done = true
	j.open--
	if j.open > 0 {
		return nil
	}
	return c.end(now, j, Answer{State: Completed}, "done")
}

// taskLost tries a task again, unless it has failed too often.
func (c *Coordinator) taskLost(now time.Time, a *agent, j *job, t *task, m *executor.Ended) []Effect {
	j.lost++
	t.avoid = a.name
	note := LogEvent{Name: "run_lost", Run: m.Run, Agent: a.name, Cause: m.Outcome.String(), SinceHeard: now.Sub(a.heard)}
	if m.Outcome == executor.Refused {
		note.Cause = string(m.Reason)
	}
	if m.Outcome == executor.Failed {
		t.failures++
		if t.failures >= j.Queue.MaxAttempts {
			return append([]Effect{note}, c.end(now, j, Answer{State: Failed}, "attempts_used")...)
		}
	}
	j.idle = append(j.idle, m.Run.Index)
	c.enqueue(j)
	return []Effect{note}
}

// expire ends the runs of agents that are away for so long that permit and lease are
// surely over.
func (c *Coordinator) expire(now time.Time) []Effect {
	var effects []Effect
	for _, a := range c.sorted() {
		switch {
		case !a.staleUntil.IsZero() && !now.Before(a.staleUntil):
			effects = append(effects, c.lapse(now, a, nil)...)
		case !a.attached && now.Sub(a.permitted) >= executor.RunsOverAfter:
			effects = append(effects, c.lapse(now, a, nil)...)
		}
		if !a.linked && len(a.runs) == 0 {
			delete(c.agents, a.name)
		}
	}
	return effects
}
