package simulator

import (
	"fmt"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/coordinator"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// caller submits one job, and submits it again, to any gateway, when a connection breaks
// or the answer says that the job did not end.
type caller struct {
	sim     *simulation
	job   specifier.Job
	attempts int
	done  bool
	// notRun counts the tries that were told that the job was not run.
	notRun int
	state   coordinator.State
}

// attempt is one connection of a caller.
type attempt struct {
	caller    *caller
	gateway    *gateway
	boots int
	ended bool
}

func (w *simulation) submit(n, tasks int, budget time.Duration) {
	c := &caller{sim: w, job: specifier.Job{
		ID:     specifier.JobID(fmt.Sprintf("job%03d", n)),
		Queue:  specifier.Queue{Name: "q", Service: "counter", MaxAttempts: 9, Stretch: 1.6, BaseObjective: 60 * time.Millisecond},
		Tasks:  tasks,
		Demand: specifier.Resources{CPU: 1000},
		Budget: budget,
	}}
	w.callers = append(w.callers, c)
	c.send()
}

const maxAttempts = 6

func (c *caller) send() {
	if c.done || c.attempts >= maxAttempts {
		c.done = true
		return
	}
	c.attempts++
	g := c.sim.gateways[c.sim.random.IntN(len(c.sim.gateways))]
	t := &attempt{caller: c, gateway: g, boots: g.boots}
	if !g.up || g.isolated {
		t.unanswered()
		return
	}
	c.sim.logf("caller sends %s to %s", c.job.ID, g.name)
	g.schedule(time.Millisecond, t, func() {
		if before := g.callers[c.job.ID]; before != nil {
			before.answered(coordinator.Answer{State: coordinator.Unfinished})
		}
		g.callers[c.job.ID] = t
		g.perform(g.coordinator.Submit(g.sim.now, c.job))
	})
	// The caller waits as long as it said.
	c.sim.after(c.job.Budget+5*time.Millisecond, func() { t.disconnect() })
}

// disconnect closes the connection from the caller's side.
func (t *attempt) disconnect() {
	if t.ended {
		return
	}
	if t.gateway.boots == t.boots {
		t.gateway.schedule(time.Millisecond, t, func() {
			if t.gateway.callers[t.caller.job.ID] == t {
				delete(t.gateway.callers, t.caller.job.ID)
				t.gateway.perform(t.gateway.coordinator.CallerLeft(t.gateway.sim.now, t.caller.job.ID))
			}
		})
	}
	t.unanswered()
}

// unanswered notes at the caller that there will be no answer.
func (t *attempt) unanswered() {
	if t.ended {
		return
	}
	t.ended = true
	t.caller.sim.logf("caller of %s has no answer", t.caller.job.ID)
	t.caller.sim.after(resubmitDelay, t.caller.send)
}

func (t *attempt) answered(a coordinator.Answer) {
	t.caller.sim.after(time.Millisecond, func() {
		if t.ended {
			return
		}
		switch a.State {
		case coordinator.Unfinished:
			t.unanswered()
			return
		case coordinator.NotRun:
			t.caller.notRun++
			t.caller.sim.notRun++
		case coordinator.Completed:
			t.caller.sim.completed++
		}
		t.ended, t.caller.done, t.caller.state = true, true, a.State
	})
}

// checkSingleRun holds the promise: no task runs on two workers, or twice on one, at the
// same time.
func (w *simulation) checkSingleRun(at *worker, run executor.RunID) {
	for _, a := range w.agents {
		for other := range a.worker.running {
			if a.worker.up && other != run && taskOf(other) == taskOf(run) {
				w.violate("task %s runs as %s at %s and as %s at %s", taskOf(run), other, a.worker.id, run, at.id)
			}
		}
	}
}

// checkNotRun holds the promise: what was refused at every try has not run.
func (w *simulation) checkNotRun() {
	for _, c := range w.callers {
		if c.notRun == 0 || c.notRun < c.attempts {
			continue
		}
		for _, line := range w.log {
			if isStartOf(line, c.job.ID) {
				w.violate("job %s was refused and a task of it ran", c.job.ID)
			}
		}
	}
}

func isStartOf(line string, job specifier.JobID) bool {
	var at, id, verb, run string
	n, _ := fmt.Sscanf(line, "%s worker %s %s %s", &at, &id, &verb, &run)
	return n == 4 && verb == "starts" && len(run) > len(job) && run[:len(job)] == string(job)
}
