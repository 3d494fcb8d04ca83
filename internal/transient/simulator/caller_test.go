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
	w     *world
	job   specifier.Job
	tries int
	done  bool
	// refused counts the tries that were told that the job was not run.
	refused int
	state   coordinator.State
}

// try is one connection of a caller.
type try struct {
	c    *caller
	g    *gateway
	life int
	over bool
}

func (w *world) submit(n, tasks int, budget time.Duration) {
	c := &caller{w: w, job: specifier.Job{
		ID:     specifier.JobID(fmt.Sprintf("job%03d", n)),
		Queue:  specifier.Queue{Name: "q", Service: "counter", MaxAttempts: 9, Stretch: 1.6, BaseObjective: 60 * time.Millisecond},
		Tasks:  tasks,
		Demand: specifier.Resources{CPU: 1000},
		Budget: budget,
	}}
	w.callers = append(w.callers, c)
	c.send()
}

const maxTries = 6

func (c *caller) send() {
	if c.done || c.tries >= maxTries {
		c.done = true
		return
	}
	c.tries++
	g := c.w.gateways[c.w.random.IntN(len(c.w.gateways))]
	t := &try{c: c, g: g, life: g.life}
	if !g.up || g.cut {
		t.broken()
		return
	}
	c.w.note("caller sends %s to %s", c.job.ID, g.name)
	g.later(time.Millisecond, t, func() {
		if before := g.callers[c.job.ID]; before != nil {
			before.answered(coordinator.Answer{State: coordinator.Unfinished})
		}
		g.callers[c.job.ID] = t
		g.perform(g.c.Submit(g.w.now, c.job))
	})
	// The caller waits as long as it said.
	c.w.after(c.job.Budget+5*time.Millisecond, func() { t.leave() })
}

// leave closes the connection from the caller's side.
func (t *try) leave() {
	if t.over {
		return
	}
	if t.g.life == t.life {
		t.g.later(time.Millisecond, t, func() {
			if t.g.callers[t.c.job.ID] == t {
				delete(t.g.callers, t.c.job.ID)
				t.g.perform(t.g.c.CallerLeft(t.g.w.now, t.c.job.ID))
			}
		})
	}
	t.broken()
}

// broken notes at the caller that there will be no answer.
func (t *try) broken() {
	if t.over {
		return
	}
	t.over = true
	t.c.w.note("caller of %s has no answer", t.c.job.ID)
	t.c.w.after(resendPause, t.c.send)
}

func (t *try) answered(a coordinator.Answer) {
	t.c.w.after(time.Millisecond, func() {
		if t.over {
			return
		}
		switch a.State {
		case coordinator.Unfinished:
			t.broken()
			return
		case coordinator.NotRun:
			t.c.refused++
			t.c.w.notRun++
		case coordinator.Completed:
			t.c.w.completed++
		}
		t.over, t.c.done, t.c.state = true, true, a.State
	})
}

// checkTwice holds the promise: no task runs on two workers, or twice on one, at the
// same time.
func (w *world) checkTwice(at *worker, run executor.RunID) {
	for _, a := range w.agents {
		for other := range a.worker.running {
			if a.worker.up && other != run && taskOf(other) == taskOf(run) {
				w.breaks("task %s runs as %s at %s and as %s at %s", taskOf(run), other, a.worker.id, run, at.id)
			}
		}
	}
}

// checkRefused holds the promise: what was refused at every try has not run.
func (w *world) checkRefused() {
	for _, c := range w.callers {
		if c.refused == 0 || c.refused < c.tries {
			continue
		}
		for _, line := range w.log {
			if containsStart(line, c.job.ID) {
				w.breaks("job %s was refused and a task of it ran", c.job.ID)
			}
		}
	}
}

func containsStart(line string, job specifier.JobID) bool {
	var at, id, verb, run string
	n, _ := fmt.Sscanf(line, "%s worker %s %s %s", &at, &id, &verb, &run)
	return n == 4 && verb == "starts" && len(run) > len(job) && run[:len(job)] == string(job)
}
