package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// epoch is the present time at the start of a history.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	tickInterval = 25 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	linkTimeout   = 400 * time.Millisecond
	redialDelay    = 50 * time.Millisecond
	// resubmitDelay is how long callers wait before they submit a job again.
	resubmitDelay = 1300 * time.Millisecond
)

// simulation is one history in virtual time.
type simulation struct {
	now    time.Time
	random *rand.Rand
	events events
	lastSequence  int

	gateways []*gateway
	agents   []*agent
	callers  []*caller
	// log holds the newest steps, for a history that breaks a promise.
	log    []string
	violations []string
	starts int
	// completed, notRun and open count answers.
	completed, notRun int
}

type event struct {
	at    time.Time
	sequence int
	run   func()
}

type events []*event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newWorld(seed uint64, gateways, agents int) *simulation {
	w := &simulation{now: epoch, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range gateways {
		g := &gateway{sim: w, name: identifier.Entry(fmt.Sprintf("g%d", i))}
		w.gateways = append(w.gateways, g)
		g.boot()
	}
	for i := range agents {
		a := &agent{sim: w, name: identifier.Agent(fmt.Sprintf("s%d", i))}
		a.worker = &worker{sim: w, agent: a, id: fmt.Sprintf("w%d", i)}
		w.agents = append(w.agents, a)
		a.worker.boot()
		a.boot()
	}
	return w
}

func (w *simulation) after(d time.Duration, run func()) {
	w.lastSequence++
	heap.Push(&w.events, &event{w.now.Add(d), w.lastSequence, run})
}

// run lets time pass.
func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(*event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

const maxLog = 20000

func (w *simulation) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%s ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
	if len(w.log) > maxLog {
		w.log = w.log[len(w.log)-maxLog:]
	}
}

func (w *simulation) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
	w.logf("BROKEN "+format, args...)
}

// linesAbout returns the logged steps that name a job.
func (w *simulation) linesAbout(job specifier.JobID) string {
	var out strings.Builder
	for _, line := range w.log {
		if strings.Contains(line, string(job)) || strings.Contains(line, "fault") {
			out.WriteString(line + "\n")
		}
	}
	return out.String()
}

// host is a machine whose process can be stopped, frozen, killed and cut off.
type host struct {
	sim      *simulation
	up     bool
	frozen bool
	isolated    bool
	// boots counts the boots, so that events of an earlier one are dropped.
	boots int
	// deferred are the events that came while the host was frozen.
	deferred []deferredEvent
}

// deferredEvent is an event that waits for its host to wake. Those of one source stay in
// their order.
type deferredEvent struct {
	source any
	run    func()
}

// schedule runs something in the present life of the host, when it is not frozen.
func (h *host) schedule(d time.Duration, source any, run func()) {
	life := h.boots
	h.sim.after(d, func() { h.deliver(life, source, run) })
}

func (h *host) deliver(life int, source any, run func()) {
	switch {
	case !h.up || h.boots != life:
	case h.frozen:
		h.deferred = append(h.deferred, deferredEvent{source, run})
	default:
		run()
	}
}

func (h *host) freeze(d time.Duration) {
	if !h.up || h.frozen {
		return
	}
	h.frozen = true
	life := h.boots
	h.sim.after(d, func() {
		if h.boots != life {
			return
		}
		h.frozen = false
		held := h.deferred
		h.deferred = nil
		h.deliverDeferred(life, held)
	})
}

// deliverDeferred delivers what was held. Which source comes first is not certain, and the first
// events take a while.
func (h *host) deliverDeferred(life int, held []deferredEvent) {
	var sources []any
	queues := make(map[any][]func())
	for _, e := range held {
		if queues[e.source] == nil {
			sources = append(sources, e.source)
		}
		queues[e.source] = append(queues[e.source], e.run)
	}
	delay := time.Duration(0)
	for len(sources) > 0 {
		i := h.sim.random.IntN(len(sources))
		source := sources[i]
		run := queues[source][0]
		delay += time.Duration(h.sim.random.IntN(300)) * time.Microsecond
		h.sim.after(delay, func() { h.deliver(life, source, run) })
		if queues[source] = queues[source][1:]; len(queues[source]) == 0 {
			sources = append(sources[:i], sources[i+1:]...)
		}
	}
}

// every calls run again and again in the present life of the host.
func (h *host) every(d time.Duration, run func()) {
	h.schedule(d, new(int), func() {
		run()
		h.every(d, run)
	})
}

func taskOf(r executor.RunID) string {
	return fmt.Sprintf("%s#%d", r.Job, r.Index)
}
