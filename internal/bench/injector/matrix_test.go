// Package injector tests entries and agents together by fault injection. It runs their
// real code in virtual time, with fakes for the network, the table service and the
// backend servers, and injects a fault at each step of a job, alone and in pairs. The
// checks compare the answers to callers with what the backend servers started.
package injector

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// tasksPerJob exceeds the 24 slots of the cell, so that a job needs two rounds of tasks.
const tasksPerJob = 40

// fault is a failure or a shutdown that can be injected into a cell.
type fault struct {
	name string
	// inject causes the fault. owner is the entry that owns the job, other the entry
	// that does not.
	inject func(c *cell, owner, other *process)
	// mayLoseResults means that the job may end without a complete answer. After any
	// other fault, a resubmission must get a complete answer.
	mayLoseResults bool
}

// faultDuration is how long a temporary fault lasts. It exceeds the lease.
const faultDuration = 5 * time.Second

// temporary returns the inject function of a fault that is repaired after faultDuration.
func temporary(inject, repair func(c *cell, owner, other *process)) func(*cell, *process, *process) {
	return func(c *cell, owner, other *process) {
		inject(c, owner, other)
		c.processes.Go(func() {
			time.Sleep(faultDuration)
			repair(c, owner, other)
		})
	}
}

// cutLink returns the inject function of a fault that drops the messages from one process
// to another, and those in the other direction if bothWays is set.
func cutLink(from, to func(c *cell, owner, other *process) *gate, bothWays bool) func(*cell, *process, *process) {
	set := func(dropped bool) func(c *cell, owner, other *process) {
		return func(c *cell, owner, other *process) {
			a, b := from(c, owner, other), to(c, owner, other)
			c.net.setDropped(a, b, dropped)
			if bothWays {
				c.net.setDropped(b, a, dropped)
			}
		}
	}
	return temporary(set(true), set(false))
}

func ownerGate(_ *cell, owner, _ *process) *gate { return owner.gate }
func otherGate(_ *cell, _, other *process) *gate { return other.gate }
func agentGate(c *cell, _, _ *process) *gate     { return c.firstAgent().gate }

// faults are the rows of the matrix.
var faults = []fault{
	{"none", func(*cell, *process, *process) {}, false},
	{"owner killed", func(c *cell, owner, _ *process) { c.kill(owner) }, false},
	{"other entry killed", func(c *cell, _, other *process) { c.kill(other) }, false},
	{"agent killed", func(c *cell, _, _ *process) { c.kill(c.firstAgent()) }, true},
	{"agent restarted", func(c *cell, _, _ *process) {
		c.kill(c.firstAgent())
		c.replaceAgent()
	}, true},
	{"owner frozen", temporary(
		func(_ *cell, owner, _ *process) { owner.gate.freeze() },
		func(_ *cell, owner, _ *process) { owner.gate.resume() }), false},
	{"agent frozen", temporary(
		func(c *cell, _, _ *process) { c.firstAgent().gate.freeze() },
		func(c *cell, _, _ *process) { c.firstAgent().gate.resume() }), false},
	{"owner and agent cut", cutLink(ownerGate, agentGate, true), false},
	{"owner to agent lost", cutLink(ownerGate, agentGate, false), false},
	{"agent to owner lost", cutLink(agentGate, ownerGate, false), false},
	{"entries cut", cutLink(ownerGate, otherGate, true), false},
	{"other to owner lost", cutLink(otherGate, ownerGate, false), false},
	{"agent's connection silent", func(c *cell, owner, _ *process) { c.net.blackhole(owner.gate, c.firstAgent().gate) }, false},
	{"entries' connection silent", func(c *cell, owner, other *process) { c.net.blackhole(owner.gate, other.gate) }, false},
	{"table down", temporary(
		func(c *cell, _, _ *process) { c.setTable(true, 0, 0) },
		func(c *cell, _, _ *process) { c.setTable(false, 0, 0) }), false},
	{"table down for owner", temporary(
		func(c *cell, owner, _ *process) { c.setTableDownFor(owner.gate) },
		func(c *cell, _, _ *process) { c.setTableDownFor(nil) }), false},
	{"table slow", temporary(
		func(c *cell, _, _ *process) { c.setTable(false, 800*time.Millisecond, 0) },
		func(c *cell, _, _ *process) { c.setTable(false, 0, 0) }), false},
	{"table replies lost", func(c *cell, _, _ *process) { c.setTable(false, 0, 3) }, false},
	{"backend fails all", func(c *cell, _, _ *process) { c.failBackend() }, true},
	{"straggler", func(c *cell, _, _ *process) { c.setStraggler() }, false},
	{"owner stopped", func(_ *cell, owner, _ *process) { owner.stop() }, false},
	{"other entry stopped", func(_ *cell, _, other *process) { other.stop() }, false},
	{"agent stopped", func(c *cell, _, _ *process) { c.firstAgent().stop() }, false},
}

// step is a time at which a fault is injected.
type step struct {
	name string
	// at is relative to the submission through the entry that does not own the job.
	at time.Duration
	// priorFault names a fault that is injected earlier, while the first round of tasks
	// is running, or is empty. With it, a complete answer is not required.
	priorFault string
}

// steps are the columns of the matrix. As a message takes 1 ms and a task 50 ms, each step
// of a job happens at a known time.
var steps = []step{
	{name: "before", at: -300 * time.Millisecond},
	{name: "passed on", at: 500 * time.Microsecond},
	{name: "admitted", at: 1200 * time.Microsecond},
	{name: "start sent", at: 1700 * time.Microsecond},
	{name: "started", at: started},
	{name: "result sent", at: 52500 * time.Microsecond},
	{name: "second round", at: 70 * time.Millisecond},
	{name: "last result", at: 104500 * time.Microsecond},
	{name: "answer sent", at: 105500 * time.Microsecond},
	{name: "answered", at: 200 * time.Millisecond},
	{name: "in takeover", at: started + 1200*time.Millisecond, priorFault: "owner killed"},
	{name: "in entry's drain", at: started + 5*time.Millisecond, priorFault: "owner stopped"},
	{name: "in agent's drain", at: started + 5*time.Millisecond, priorFault: "agent stopped"},
}

// started is a time after the submission at which the first round of tasks is running.
const started = 10 * time.Millisecond

// injections returns the faults that are injected for one cell of the matrix.
func (s step) injections(f fault) []injection {
	all := []injection{{f, s}}
	for _, prior := range faults {
		if prior.name == s.priorFault {
			all = append(all, injection{prior, step{name: "started", at: started}})
		}
	}
	return all
}

// runScenario runs a job in a new cell and injects each fault at its step. The job is
// resubmitted through both entries during the faults and afterwards. runScenario returns
// the violations, and whether one of the last resubmissions got a complete answer.
func runScenario(t *testing.T, injections []injection) (violations string, complete bool) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		owner, other := c.entries[0], c.entries[1]
		time.Sleep(300 * time.Millisecond)
		job := c.newJob(tasksPerJob, 0)
		submitAt := time.Now().Add(300 * time.Millisecond)
		for _, i := range injections {
			c.processes.Go(func() {
				time.Sleep(time.Until(submitAt.Add(i.step.at)))
				i.fault.inject(c, owner, other)
			})
		}
		time.Sleep(time.Until(submitAt))
		c.submit(other, job)
		time.Sleep(30 * time.Millisecond)
		c.submit(owner, job)
		time.Sleep(2 * time.Second)
		c.submit(other, job)
		c.submit(owner, job)
		time.Sleep(30 * time.Second)
		lastRequests := []*request{c.submit(other, job), c.submit(owner, job)}
		time.Sleep(25 * time.Second)
		for _, r := range lastRequests {
			complete = complete || (r.isAnswered() && r.answer.Complete)
		}
		violations = c.close()
	})
	return violations, complete
}

// injection is a fault and the step at which it is injected.
type injection struct {
	fault fault
	step  step
}

// TestMatrix injects each fault at each step of a job. A cell of the golden table is
// "whole" if no check failed and a last resubmission got a complete answer, and "held" if
// no check failed and a complete answer is not required.
func TestMatrix(t *testing.T) {
	var out strings.Builder
	out.WriteString("| fault |")
	for _, s := range steps {
		fmt.Fprintf(&out, " %s |", s.name)
	}
	out.WriteString("\n|---|" + strings.Repeat("---|", len(steps)) + "\n")
	for _, f := range faults {
		fmt.Fprintf(&out, "| %s |", f.name)
		completed := 0
		for _, s := range steps {
			violations, complete := runScenario(t, s.injections(f))
			if complete {
				completed++
			}
			fmt.Fprintf(&out, " %s |", matrixCell(t, f.name+" at "+s.name, violations, complete, f.mayLoseResults || s.priorFault != ""))
		}
		t.Logf("%s: %d of %d answers are complete", f.name, completed, len(steps))
		out.WriteString("\n")
	}
	golden.Assert(t, out.String(), "matrix.md")
}

// matrixCell returns the text of a cell of the matrix and logs what failed.
func matrixCell(t *testing.T, name, violations string, complete, mayLoseResults bool) string {
	switch {
	case violations != "":
		t.Logf("%s: %s", name, violations)
		return "BROKEN"
	case mayLoseResults:
		return "held"
	case !complete:
		t.Logf("%s: no complete answer", name)
		return "NOT WHOLE"
	}
	return "whole"
}

// pairGaps are the delays between the two faults of a pair. With them, the second fault
// comes together with the first, in the second round of tasks, or in the takeover that the
// first may cause.
var pairGaps = []time.Duration{0, 60 * time.Millisecond, 1200 * time.Millisecond}

// TestPairs injects each pair of faults, the second one after each of pairGaps. The checks
// must hold; complete answers are only counted.
func TestPairs(t *testing.T) {
	for i, first := range faults {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			completed, total := 0, 0
			for _, second := range faults[i:] {
				for _, gap := range pairGaps {
					at := step{name: "started", at: started}
					later := step{name: "later", at: started + gap}
					violations, complete := runScenario(t, []injection{{first, at}, {second, later}})
					total++
					if complete {
						completed++
					}
					assert.Check(t, violations == "", "%s, and %s later %s: %s", first.name, gap, second.name, violations)
				}
			}
			t.Logf("%d of %d answers are complete", completed, total)
		})
	}
}

// TestProofShowsMatrix checks that docs/PROOF.md contains the golden table.
func TestProofShowsMatrix(t *testing.T) {
	page, err := os.ReadFile("../../../docs/PROOF.md")
	assert.NilError(t, err)
	table := golden.Get(t, "matrix.md")
	assert.Assert(t, strings.Contains(string(page), string(table)), "copy testdata/matrix.md into docs/PROOF.md")
}
