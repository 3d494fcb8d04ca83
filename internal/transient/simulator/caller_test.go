package simulator

import (
	"fmt"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/transient/coordinator"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// caller submits one job to a random gateway. It submits the job again when the connection
// breaks or the answer is Unfinished.
type caller struct {
	sim         *simulation
	job         specifier.Job
	submissions int
	done        bool
	// notRun is the number of submissions that were answered NotRun.
	notRun int
	state  coordinator.State
	// sentAt is when each submission was sent, and closedAt when the close of its connection arrived
	// at the gateway's machine, if it did.
	sentAt, closedAt []time.Time
	// timeout is when the caller closes its connection, or zero for the budget of the job.
	timeout time.Duration
	// gateway is the one that gets the first submission, or nil for a random one.
	gateway *gateway
	// class, sent, objective and owed describe a job of a load pattern. A job that is not owed
	// an answer is left out of the tally.
	class      string
	sent       time.Time
	objective  time.Duration
	owed       bool
	answeredAt time.Time
}

// submission is one request to run a job, on a connection of its own. It belongs to one
// generation of the gateway.
type submission struct {
	caller     *caller
	gateway    *gateway
	generation int
	ended      bool
	// closed is set once the close of the connection has arrived at the gateway's machine.
	closed bool
	// number is the index among the submissions of the caller.
	number int
	// path is what the network does to the connection. inTransit holds what the caller has sent and
	// has not arrived, and nextArrival is when the next of it may arrive.
	path        path
	inTransit   []func()
	nextArrival time.Time
}

// submit adds a caller, who submits job number n at once.
func (s *simulation) submit(n, tasks int, budget, timeout time.Duration, spec string) {
	c := &caller{sim: s, timeout: timeout, job: specifier.Job{
		ID:     specifier.JobID(fmt.Sprintf("job%03d", n)),
		Queue:  specifier.Queue{Name: "q", Service: "counter", MaxAttempts: 9, Stretch: 1.6, BaseObjective: 60 * time.Millisecond},
		Spec:   spec,
		Tasks:  tasks,
		Demand: specifier.Resources{CPU: 1000},
		Budget: budget,
	}}
	s.callers = append(s.callers, c)
	c.send()
}

// maxSubmissions is the number of submissions after which a caller gives up.
const maxSubmissions = 6

// send submits the job, unless it is answered or was submitted maxSubmissions times.
func (c *caller) send() {
	if c.done || c.submissions >= maxSubmissions {
		c.done = true
		return
	}
	c.submissions++
	c.sentAt, c.closedAt = append(c.sentAt, c.sim.now), append(c.closedAt, time.Time{})
	g := c.gateway
	if g == nil || c.submissions > 1 {
		g = c.sim.gateways[c.sim.random.IntN(len(c.sim.gateways))]
	}
	sub := &submission{caller: c, gateway: g, generation: g.generation, number: len(c.sentAt) - 1}
	if !g.up || g.isolated {
		sub.unanswered()
		return
	}
	sub.path = c.sim.drawPath()
	c.sim.logf("caller sends %s to %s%s", c.job.ID, g.name, sub.path)
	sub.sendToGateway(time.Millisecond+sub.path.requestDelay, func() {
		g.deliver(sub.generation, sub, func() { g.accept(sub) })
	})
	wait := c.job.Budget + 5*time.Millisecond
	if c.timeout > 0 {
		wait = c.timeout
	}
	c.sim.after(wait, func() { sub.disconnect() })
}

// disconnect closes the connection from the caller's side.
func (sub *submission) disconnect() {
	if sub.ended {
		return
	}
	if sub.gateway.generation == sub.generation && !sub.path.cut {
		sub.sendToGateway(time.Millisecond+sub.path.closeDelay, func() {
			sub.closed = true
			sub.caller.closedAt[sub.number] = sub.caller.sim.now
			sub.gateway.deliver(sub.generation, sub, func() { sub.gateway.callerLeft(sub) })
		})
	}
	sub.unanswered()
}

// unanswered ends a submission without an answer. The caller submits the job again later.
func (sub *submission) unanswered() {
	if sub.ended {
		return
	}
	sub.ended = true
	sub.caller.sim.logf("caller of %s has no answer", sub.caller.job.ID)
	sub.caller.sim.after(sub.caller.sim.resubmitAfter(), sub.caller.send)
}

// answered delivers an answer to the caller. After Unfinished it submits the job again.
func (sub *submission) answered(a coordinator.Answer) {
	if sub.path.cut {
		return
	}
	sub.caller.sim.after(time.Millisecond, func() {
		if sub.ended {
			return
		}
		switch a.State {
		case coordinator.Unfinished:
			sub.unanswered()
			return
		case coordinator.NotRun:
			sub.caller.notRun++
			sub.caller.sim.notRun++
		case coordinator.Completed:
			sub.caller.sim.completed++
		}
		sub.ended, sub.caller.done, sub.caller.state = true, true, a.State
		sub.caller.answeredAt = sub.caller.sim.now
	})
}

// checkSingleRun checks the invariant that a task never has two runs at the same time, on
// the same worker or on different ones.
func (s *simulation) checkSingleRun(at *worker, run executor.RunID) {
	for _, a := range s.agents {
		for other := range a.worker.running {
			if a.worker.up && (a.worker != at || other != run) && taskOf(other) == taskOf(run) {
				s.violate("task %s runs as %s at %s and as %s at %s", taskOf(run), other, a.worker.id, run, at.id)
			}
		}
	}
}

// checkOverrun checks the invariant that a run is over maxOverrun after the close of the connection
// for which it was started has arrived at the gateway's machine. The number of a run is at least the
// time of its start.
func (s *simulation) checkOverrun(at *worker, run executor.RunID) {
	started := time.UnixMicro(int64(run.Number))
	for _, c := range s.callers {
		if c.job.ID != run.Job {
			continue
		}
		n := len(c.sentAt) - 1
		for n > 0 && c.sentAt[n].After(started) {
			n--
		}
		if closed := c.closedAt[n]; !closed.IsZero() {
			s.longestOverrun = max(s.longestOverrun, s.now.Sub(closed))
			if s.exactLeases && s.now.Sub(closed) > maxOverrun {
				s.violate("run %s at %s ends %s after its caller has left", run, at.id, s.now.Sub(closed))
			}
		}
	}
}

// maxOverrun is how long a run may go on after the close of its caller's connection has arrived: 100 ms
// until callers are checked, 600 ms for which a worker may leave the order to stop it unanswered, the
// lease and its margin.
const maxOverrun = 100*time.Millisecond + 600*time.Millisecond + executor.LeaseDuration + executor.ExpiryMargin

// checkNotRun checks the invariant that no task of a job has run whose submissions were
// all answered NotRun.
func (s *simulation) checkNotRun() {
	for _, c := range s.callers {
		if c.notRun == 0 || c.notRun < c.submissions {
			continue
		}
		for _, line := range s.log {
			if isStartOf(line, c.job.ID) {
				s.violate("job %s was answered not_run at every submission, but a task of it ran", c.job.ID)
			}
		}
	}
}

// checkFailed checks the invariant that a job is answered as failed only if a task of it was at two
// workers that crashed: it was running, or its agent had not acknowledged its end. No task of a
// history fails by itself.
func (s *simulation) checkFailed() {
	for _, c := range s.callers {
		if c.state != coordinator.Failed {
			continue
		}
		most := 0
		for i := range c.job.Tasks {
			most = max(most, s.lostWithWorker[fmt.Sprintf("%s#%d", c.job.ID, i)])
		}
		if most < 2 {
			s.violate("job %s was answered failed, but no task of it was at two workers that crashed", c.job.ID)
		}
	}
}

// isStartOf reports whether a log line shows that a worker started a task of a job.
func isStartOf(line string, job specifier.JobID) bool {
	var at, id, verb, run string
	n, _ := fmt.Sscanf(line, "%s worker %s %s %s", &at, &id, &verb, &run)
	return n == 4 && verb == "starts" && len(run) > len(job) && run[:len(job)] == string(job)
}
