package coordinator

import (
	"strconv"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/quarantiner"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

const (
	// crashPenalty ranks the workers that have crashed within crashMemory last for a suspect, and
	// suspectSpread is the largest difference by which the others are ranked at random.
	crashPenalty  = time.Second
	crashMemory   = 10 * time.Second
	suspectSpread = 50 * time.Millisecond
)

// HandleCrash records the crash of an agent's worker.
func (c *Coordinator) HandleCrash(now time.Time, name identifier.Agent, m *executor.Crash) []Effect {
	return c.HandleReport(now, &quarantiner.Report{Agent: name, Crash: *m})
}

// HandleReport records the report of a crash from the agent or from another gateway, and passes on
// one that is new. Jobs with a task that is blamed for it are answered as failed.
func (c *Coordinator) HandleReport(now time.Time, r *quarantiner.Report) []Effect {
	blames, added := c.quarantine.HandleReport(now, r)
	if !added {
		return nil
	}
	if a := c.agents[r.Agent]; a != nil {
		if at := now.Add(-r.Crash.Age); at.After(a.crashedAt) {
			a.crashedAt = at
		}
	}
	effects := append([]Effect{PassOn{r}}, c.giveUp(now, r.Agent, blames)...)
	c.updateLanes(now)
	return append(effects, c.place(now)...)
}

// CrashReports returns the reports of all recent crashes, for a gateway that is linked anew.
func (c *Coordinator) CrashReports(now time.Time) []quarantiner.Report {
	return c.quarantine.Reports(now)
}

// giveUp answers the jobs of blamed tasks as failed.
func (c *Coordinator) giveUp(now time.Time, at identifier.Agent, blames []quarantiner.Blame) []Effect {
	var effects []Effect
	for _, b := range blames {
		run := executor.RunID{Job: b.Task.Job, Index: b.Task.Index}
		effects = append(effects, LogEvent{Name: EventTaskBlamed, Run: run, Agent: at, Cause: b.Queue})
		if j := c.jobs[b.Task.Job]; j != nil && !j.ended {
			effects = append(effects, c.end(now, j, Answer{State: Failed}, causeCrashes)...)
		}
	}
	return effects
}

// givenUpAnswer returns the answer of a job that is submitted again after one of its tasks was
// blamed for crashes, perhaps at another gateway.
func (c *Coordinator) givenUpAnswer(id specifier.JobID) (Answer, bool) {
	return Answer{State: Failed}, c.quarantine.GivenUp(id)
}

// clearTask records the success of a task with the quarantine.
func (c *Coordinator) clearTask(now time.Time, j *job, index int) {
	c.quarantine.TaskDone(now, quarantiner.Task{Job: j.ID, Index: index}, j.Queue.Name)
}

// suspected reports whether a task was on a worker that crashed for no known cause. Suspects are
// started apart from each other, so that the next crash tells which of them is the cause.
func (c *Coordinator) suspected(j *job, index int) bool {
	return c.quarantine.Suspected(quarantiner.Task{Job: j.ID, Index: index})
}

// runsSuspect reports whether this gateway runs a suspect at the agent.
func (c *Coordinator) runsSuspect(a *agent) bool {
	for run := range a.runs {
		if c.quarantine.Suspected(quarantiner.Task{Job: run.Job, Index: run.Index}) {
			return true
		}
	}
	return false
}

// suspectCost returns the penalties of sending a suspect to an agent. Gateways do not know where
// each other's suspects run, so each spreads its own at random.
func suspectCost(now time.Time, a *agent, j *job, index int) time.Duration {
	cost := time.Duration(hash(string(j.ID), strconv.Itoa(index), string(a.name))%1024) * suspectSpread / 1024
	if now.Sub(a.crashedAt) < crashMemory {
		cost += crashPenalty
	}
	return cost
}

// tickQuarantine releases confined queues and updates the lanes.
func (c *Coordinator) tickQuarantine(now time.Time) []Effect {
	var effects []Effect
	for _, queue := range c.quarantine.Tick(now) {
		effects = append(effects, LogEvent{Name: EventQueueReleased, Cause: queue})
	}
	c.updateLanes(now)
	return effects
}
