// Package prover holds the fault matrix: the real code of entries and agents in
// virtual time, with a fault at each step of a job's life, alone and in pairs. The
// oracles are what the backend servers started and what callers were told.
package prover

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

// tasksPerJob fills the 24 slots almost twice.
const tasksPerJob = 40

// fault is something that happens to the world, with the entry that owns the job
// and the one that does not.
type fault struct {
	name   string
	inject func(c *cell, owner, other *process)
	// lossy faults may leave a job without a whole answer; after any other one, a
	// resubmission gets it.
	mayLoseResults bool
}

// pause is how long a fault lasts that passes; it is beyond the lease.
const faultDuration = 5 * time.Second

// passing makes a fault that ends after pause.
func temporary(begin, end func(c *cell, owner, other *process)) func(*cell, *process, *process) {
	return func(c *cell, owner, other *process) {
		begin(c, owner, other)
		c.processes.Go(func() {
			time.Sleep(faultDuration)
			end(c, owner, other)
		})
	}
}

func cutLink(from, to func(c *cell, owner, other *process) *gate, bothWays bool) func(*cell, *process, *process) {
	set := func(lost bool) func(c *cell, owner, other *process) {
		return func(c *cell, owner, other *process) {
			a, b := from(c, owner, other), to(c, owner, other)
			c.net.setDropped(a, b, lost)
			if bothWays {
				c.net.setDropped(b, a, lost)
			}
		}
	}
	return temporary(set(true), set(false))
}

func ownerGate(_ *cell, owner, _ *process) *gate { return owner.gate }
func otherGate(_ *cell, _, other *process) *gate { return other.gate }
func agentGate(c *cell, _, _ *process) *gate     { return c.agent().gate }

var faults = []fault{
	{"none", func(*cell, *process, *process) {}, false},
	{"owner killed", func(c *cell, owner, _ *process) { c.kill(owner) }, false},
	{"other entry killed", func(c *cell, _, other *process) { c.kill(other) }, false},
	{"agent killed", func(c *cell, _, _ *process) { c.kill(c.agent()) }, true},
	{"agent restarted", func(c *cell, _, _ *process) {
		c.kill(c.agent())
		c.replaceAgent()
	}, true},
	{"owner frozen", temporary(
		func(_ *cell, owner, _ *process) { owner.gate.freeze() },
		func(_ *cell, owner, _ *process) { owner.gate.resume() }), false},
	{"agent frozen", temporary(
		func(c *cell, _, _ *process) { c.agent().gate.freeze() },
		func(c *cell, _, _ *process) { c.agent().gate.resume() }), false},
	{"owner and agent cut", cutLink(ownerGate, agentGate, true), false},
	{"owner to agent lost", cutLink(ownerGate, agentGate, false), false},
	{"agent to owner lost", cutLink(agentGate, ownerGate, false), false},
	{"entries cut", cutLink(ownerGate, otherGate, true), false},
	{"other to owner lost", cutLink(otherGate, ownerGate, false), false},
	{"agent's connection silent", func(c *cell, owner, _ *process) { c.net.blackhole(owner.gate, c.agent().gate) }, false},
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
	{"agent stopped", func(c *cell, _, _ *process) { c.agent().stop() }, false},
}

// step is when a fault strikes, counted from the submission through the entry that
// does not own the job.
type step struct {
	name string
	at   time.Duration
	// during names a fault that has struck when the job was started; with it the
	// whole answer is not asked for.
	priorFault string
}

// A message takes 1 ms and a task 50 ms, so that the steps are known times.
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

// started is when the first round of tasks runs.
const started = 10 * time.Millisecond

// strikes returns the faults of a cell of the matrix.
func (s step) injections(f fault) []injection {
	all := []injection{{f, s}}
	for _, base := range faults {
		if base.name == s.priorFault {
			all = append(all, injection{base, step{name: "started", at: started}})
		}
	}
	return all
}

// scenario runs a job in a new world with some faults, each at its step, and
// resubmissions through both entries while the faults work and after.
func runScenario(t *testing.T, injections []injection) (verdict string, complete bool) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		owner, other := c.entries[0], c.entries[1]
		time.Sleep(300 * time.Millisecond)
		job := c.newJob(tasksPerJob, 0)
		begin := time.Now().Add(300 * time.Millisecond)
		for _, s := range injections {
			c.processes.Go(func() {
				time.Sleep(time.Until(begin.Add(s.step.at)))
				s.fault.inject(c, owner, other)
			})
		}
		time.Sleep(time.Until(begin))
		c.submit(other, job)
		time.Sleep(30 * time.Millisecond)
		c.submit(owner, job)
		time.Sleep(2 * time.Second)
		c.submit(other, job)
		c.submit(owner, job)
		time.Sleep(30 * time.Second)
		last := []*request{c.submit(other, job), c.submit(owner, job)}
		time.Sleep(25 * time.Second)
		for _, a := range last {
			complete = complete || (a.done() && a.answer.Complete)
		}
		verdict = c.close()
	})
	return verdict, complete
}

type injection struct {
	fault fault
	step  step
}

// TestMatrix strikes each fault at each step. A cell of the golden table says
// whether every promise held, and whether the last resubmission got the whole answer
// where the fault must leave it.
func TestMatrix(t *testing.T) {
	var out strings.Builder
	out.WriteString("| fault |")
	for _, s := range steps {
		fmt.Fprintf(&out, " %s |", s.name)
	}
	out.WriteString("\n|---|" + strings.Repeat("---|", len(steps)) + "\n")
	for _, f := range faults {
		fmt.Fprintf(&out, "| %s |", f.name)
		whole := 0
		for _, s := range steps {
			verdict, complete := runScenario(t, s.injections(f))
			if complete {
				whole++
			}
			fmt.Fprintf(&out, " %s |", matrixCell(t, f.name+" at "+s.name, verdict, complete, f.mayLoseResults || s.priorFault != ""))
		}
		t.Logf("%s: %d of %d answers are whole", f.name, whole, len(steps))
		out.WriteString("\n")
	}
	golden.Assert(t, out.String(), "matrix.md")
}

// cell says in a word how a scenario ended.
func matrixCell(t *testing.T, name, verdict string, complete, mayLoseResults bool) string {
	switch {
	case verdict != "":
		t.Logf("%s: %s", name, verdict)
		return "BROKEN"
	case mayLoseResults:
		return "held"
	case !complete:
		t.Logf("%s: no whole answer", name)
		return "NOT WHOLE"
	}
	return "whole"
}

// gaps are the times between the two faults of a pair: together, in the second
// round of tasks, and in the takeover that the first may have led to.
var pairGaps = []time.Duration{0, 60 * time.Millisecond, 1200 * time.Millisecond}

// TestPairs strikes each two faults, the second some time after the first. The
// promises must hold; whole answers are counted only.
func TestPairs(t *testing.T) {
	for i, first := range faults {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			whole, total := 0, 0
			for _, second := range faults[i:] {
				for _, gap := range pairGaps {
					at := step{name: "started", at: started}
					later := step{name: "later", at: started + gap}
					verdict, complete := runScenario(t, []injection{{first, at}, {second, later}})
					total++
					if complete {
						whole++
					}
					assert.Check(t, verdict == "", "%s, then after %s %s: %s", first.name, gap, second.name, verdict)
				}
			}
			t.Logf("%d of %d answers are whole", whole, total)
		})
	}
}

// TestProofShowsMatrix holds the page of proofs against the golden table.
func TestProofShowsMatrix(t *testing.T) {
	page, err := os.ReadFile("../../../docs/PROOF.md")
	assert.NilError(t, err)
	table := golden.Get(t, "matrix.md")
	assert.Assert(t, strings.Contains(string(page), string(table)), "copy testdata/matrix.md into docs/PROOF.md")
}
