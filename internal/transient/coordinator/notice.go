package coordinator

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/load/ranker"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// moveDelay is how long it takes to stop a run and start it elsewhere: two calls to workers, which take up
// to 50 ms to end a run, and two messages. A notice that leaves less is no use.
const moveDelay = 60 * time.Millisecond

// noteNotice records when the worker of an agent leaves, by its last status, and moves the runs that
// would end with it.
func (c *Coordinator) noteNotice(now time.Time, a *agent) []Effect {
	a.leavesAt = time.Time{}
	if c.Policy.LeaveNotice && a.status.Leaving && a.status.LeavesIn > 0 {
		a.leavesAt = now.Add(a.status.LeavesIn)
	}
	return c.moveRuns(now, a)
}

// tickNotices looks at the workers that leave again: capacity elsewhere may have become free.
func (c *Coordinator) tickNotices(now time.Time) []Effect {
	if !c.Policy.LeaveNotice {
		return nil
	}
	var effects []Effect
	for _, a := range c.sortedAgents() {
		effects = append(effects, c.moveRuns(now, a)...)
	}
	return effects
}

// moveRuns stops the runs at an agent that do not end before its worker leaves, if another worker has
// capacity for them to be in time there. They are started again once they have ended. It addresses
// workers that are reclaimed at a peak: what they run is lost otherwise, and starts again seconds
// later.
func (c *Coordinator) moveRuns(now time.Time, a *agent) []Effect {
	if a.leavesAt.IsZero() || !a.attached || a.leavesAt.Sub(now) < moveDelay {
		return nil
	}
	var effects []Effect
	planned := make(map[*agent]specifier.Resources)
	for _, cut := range a.status.CutOff {
		j := a.runs[cut.Run]
		if j == nil || j.ended || j.tasks[cut.Run.Index].stopping || !c.movable(now, a, j, cut.Total, planned) {
			continue
		}
		t := &j.tasks[cut.Run.Index]
		t.moved = true
		effects = append(effects, LogEvent{Name: EventRunMoved, Run: cut.Run, Agent: a.name, Cause: "worker_leaves", SinceHeard: now.Sub(a.lastHeard)})
		effects = append(effects, c.stop(t)...)
	}
	return effects
}

// movable reports whether a task of a job would be in time if it were started elsewhere, and there is
// capacity for it; total is its whole run time at the agent that it leaves. Under load, the capacity that
// becomes free next counts if no waiting job is more urgent. What is planned for earlier runs is taken
// into account. The objective of a job follows its longest task, so a task that takes longer than expected
// has more time, too.
func (c *Coordinator) movable(now time.Time, from *agent, j *job, total time.Duration, planned map[*agent]specifier.Resources) bool {
	stretched := total.Seconds() / max(c.expectedRunOn(from, j).Seconds(), 0.001)
	moved := *c.rankedTask(now, j)
	moved.Waited += moveDelay
	moved.Expected = time.Duration(float64(moved.Expected) * max(stretched, 1))
	getsNext := len(c.waiting) > 0 && compareUrgency(j, c.waiting[0]) < 0
	var candidates []ranker.Candidate
	var agents []*agent
	for _, a := range c.agents {
		if a == from || !a.takesWork(now, j) || c.evacuated(a) || !getsNext && !j.Demand.Add(planned[a]).FitsIn(a.freeCapacity()) {
			continue
		}
		candidate := c.candidate(a, j, &task{})
		candidate.Run = time.Duration(float64(candidate.Run) * stretched)
		if moved.InTime(&candidate) {
			candidates, agents = append(candidates, candidate), append(agents, a)
		}
	}
	i, _ := ranker.Best(&ranker.Task{}, candidates)
	if i < 0 {
		return false
	}
	planned[agents[i]] = planned[agents[i]].Add(j.Demand)
	return true
}

// endMove handles the end of a run of a task, and reports whether a notice had moved the run. Such an end
// is no loss: neither the worker nor the task has failed.
func (t *task) endMove(outcome executor.Outcome) bool {
	moved := t.moved && outcome != executor.Failed
	t.moved = false
	return moved
}
