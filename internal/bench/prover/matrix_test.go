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
	strike func(w *world, owner, other *process)
	// lossy faults may leave a job without a whole answer; after any other one, a
	// resubmission gets it.
	lossy bool
}

// pause is how long a fault lasts that passes; it is beyond the lease.
const pause = 5 * time.Second

// passing makes a fault that ends after pause.
func passing(begin, end func(w *world, owner, other *process)) func(*world, *process, *process) {
	return func(w *world, owner, other *process) {
		begin(w, owner, other)
		w.processes.Go(func() {
			time.Sleep(pause)
			end(w, owner, other)
		})
	}
}

func cut(from, to func(w *world, owner, other *process) *gate, bothWays bool) func(*world, *process, *process) {
	set := func(lost bool) func(w *world, owner, other *process) {
		return func(w *world, owner, other *process) {
			a, b := from(w, owner, other), to(w, owner, other)
			w.net.drop(a, b, lost)
			if bothWays {
				w.net.drop(b, a, lost)
			}
		}
	}
	return passing(set(true), set(false))
}

func ownerGate(_ *world, owner, _ *process) *gate { return owner.gate }
func otherGate(_ *world, _, other *process) *gate { return other.gate }
func agentGate(w *world, _, _ *process) *gate     { return w.agent().gate }

var faults = []fault{
	{"none", func(*world, *process, *process) {}, false},
	{"owner killed", func(w *world, owner, _ *process) { w.kill(owner) }, false},
	{"other entry killed", func(w *world, _, other *process) { w.kill(other) }, false},
	{"agent killed", func(w *world, _, _ *process) { w.kill(w.agent()) }, true},
	{"agent restarted", func(w *world, _, _ *process) {
		w.kill(w.agent())
		w.replaceAgent()
	}, true},
	{"owner frozen", passing(
		func(_ *world, owner, _ *process) { owner.gate.freeze() },
		func(_ *world, owner, _ *process) { owner.gate.thaw() }), false},
	{"agent frozen", passing(
		func(w *world, _, _ *process) { w.agent().gate.freeze() },
		func(w *world, _, _ *process) { w.agent().gate.thaw() }), false},
	{"owner and agent cut", cut(ownerGate, agentGate, true), false},
	{"owner to agent lost", cut(ownerGate, agentGate, false), false},
	{"agent to owner lost", cut(agentGate, ownerGate, false), false},
	{"entries cut", cut(ownerGate, otherGate, true), false},
	{"other to owner lost", cut(otherGate, ownerGate, false), false},
	{"agent's connection silent", func(w *world, owner, _ *process) { w.net.silence(owner.gate, w.agent().gate) }, false},
	{"entries' connection silent", func(w *world, owner, other *process) { w.net.silence(owner.gate, other.gate) }, false},
	{"table down", passing(
		func(w *world, _, _ *process) { w.setTable(true, 0, 0) },
		func(w *world, _, _ *process) { w.setTable(false, 0, 0) }), false},
	{"table down for owner", passing(
		func(w *world, owner, _ *process) { w.setUnserved(owner.gate) },
		func(w *world, _, _ *process) { w.setUnserved(nil) }), false},
	{"table slow", passing(
		func(w *world, _, _ *process) { w.setTable(false, 800*time.Millisecond, 0) },
		func(w *world, _, _ *process) { w.setTable(false, 0, 0) }), false},
	{"table replies lost", func(w *world, _, _ *process) { w.setTable(false, 0, 3) }, false},
	{"backend fails all", func(w *world, _, _ *process) { w.failBackend() }, true},
	{"straggler", func(w *world, _, _ *process) { w.setStraggler() }, false},
	{"owner stopped", func(_ *world, owner, _ *process) { owner.stop() }, false},
	{"other entry stopped", func(_ *world, _, other *process) { other.stop() }, false},
	{"agent stopped", func(w *world, _, _ *process) { w.agent().stop() }, false},
}

// step is when a fault strikes, counted from the submission through the entry that
// does not own the job.
type step struct {
	name string
	at   time.Duration
	// during names a fault that has struck when the job was started; with it the
	// whole answer is not asked for.
	during string
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
	{name: "in takeover", at: started + 1200*time.Millisecond, during: "owner killed"},
	{name: "in entry's drain", at: started + 5*time.Millisecond, during: "owner stopped"},
	{name: "in agent's drain", at: started + 5*time.Millisecond, during: "agent stopped"},
}

// started is when the first round of tasks runs.
const started = 10 * time.Millisecond

// strikes returns the faults of a cell of the matrix.
func (s step) strikes(f fault) []strike {
	all := []strike{{f, s}}
	for _, base := range faults {
		if base.name == s.during {
			all = append(all, strike{base, step{name: "started", at: started}})
		}
	}
	return all
}

// scenario runs a job in a new world with some faults, each at its step, and
// resubmissions through both entries while the faults work and after.
func scenario(t *testing.T, strikes []strike) (verdict string, complete bool) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		owner, other := w.entries[0], w.entries[1]
		time.Sleep(300 * time.Millisecond)
		job := w.job(tasksPerJob, 0)
		begin := time.Now().Add(300 * time.Millisecond)
		for _, s := range strikes {
			w.processes.Go(func() {
				time.Sleep(time.Until(begin.Add(s.step.at)))
				s.fault.strike(w, owner, other)
			})
		}
		time.Sleep(time.Until(begin))
		w.submit(other, job)
		time.Sleep(30 * time.Millisecond)
		w.submit(owner, job)
		time.Sleep(2 * time.Second)
		w.submit(other, job)
		w.submit(owner, job)
		time.Sleep(30 * time.Second)
		last := []*answered{w.submit(other, job), w.submit(owner, job)}
		time.Sleep(25 * time.Second)
		for _, a := range last {
			complete = complete || (a.done() && a.answer.Complete)
		}
		verdict = w.close()
	})
	return verdict, complete
}

type strike struct {
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
			verdict, complete := scenario(t, s.strikes(f))
			if complete {
				whole++
			}
			fmt.Fprintf(&out, " %s |", cell(t, f.name+" at "+s.name, verdict, complete, f.lossy || s.during != ""))
		}
		t.Logf("%s: %d of %d answers are whole", f.name, whole, len(steps))
		out.WriteString("\n")
	}
	golden.Assert(t, out.String(), "matrix.md")
}

// cell says in a word how a scenario ended.
func cell(t *testing.T, name, verdict string, complete, lossy bool) string {
	switch {
	case verdict != "":
		t.Logf("%s: %s", name, verdict)
		return "BROKEN"
	case lossy:
		return "held"
	case !complete:
		t.Logf("%s: no whole answer", name)
		return "NOT WHOLE"
	}
	return "whole"
}

// gaps are the times between the two faults of a pair: together, in the second
// round of tasks, and in the takeover that the first may have led to.
var gaps = []time.Duration{0, 60 * time.Millisecond, 1200 * time.Millisecond}

// TestPairs strikes each two faults, the second some time after the first. The
// promises must hold; whole answers are counted only.
func TestPairs(t *testing.T) {
	for i, first := range faults {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			whole, total := 0, 0
			for _, second := range faults[i:] {
				for _, gap := range gaps {
					at := step{name: "started", at: started}
					later := step{name: "later", at: started + gap}
					verdict, complete := scenario(t, []strike{{first, at}, {second, later}})
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
