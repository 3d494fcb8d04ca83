// Package dispatcher decides which waiting task goes next and to which agent. A
// task waits at its owner until an agent has offered a slot; it never waits at a
// worker behind another.
package dispatcher

import (
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Pool holds the slots that agents have offered. It is not safe for use by
// several goroutines at once. The zero value has no agents.
type Pool struct {
	agents map[identifier.Agent]*Worker
	order  []*Worker
	next   int
	free   int
}

// Worker is a linked agent with the slots that it offered and that are not used.
type Worker struct {
	Agent       identifier.Agent
	Incarnation identifier.Incarnation
	// Free is how many offered slots stand idle.
	Free int
	// Busy is how many tasks were sent to the agent and have not ended.
	Busy int
	// Told reports whether the agent knows that work waits at this entry.
	Told bool

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
}

// Unlink removes an agent and its slots.
func (p *Pool) Unlink(agent identifier.Agent) {
	w := p.agents[agent]
	if w == nil {
		return
	}
	p.free -= w.Free
	delete(p.agents, agent)
	for i, other := range p.order {
		if other == w {
			p.order = append(p.order[:i], p.order[i+1:]...)
			break
		}
	}
}

// Worker returns a linked agent, or nil.
func (p *Pool) Worker(agent identifier.Agent) *Worker {
	return p.agents[agent]
}

// Grant adds offered slots of an agent.
func (p *Pool) Grant(agent identifier.Agent, n int) {
	if w := p.agents[agent]; w != nil && n > 0 {
		w.Free += n
		p.free += n
	}
}

// Recall takes back up to n idle slots of an agent and returns how many.
func (p *Pool) Recall(agent identifier.Agent, n int) int {
	w := p.agents[agent]
	if w == nil {
		return 0
	}
	n = min(max(n, 0), w.Free)
	w.Free -= n
	p.free -= n
	return n
}

// Rest keeps work from an agent until the given time.
func (p *Pool) Rest(agent identifier.Agent, until time.Time) {
	if w := p.agents[agent]; w != nil {
		w.resting = until
	}
}

// Take uses one slot of the agent with the most idle ones, in turn among equals,
// and returns nil when no agent has one or all that have rest.
func (p *Pool) Take(now time.Time) *Worker {
	if p.free == 0 {
		return nil
	}
	var most *Worker
	at := 0
	for i := range p.order {
		k := (p.next + i) % len(p.order)
		w := p.order[k]
		if w.Free == 0 || now.Before(w.resting) {
			continue
		}
		if most == nil || w.Free > most.Free {
			most, at = w, k
		}
	}
	if most == nil {
		return nil
	}
	p.next = at + 1
	most.Free--
	most.Busy++
	p.free--
	return most
}

// Done notes that a task sent to the agent has ended or was not started.
func (p *Pool) Done(agent identifier.Agent) {
	if w := p.agents[agent]; w != nil && w.Busy > 0 {
		w.Busy--
	}
}

// Free returns the number of idle slots.
func (p *Pool) Free() int {
	return p.free
}

// Slots returns the number of slots that this entry holds, idle and used.
func (p *Pool) Slots() int {
	n := 0
	for _, w := range p.order {
		n += w.Free + w.Busy
	}
	return n
}

// Workers returns the linked agents in the order of their linking.
func (p *Pool) Workers() []*Worker {
	return p.order
}
