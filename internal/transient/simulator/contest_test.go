package simulator

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/coordinator"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// contest records what a history shows of jobs that are at two gateways. The zero value is ready for use.
type contest struct {
	// jobs holds the jobs that a gateway accepted while another one worked on them.
	jobs map[specifier.JobID]bool
	// starters holds the process that asked an agent for a run.
	starters map[order]process
	// runs holds all runs of each task.
	runs map[string][]*taskRun
	// handedOver is set once a task has run under two processes, and gap is then the shortest time from
	// the end of a run under one to the start of a run under the other. It is negative if they overlap.
	handedOver bool
	gap        time.Duration
	// recalledInVain counts the jobs that were ended in favour of another gateway although their callers
	// waited, and had not submitted them again.
	recalledInVain int
}

// process is an incarnation of a gateway. Two of one gateway are two owners of a job.
type process struct {
	gateway     *gateway
	incarnation identifier.Incarnation
}

// order is a run at an agent.
type order struct {
	agent *agent
	run   executor.RunID
}

// taskRun is a run of a task on a worker.
type taskRun struct {
	order
	owner process
	// startedAt and endedAt limit the run. endedAt is zero while it is active.
	startedAt, endedAt time.Time
}

// ordered records that a gateway has asked an agent for a run.
func (c *contest) ordered(g *gateway, a *agent, run executor.RunID) {
	if c.starters == nil {
		c.starters = make(map[order]process)
	}
	c.starters[order{a, run}] = process{g, g.incarnation}
}

// started records the start of a run.
func (c *contest) started(now time.Time, a *agent, run executor.RunID) {
	if c.runs == nil {
		c.runs = make(map[string][]*taskRun)
	}
	o, task := order{a, run}, taskOf(run)
	next := &taskRun{order: o, owner: c.starters[o], startedAt: now}
	for _, r := range c.runs[task] {
		if r.owner != next.owner && !r.endedAt.IsZero() {
			c.measure(r, next)
		}
	}
	c.runs[task] = append(c.runs[task], next)
}

// ended records the end of a run.
func (c *contest) ended(now time.Time, a *agent, run executor.RunID) {
	o, runs := order{a, run}, c.runs[taskOf(run)]
	for i, r := range runs {
		if r.order != o || !r.endedAt.IsZero() {
			continue
		}
		r.endedAt = now
		for _, next := range runs[i+1:] {
			if next.owner != r.owner {
				c.measure(r, next)
			}
		}
	}
}

// measure takes the time from the end of a run to the start of a later one into account.
func (c *contest) measure(r, next *taskRun) {
	gap := next.startedAt.Sub(r.endedAt)
	if !c.handedOver || gap < c.gap {
		c.handedOver, c.gap = true, gap
	}
}

// accepted records that a gateway was given a job, if it works on it now.
func (s *simulation) accepted(g *gateway, id specifier.JobID) {
	if g.coordinator.State(s.now, id) != coordinator.Running || !s.worksOn(g, id) {
		return
	}
	if s.contest.jobs == nil {
		s.contest.jobs = make(map[specifier.JobID]bool)
	}
	s.contest.jobs[id] = true
}

// worksOn reports whether a process other than the present one of g has a job open, or its runs of the job
// are active.
func (s *simulation) worksOn(g *gateway, id specifier.JobID) bool {
	for _, other := range s.gateways {
		if other != g && other.up && other.coordinator.State(s.now, id) == coordinator.Running {
			return true
		}
	}
	for _, a := range s.agents {
		for run := range a.worker.running {
			if a.worker.up && run.Job == id && s.contest.starters[order{a, run}] != (process{g, g.incarnation}) {
				return true
			}
		}
	}
	return false
}
