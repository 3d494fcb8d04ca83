// Package dispatcher decides which waiting task goes next and to which agent. A
// task waits at its owner until an agent has offered a slot; it never waits at a
// worker behind another.
package dispatcher

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Pool holds the slots that agents have offered. It is not safe for use by
// several goroutines at once. The zero value has no agents.
type Pool struct {
	agents map[identifier.Agent]*Worker
	// order holds the agents in the order of their linking.
	order []*Worker
	// levels holds the agents by how many idle slots they have, so that the one with
	// the most is found without a look at all the others.
	levels [][]*Worker
	next   int
	free   int
	busy   int
}

// Worker is a linked agent with the slots that it offered and that are not used.
type Worker struct {
	Agent       identifier.Agent
	Incarnation identifier.Incarnation
	// Notified reports whether the agent knows that work waits at this entry.
	Notified bool

	// free is how many offered slots stand idle, busy how many tasks were sent and
	// have not ended.
	free, busy int
	// place is the index of the worker in its level.
	place   int
	resting time.Time
}

// Link adds an agent without slots, in place of an earlier incarnation.
func (p *Pool) Link(agent identifier.Agent, incarnation identifier.Incarnation) {
	p.Unlink(agent)
	if p.agents == nil {
		p.agents = make(map[identifier.Agent]*Worker)
	}
	w := &Worker{Agent: agent, Incarnation: incarnation}
	p.agents[agent] = w
	p.order = append(p.order, w)
	p.enter(w)
}

// Unlink removes an agent and its slots.
func (p *Pool) Unlink(agent identifier.Agent) {
	w := p.agents[agent]
	if w == nil {
		return
	}
	p.exit(w)
	p.free -= w.free
	p.busy -= w.busy
	delete(p.agents, agent)
	i := slices.Index(p.order, w)
	p.order = slices.Delete(p.order, i, i+1)
}

// enter puts a worker into its level.
func (p *Pool) enter(w *Worker) {
	for len(p.levels) <= w.free {
		p.levels = append(p.levels, nil)
	}
	w.place = len(p.levels[w.free])
	p.levels[w.free] = append(p.levels[w.free], w)
}

// exit takes a worker out of its level.
func (p *Pool) exit(w *Worker) {
	level := p.levels[w.free]
	last := level[len(level)-1]
	level[w.place] = last
	last.place = w.place
	level[len(level)-1] = nil
	p.levels[w.free] = level[:len(level)-1]
}

func (p *Pool) setFree(w *Worker, n int) {
	p.exit(w)
	p.free += n - w.free
	w.free = n
	p.enter(w)
}

// Worker returns a linked agent, or nil.
func (p *Pool) Worker(agent identifier.Agent) *Worker {
	return p.agents[agent]
}

// Grant adds offered slots of an agent.
func (p *Pool) Grant(agent identifier.Agent, n int) {
	if w := p.agents[agent]; w != nil && n > 0 {
		p.setFree(w, w.free+n)
	}
}

// Recall takes back up to n idle slots of an agent and returns how many.
func (p *Pool) Recall(agent identifier.Agent, n int) int {
	w := p.agents[agent]
	if w == nil {
		return 0
	}
	n = min(max(n, 0), w.free)
	p.setFree(w, w.free-n)
	return n
}

// DropIdle takes back all idle slots of an agent.
func (p *Pool) DropIdle(agent identifier.Agent) {
	if w := p.agents[agent]; w != nil {
		p.setFree(w, 0)
	}
}

// Suspend keeps work from an agent until the given time.
func (p *Pool) Suspend(agent identifier.Agent, until time.Time) {
	if w := p.agents[agent]; w != nil {
		w.resting = until
	}
}

// TakeSlot uses one slot of the agent with the most idle ones, in turn among equals,
// and returns nil when no agent has one or all that have rest.
func (p *Pool) TakeSlot(now time.Time) *Worker {
	for free := len(p.levels) - 1; free > 0; free-- {
		if w := p.takeLevel(now, p.levels[free]); w != nil {
			return w
		}
	}
	return nil
}

func (p *Pool) takeLevel(now time.Time, level []*Worker) *Worker {
	for i := range level {
		w := level[(p.next+i)%len(level)]
		if now.Before(w.resting) {
			continue
		}
		p.next++
		p.setFree(w, w.free-1)
		w.busy++
		p.busy++
		return w
	}
	return nil
}

// TaskDone notes that a task sent to the agent has ended or was not started.
func (p *Pool) TaskDone(agent identifier.Agent) {
	if w := p.agents[agent]; w != nil && w.busy > 0 {
		w.busy--
		p.busy--
	}
}

// Free returns the number of idle slots.
func (p *Pool) Free() int {
	return p.free
}

// Slots returns the number of slots that this entry holds, idle and used.
func (p *Pool) Slots() int {
	return p.free + p.busy
}

// Workers returns the linked agents in the order of their linking.
func (p *Pool) Workers() []*Worker {
	return p.order
}
