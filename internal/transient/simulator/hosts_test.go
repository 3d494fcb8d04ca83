package simulator

import (
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/coordinator"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/executor"
	"github.com/dandeliongrade/dandeliongrade/internal/transient/specifier"
)

// gateway is a host that runs a coordinator.
type gateway struct {
	host
	sim           *simulation
	name        identifier.Entry
	incarnation identifier.Incarnation
	coordinator           *coordinator.Coordinator
	links       map[*agent]*link
	callers     map[specifier.JobID]*attempt
}

func (g *gateway) boot() {
	g.host.sim = g.sim
	g.up, g.frozen, g.deferred = true, false, nil
	g.boots++
	g.incarnation = identifier.NextIncarnation(g.sim.now, g.incarnation)
	g.coordinator = &coordinator.Coordinator{}
	g.links = make(map[*agent]*link)
	g.callers = make(map[specifier.JobID]*attempt)
	g.every(tickInterval, func() { g.perform(g.coordinator.Tick(g.sim.now)) })
	g.every(heartbeatInterval, func() {
		for _, a := range g.sim.agents {
			l := g.links[a]
			if l != nil && g.sim.now.Sub(l.gatewayLastHeard) > linkTimeout {
				l.closeGatewayEnd()
			}
		}
	})
}

// kill ends the process. With power lost nobody is told.
func (g *gateway) kill(power bool, down time.Duration) {
	if !g.up {
		return
	}
	g.sim.logf("fault %s killed power=%t", g.name, power)
	g.up = false
	g.boots++
	for _, a := range g.sim.agents {
		if l := g.links[a]; l != nil {
			l.gatewayOpen = false
			if !power && !l.blocked() {
				a.schedule(l.delay(), l, func() { l.closeAgentEnd() })
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(g.callers)) {
		if !power {
			g.callers[id].unanswered()
		}
	}
	g.sim.after(down, g.boot)
}

func (g *gateway) linkClosed(l *link) {
	if g.links[l.agent] == l {
		delete(g.links, l.agent)
		g.coordinator.AgentUnlinked(l.agent.name)
	}
}

func (g *gateway) receive(l *link, message any) {
	if g.links[l.agent] != l {
		return
	}
	now, name := g.sim.now, l.agent.name
	switch m := message.(type) {
	case *executor.Attach:
		g.perform(g.coordinator.HandleAttach(now, name, m))
	case *executor.Status:
		g.perform(g.coordinator.HandleStatus(now, name, m))
	case *executor.Load:
		g.perform(g.coordinator.HandleLoad(now, name, m.UsedByOthers))
	case *executor.PermitRequest:
		g.perform(g.coordinator.HandlePermitRequest(now, name, m))
	case *executor.Ended:
		g.perform(g.coordinator.HandleEnded(now, name, m))
	}
}

func (g *gateway) perform(effects []coordinator.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case coordinator.Send:
			for _, a := range g.sim.agents {
				if l := g.links[a]; l != nil && a.name == e.To {
					l.sendToAgent(e.Message)
				}
			}
		case coordinator.Reply:
			g.sim.logf("%s answers %s %s %s", g.name, e.Job, e.Answer.State, e.Cause)
			if t := g.callers[e.Job]; t != nil {
				delete(g.callers, e.Job)
				t.answered(e.Answer)
			}
		}
	}
}

// agent is a host that runs an executor beside a worker.
type agent struct {
	host
	sim           *simulation
	name        identifier.Agent
	incarnation identifier.Incarnation
	executor           *executor.Executor
	links       map[*gateway]*link
	worker      *worker
	sequence    uint64
}

// clockSetBack is how far the clock of an agent is set back in every third of its lives.
const clockSetBack = 6 * time.Second

// initialFence is the time of day at the start of the agent, in milliseconds.
func (a *agent) initialFence() uint64 {
	if a.boots%3 == 2 {
		return uint64(a.incarnation) - uint64(clockSetBack.Milliseconds())
	}
	return uint64(a.incarnation)
}

func (a *agent) boot() {
	a.host.sim = a.sim
	a.up, a.frozen, a.deferred = true, false, nil
	a.boots++
	a.incarnation = identifier.NextIncarnation(a.sim.now, a.incarnation)
	a.executor = &executor.Executor{Fence: a.initialFence()}
	a.links = make(map[*gateway]*link)
	a.every(tickInterval, func() { a.perform(a.executor.Tick(a.sim.now)) })
	a.every(heartbeatInterval, a.heartbeat)
	for _, g := range a.sim.gateways {
		a.dial(g)
	}
	a.sendHold()
	a.schedule(10*time.Millisecond, a.worker, a.register)
	a.every(1500*time.Millisecond, a.register)
}

func (a *agent) register() {
	if !a.worker.up {
		return
	}
	a.worker.sequence++
	r := a.worker.report()
	a.schedule(time.Millisecond, a.worker, func() { a.perform(a.executor.WorkerReported(a.sim.now, r)) })
}

func (a *agent) kill(power bool, down time.Duration) {
	if !a.up {
		return
	}
	a.sim.logf("fault %s killed power=%t", a.name, power)
	a.up = false
	a.boots++
	for _, g := range a.sim.gateways {
		l := a.links[g]
		if l == nil {
			continue
		}
		l.agentOpen = false
		if !power && !l.blocked() {
			l.gateway.schedule(l.delay(), l, func() { l.closeGatewayEnd() })
		}
	}
	a.sim.after(down, a.boot)
}

func (a *agent) heartbeat() {
	for _, g := range a.sim.gateways {
		l := a.links[g]
		if l == nil {
			continue
		}
		if a.sim.now.Sub(l.agentLastHeard) > linkTimeout {
			l.closeAgentEnd()
			continue
		}
		l.sendToGateway(a.executor.RequestPermit(a.sim.now, g.name))
	}
}

// dial links to a gateway, now or later.
func (a *agent) dial(g *gateway) {
	if a.isolated || g.isolated || !g.up || g.frozen || a.links[g] != nil {
		a.schedule(redialDelay+time.Duration(a.sim.random.IntN(100))*time.Millisecond, g, func() {
			if a.links[g] == nil {
				a.dial(g)
			}
		})
		return
	}
	l := &link{sim: a.sim, agent: a, gateway: g, agentOpen: true, gatewayOpen: true, agentLastHeard: a.sim.now, gatewayLastHeard: a.sim.now}
	if before := g.links[a]; before != nil {
		before.closeGatewayEnd()
	}
	g.links[a] = l
	a.links[g] = l
	g.coordinator.AgentLinked(a.sim.now, a.name, a.incarnation)
	a.perform(a.executor.GatewayLinked(a.sim.now, g.name, g.incarnation))
	l.sendToGateway(a.executor.RequestPermit(a.sim.now, g.name))
}

func (a *agent) linkClosed(l *link) {
	if a.links[l.gateway] != l {
		return
	}
	delete(a.links, l.gateway)
	a.executor.GatewayUnlinked(l.gateway.name)
	a.schedule(redialDelay, l.gateway, func() {
		if a.links[l.gateway] == nil {
			a.dial(l.gateway)
		}
	})
}

func (a *agent) receive(l *link, message any) {
	if a.links[l.gateway] != l {
		return
	}
	now, name := a.sim.now, l.gateway.name
	switch m := message.(type) {
	case *executor.Permit:
		a.executor.HandlePermit(name, m)
	case *executor.Start:
		a.perform(a.executor.Start(now, name, m))
	case *executor.Stop:
		a.perform(a.executor.Stop(now, name, m))
	case *executor.Backlog:
		a.perform(a.executor.Want(name, m))
	}
}

func (a *agent) perform(effects []executor.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case executor.Send:
			for _, g := range a.sim.gateways {
				if l := a.links[g]; l != nil && g.name == e.To {
					l.sendToGateway(e.Message)
				}
			}
			if m, ok := e.Message.(*executor.Ended); ok {
				a.sim.logf("%s tells %s %s %s %s", a.name, e.To, m.Run, m.Outcome, m.Reason)
			}
		case executor.StartRun:
			a.worker.call(a, "begin "+e.Run.String(), func() executor.CallOutcome { return a.worker.startRun(e) }, func(r executor.CallOutcome) {
				a.perform(a.executor.HandleStartOutcome(a.sim.now, e, r))
			})
		case executor.StopRun:
			a.worker.call(a, "halt "+e.Run.String(), func() executor.CallOutcome { return a.worker.stopRun(e) }, func(r executor.CallOutcome) {
				a.perform(a.executor.HandleStopOutcome(a.sim.now, e, r))
			})
		}
	}
}

// sendHold runs the loop that extends the worker's lease.
func (a *agent) sendHold() {
	h, ok := a.executor.NextHold(a.sim.now)
	if !ok {
		a.schedule(50*time.Millisecond, a, a.sendHold)
		return
	}
	var held executor.HoldReply
	a.worker.call(a, "hold", func() executor.CallOutcome {
		var r executor.CallOutcome
		held, r = a.worker.hold(h)
		return r
	}, func(r executor.CallOutcome) {
		if r == executor.Accepted {
			a.perform(a.executor.HandleHoldReply(a.sim.now, h, held))
		} else {
			a.perform(a.executor.HoldFailed(a.sim.now, h, r))
		}
		a.schedule(time.Duration(1+a.sim.random.IntN(60))*time.Millisecond, a, a.sendHold)
	})
}
