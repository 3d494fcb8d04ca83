package simulator

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	firstSeed = flag.Uint64("seed", 1, "the first seed of TestHistories")
	histories = flag.Int("histories", 300, "how many seeds TestHistories plays")
)

// historyLength is the virtual time of a history in which faults come.
const historyLength = 20 * time.Second

// TestHistories plays random histories: jobs come while gateways, agents, workers and
// links fail, alone and together. A broken promise names its seed. Run it with -seed N
// -histories 1 -v for the steps.
func TestHistories(t *testing.T) {
	starts, completed, refused := 0, 0, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*histories); seed++ {
		w := simulateHistory(seed)
		starts += w.starts
		completed += w.completed
		refused += w.notRun
		if len(w.violations) > 0 {
			t.Errorf("seed %d: %s", seed, w.violations[0])
			if *histories == 1 {
				for _, line := range w.log {
					t.Log(line)
				}
			}
		}
	}
	t.Logf("%d histories: %d starts, %d jobs completed, %d refused", *histories, starts, completed, refused)
	assert.Assert(t, completed > *histories, "the histories complete too few jobs to show anything")
}

func simulateHistory(seed uint64) *simulation {
	w := newWorld(seed, 2, 3)
	w.run(200 * time.Millisecond)
	n := 0
	for at := time.Duration(0); at < historyLength; at += time.Duration(50+w.random.IntN(400)) * time.Millisecond {
		w.after(at, func() {
			n++
			w.submit(n, 1+w.random.IntN(4), time.Duration(500+w.random.IntN(2500))*time.Millisecond)
		})
	}
	for at := time.Duration(0); at < historyLength; at += time.Duration(w.random.IntN(2500)) * time.Millisecond {
		w.after(at, w.injectFault)
	}
	w.run(historyLength + 15*time.Second)
	w.checkNotRun()
	return w
}

// injectFault strikes once.
func (w *simulation) injectFault() {
	g := w.gateways[w.random.IntN(len(w.gateways))]
	a := w.agents[w.random.IntN(len(w.agents))]
	d := time.Duration(w.random.IntN(4000)) * time.Millisecond
	switch w.random.IntN(13) {
	case 0:
		g.kill(false, 100*time.Millisecond+d/4)
	case 1:
		g.kill(true, 100*time.Millisecond+d/4)
	case 2:
		a.kill(w.random.IntN(2) == 0, 100*time.Millisecond+d/4)
	case 3:
		w.logf("fault %s freezes for %s", g.name, d)
		g.freeze(d)
	case 4:
		w.logf("fault %s freezes for %s", a.name, d)
		a.freeze(d)
	case 5:
		w.logf("fault %s cut off for %s", g.name, d)
		w.isolate(&g.host, d)
	case 6:
		w.logf("fault %s cut off for %s", a.name, d)
		w.isolate(&a.host, d)
	case 7:
		a.worker.crash(w.random.IntN(2) == 0, 50*time.Millisecond+d/2)
	case 8:
		w.logf("fault worker %s loses orders for %s", a.worker.id, d)
		a.worker.lossRate = 0.3
		w.after(d, func() { a.worker.lossRate = 0 })
	case 9:
		w.logf("fault link of %s and %s reset", a.name, g.name)
		if l := a.links[g]; l != nil {
			l.reset()
		}
	case 10:
		w.logf("fault link of %s and %s mute", a.name, g.name)
		if l := a.links[g]; l != nil {
			l.blackholed = true
		}
	case 11:
		w.logf("fault worker %s hangs for %s", a.worker.id, d)
		a.worker.hanging = true
		w.after(d, func() { a.worker.hanging = false })
	case 12:
		a.worker.leave(d / 2)
	}
}

func (w *simulation) isolate(h *host, d time.Duration) {
	h.isolated = true
	w.after(d, func() {
		h.isolated = false
		for _, a := range w.agents {
			for _, g := range w.gateways {
				if l := a.links[g]; l != nil {
					l.resume()
				}
			}
		}
	})
}
