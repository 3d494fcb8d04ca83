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
		w := playHistory(seed)
		starts += w.starts
		completed += w.completed
		refused += w.notRun
		if len(w.broken) > 0 {
			t.Errorf("seed %d: %s", seed, w.broken[0])
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

func playHistory(seed uint64) *world {
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
		w.after(at, w.fault)
	}
	w.run(historyLength + 15*time.Second)
	w.checkRefused()
	return w
}

// fault strikes once.
func (w *world) fault() {
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
		w.note("fault %s freezes for %s", g.name, d)
		g.freeze(d)
	case 4:
		w.note("fault %s freezes for %s", a.name, d)
		a.freeze(d)
	case 5:
		w.note("fault %s cut off for %s", g.name, d)
		w.cut(&g.host, d)
	case 6:
		w.note("fault %s cut off for %s", a.name, d)
		w.cut(&a.host, d)
	case 7:
		a.worker.crash(w.random.IntN(2) == 0, 50*time.Millisecond+d/2)
	case 8:
		w.note("fault worker %s loses orders for %s", a.worker.id, d)
		a.worker.losing = 0.3
		w.after(d, func() { a.worker.losing = 0 })
	case 9:
		w.note("fault link of %s and %s reset", a.name, g.name)
		if l := a.links[g]; l != nil {
			l.reset()
		}
	case 10:
		w.note("fault link of %s and %s mute", a.name, g.name)
		if l := a.links[g]; l != nil {
			l.mute = true
		}
	case 11:
		w.note("fault worker %s hangs for %s", a.worker.id, d)
		a.worker.hang = true
		w.after(d, func() { a.worker.hang = false })
	case 12:
		a.worker.leave(d / 2)
	}
}

func (w *world) cut(h *host, d time.Duration) {
	h.cut = true
	w.after(d, func() {
		h.cut = false
		for _, a := range w.agents {
			for _, g := range w.gateways {
				if l := a.links[g]; l != nil {
					l.heal()
				}
			}
		}
	})
}
