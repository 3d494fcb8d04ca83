// Package dispatcher decides which waiting task is sent next and to which agent. A
// task waits at its owner until an agent has granted a slot. Tasks are not queued at
// agents, where one would delay the next.
package dispatcher

import (
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// Pool holds the slots that agents have granted. It is not safe for concurrent use.
// The zero value has no agents.
type Pool struct {
	agents map[identifier.Agent]*LinkedAgent
	// order holds the agents in the order in which they were linked.
	order []*LinkedAgent
	// levels holds the agents grouped by their number of idle slots, so that the
	// agents with the most are found without a scan of all agents.
	levels [][]*LinkedAgent
	next   int
	idle   int
	busy   int
}

// LinkedAgent is a linked agent with the slots that it has granted.
type LinkedAgent struct {
	Agent       identifier.Agent
	Incarnation identifier.Incarnation
	// Notified reports whether the agent has been notified that tasks wait at this
	// entry.
	Notified bool

	// idle is the number of idle slots, busy the number of tasks that were sent
	// and have not ended.
	idle, busy int
	// levelIndex is the index of the agent in its level.
	levelIndex     int
	suspendedUntil time.Time
}

// Link adds an agent without slots. It replaces an earlier link to the agent.
func (p *Pool) Link(agent identifier.Agent, incarnation identifier.Incarnation) {
	p.Unlink(agent)
	if p.agents == nil {
		p.agents = make(map[identifier.Agent]*LinkedAgent)
	}
	a := &LinkedAgent{Agent: agent, Incarnation: incarnation}
	p.agents[agent] = a
	p.order = append(p.order, a)
	p.addToLevel(a)
}

// Unlink removes an agent and its slots.
func (p *Pool) Unlink(agent identifier.Agent) {
	a := p.agents[agent]
	if a == nil {
		return
	}
	p.removeFromLevel(a)
	p.idle -= a.idle
	p.busy -= a.busy
	delete(p.agents, agent)
	i := slices.Index(p.order, a)
	p.order = slices.Delete(p.order, i, i+1)
}

// addToLevel adds an agent to the level of its idle slots.
func (p *Pool) addToLevel(a *LinkedAgent) {
	for len(p.levels) <= a.idle {
		p.levels = append(p.levels, nil)
	}
	a.levelIndex = len(p.levels[a.idle])
	p.levels[a.idle] = append(p.levels[a.idle], a)
}

// removeFromLevel removes an agent from the level of its idle slots.
func (p *Pool) removeFromLevel(a *LinkedAgent) {
	level := p.levels[a.idle]
	last := level[len(level)-1]
	level[a.levelIndex] = last
	last.levelIndex = a.levelIndex
	level[len(level)-1] = nil
	p.levels[a.idle] = level[:len(level)-1]
}

func (p *Pool) setIdle(a *LinkedAgent, n int) {
	p.removeFromLevel(a)
	p.idle += n - a.idle
	a.idle = n
	p.addToLevel(a)
}

// Agent returns a linked agent, or nil if the agent is not linked.
func (p *Pool) Agent(agent identifier.Agent) *LinkedAgent {
	return p.agents[agent]
}

// Grant adds n idle slots of an agent.
func (p *Pool) Grant(agent identifier.Agent, n int) {
	if a := p.agents[agent]; a != nil && n > 0 {
		p.setIdle(a, a.idle+n)
	}
}

// Recall removes up to n idle slots of an agent and returns how many it removed.
func (p *Pool) Recall(agent identifier.Agent, n int) int {
	a := p.agents[agent]
	if a == nil {
		return 0
	}
	n = min(max(n, 0), a.idle)
	p.setIdle(a, a.idle-n)
	return n
}

// DropIdle removes all idle slots of an agent.
func (p *Pool) DropIdle(agent identifier.Agent) {
	if a := p.agents[agent]; a != nil {
		p.setIdle(a, 0)
	}
}

// Suspend excludes an agent from TakeSlot until the given time.
func (p *Pool) Suspend(agent identifier.Agent, until time.Time) {
	if a := p.agents[agent]; a != nil {
		a.suspendedUntil = until
	}
}

// TakeSlot uses one slot of the agent with the most idle slots, with round robin among
// equals. It returns nil if no agent that is not suspended has an idle slot.
func (p *Pool) TakeSlot(now time.Time) *LinkedAgent {
	for idle := len(p.levels) - 1; idle > 0; idle-- {
		if a := p.takeLevel(now, p.levels[idle]); a != nil {
			return a
		}
	}
	return nil
}

func (p *Pool) takeLevel(now time.Time, level []*LinkedAgent) *LinkedAgent {
	for i := range level {
		a := level[(p.next+i)%len(level)]
		if now.Before(a.suspendedUntil) {
			continue
		}
		p.next++
		p.setIdle(a, a.idle-1)
		a.busy++
		p.busy++
		return a
	}
	return nil
}

// TaskDone records that a task sent to the agent has ended or was not started. The
// slot becomes idle again only when the agent grants it.
func (p *Pool) TaskDone(agent identifier.Agent) {
	if a := p.agents[agent]; a != nil && a.busy > 0 {
		a.busy--
		p.busy--
	}
}

// IdleSlots returns the number of idle slots.
func (p *Pool) IdleSlots() int {
	return p.idle
}

// Slots returns the number of slots that the entry holds, idle or in use.
func (p *Pool) Slots() int {
	return p.idle + p.busy
}

// Agents returns the linked agents in the order in which they were linked.
func (p *Pool) Agents() []*LinkedAgent {
	return p.order
}
