// Package dispatcher decides which waiting task is sent next and to which agent. A
// task waits at its owner until an agent has offered a slot. Tasks are not queued at
// workers, where one would delay the next.
package dispatcher

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Pool holds the slots that agents have offered. It is not safe for concurrent use.
// The zero value has no agents.
type Pool struct {
	agents map[identifier.Agent]*LinkedAgent
	// order holds the agents in the order in which they were linked.
	order []*LinkedAgent
	// levels holds the agents grouped by their number of idle slots, so that the
	// agents with the most are found without a scan of all agents.
	levels [][]*LinkedAgent
	next   int
	free   int
	busy   int
}

// LinkedAgent is a linked agent with the slots that it has offered.
type LinkedAgent struct {
	Agent       identifier.Agent
	Incarnation identifier.Incarnation
	// Notified reports whether the agent has been notified that tasks wait at this
	// entry.
	Notified bool

	// free is the number of idle slots, busy the number of tasks that were sent
	// and have not ended.
	free, busy int
	// levelIndex is the index of the worker in its level.
	levelIndex     int
	suspendedUntil time.Time
}

// Link adds an agent without slots. It replaces an earlier link to the agent.
func (p *Pool) Link(agent identifier.Agent, incarnation identifier.Incarnation) {
	p.Unlink(agent)
	if p.agents == nil {
		p.agents = make(map[identifier.Agent]*LinkedAgent)
	}
	w := &LinkedAgent{Agent: agent, Incarnation: incarnation}
	p.agents[agent] = w
	p.order = append(p.order, w)
	p.addToLevel(w)
}

// Unlink removes an agent and its slots.
func (p *Pool) Unlink(agent identifier.Agent) {
	w := p.agents[agent]
	if w == nil {
		return
	}
	p.removeFromLevel(w)
	p.free -= w.free
	p.busy -= w.busy
	delete(p.agents, agent)
	i := slices.Index(p.order, w)
	p.order = slices.Delete(p.order, i, i+1)
}

// addToLevel adds a worker to the level of its idle slots.
func (p *Pool) addToLevel(w *LinkedAgent) {
	for len(p.levels) <= w.free {
		p.levels = append(p.levels, nil)
	}
	w.levelIndex = len(p.levels[w.free])
	p.levels[w.free] = append(p.levels[w.free], w)
}

// removeFromLevel removes a worker from the level of its idle slots.
func (p *Pool) removeFromLevel(w *LinkedAgent) {
	level := p.levels[w.free]
	last := level[len(level)-1]
	level[w.levelIndex] = last
	last.levelIndex = w.levelIndex
	level[len(level)-1] = nil
	p.levels[w.free] = level[:len(level)-1]
}

func (p *Pool) setFree(w *LinkedAgent, n int) {
	p.removeFromLevel(w)
	p.free += n - w.free
	w.free = n
	p.addToLevel(w)
}

// Agent returns a linked agent, or nil if the agent is not linked.
func (p *Pool) Agent(agent identifier.Agent) *LinkedAgent {
	return p.agents[agent]
}

// Grant adds n idle slots of an agent.
func (p *Pool) Grant(agent identifier.Agent, n int) {
	if w := p.agents[agent]; w != nil && n > 0 {
		p.setFree(w, w.free+n)
	}
}

// Recall removes up to n idle slots of an agent and returns how many it removed.
func (p *Pool) Recall(agent identifier.Agent, n int) int {
	w := p.agents[agent]
	if w == nil {
		return 0
	}
	n = min(max(n, 0), w.free)
	p.setFree(w, w.free-n)
	return n
}

// DropIdle removes all idle slots of an agent.
func (p *Pool) DropIdle(agent identifier.Agent) {
	if w := p.agents[agent]; w != nil {
		p.setFree(w, 0)
	}
}

// Suspend excludes an agent from TakeSlot until the given time.
func (p *Pool) Suspend(agent identifier.Agent, until time.Time) {
	if w := p.agents[agent]; w != nil {
		w.suspendedUntil = until
	}
}

// TakeSlot uses one slot of the agent with the most idle slots, with round robin among
// equals. It returns nil if no agent that is not suspended has an idle slot.
func (p *Pool) TakeSlot(now time.Time) *LinkedAgent {
	for free := len(p.levels) - 1; free > 0; free-- {
		if w := p.takeLevel(now, p.levels[free]); w != nil {
			return w
		}
	}
	return nil
}

func (p *Pool) takeLevel(now time.Time, level []*LinkedAgent) *LinkedAgent {
	for i := range level {
		w := level[(p.next+i)%len(level)]
		if now.Before(w.suspendedUntil) {
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

// TaskDone records that a task sent to the agent has ended or was not started. The
// slot becomes idle again only when the agent grants it.
func (p *Pool) TaskDone(agent identifier.Agent) {
	if w := p.agents[agent]; w != nil && w.busy > 0 {
		w.busy--
		p.busy--
	}
}

// IdleSlots returns the number of idle slots.
func (p *Pool) IdleSlots() int {
	return p.free
}

// Slots returns the number of slots that the entry holds, idle or in use.
func (p *Pool) Slots() int {
	return p.free + p.busy
}

// Agents returns the linked agents in the order in which they were linked.
func (p *Pool) Agents() []*LinkedAgent {
	return p.order
}
