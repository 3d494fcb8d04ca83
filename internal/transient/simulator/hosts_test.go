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
	w           *world
	name        identifier.Entry
	incarnation identifier.Incarnation
	c           *coordinator.Coordinator
	links       map[*agent]*link
	callers     map[specifier.JobID]*try
}

func (g *gateway) boot() {
	g.host.w = g.w
	g.up, g.frozen, g.held = true, false, nil
	g.life++
	g.incarnation = identifier.NextIncarnation(g.w.now, g.incarnation)
	g.c = &coordinator.Coordinator{}
	g.links = make(map[*agent]*link)
	g.callers = make(map[specifier.JobID]*try)
	g.every(tickPause, func() { g.perform(g.c.Tick(g.w.now)) })
	g.every(beatPause, func() {
		for _, a := range g.w.agents {
			l := g.links[a]
			if l != nil && g.w.now.Sub(l.gHeard) > silence {
				l.closeG()
			}
		}
	})
}

// kill ends the process. With power lost nobody is told.
func (g *gateway) kill(power bool, down time.Duration) {
	if !g.up {
		return
	}
	g.w.note("fault %s killed power=%t", g.name, power)
	g.up = false
	g.life++
	for _, a := range g.w.agents {
		if l := g.links[a]; l != nil {
			l.gOpen = false
			if !power && !l.blocked() {
				a.later(l.delay(), l, func() { l.closeA() })
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(g.callers)) {
		if !power {
			g.callers[id].broken()
		}
	}
	g.w.after(down, g.boot)
}

func (g *gateway) unlinked(l *link) {
	if g.links[l.a] == l {
		delete(g.links, l.a)
		g.c.AgentUnlinked(l.a.name)
	}
}

func (g *gateway) receive(l *link, message any) {
	if g.links[l.a] != l {
		return
	}
	now, name := g.w.now, l.a.name
	switch m := message.(type) {
	case *executor.Attach:
		g.perform(g.c.HandleAttach(now, name, m))
	case *executor.Status:
		g.perform(g.c.HandleStatus(now, name, m))
	case *executor.Load:
		g.perform(g.c.HandleLoad(now, name, m.UsedByOthers))
	case *executor.PermitRequest:
		g.perform(g.c.HandlePermitRequest(now, name, m))
	case *executor.Ended:
		g.perform(g.c.HandleEnded(now, name, m))
	}
}

func (g *gateway) perform(effects []coordinator.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case coordinator.Send:
			for _, a := range g.w.agents {
				if l := g.links[a]; l != nil && a.name == e.To {
					l.sendToA(e.Message)
				}
			}
		case coordinator.Reply:
			g.w.note("%s answers %s %s %s", g.name, e.Job, e.Answer.State, e.Cause)
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
	w           *world
	name        identifier.Agent
	incarnation identifier.Incarnation
	x           *executor.Executor
	links       map[*gateway]*link
	worker      *worker
	sequence    uint64
}

// setBack is how far the clock of an agent is set back in every third of its lives.
const setBack = 6 * time.Second

// firstFence is the time of day at the start of the agent, in milliseconds.
func (a *agent) firstFence() uint64 {
	if a.life%3 == 2 {
		return uint64(a.incarnation) - uint64(setBack.Milliseconds())
	}
	return uint64(a.incarnation)
}

func (a *agent) boot() {
	a.host.w = a.w
	a.up, a.frozen, a.held = true, false, nil
	a.life++
	a.incarnation = identifier.NextIncarnation(a.w.now, a.incarnation)
	a.x = &executor.Executor{Fence: a.firstFence()}
	a.links = make(map[*gateway]*link)
	a.every(tickPause, func() { a.perform(a.x.Tick(a.w.now)) })
	a.every(beatPause, a.beat)
	for _, g := range a.w.gateways {
		a.dial(g)
	}
	a.hold()
	a.later(10*time.Millisecond, a.worker, a.register)
	a.every(1500*time.Millisecond, a.register)
}

func (a *agent) register() {
	if !a.worker.up {
		return
	}
	a.worker.sequence++
	r := a.worker.report()
	a.later(time.Millisecond, a.worker, func() { a.perform(a.x.WorkerReported(a.w.now, r)) })
}

func (a *agent) kill(power bool, down time.Duration) {
	if !a.up {
		return
	}
	a.w.note("fault %s killed power=%t", a.name, power)
	a.up = false
	a.life++
	for _, g := range a.w.gateways {
		l := a.links[g]
		if l == nil {
			continue
		}
		l.aOpen = false
		if !power && !l.blocked() {
			l.g.later(l.delay(), l, func() { l.closeG() })
		}
	}
	a.w.after(down, a.boot)
}

func (a *agent) beat() {
	for _, g := range a.w.gateways {
		l := a.links[g]
		if l == nil {
			continue
		}
		if a.w.now.Sub(l.aHeard) > silence {
			l.closeA()
			continue
		}
		l.sendToG(a.x.RequestPermit(a.w.now, g.name))
	}
}

// dial links to a gateway, now or later.
func (a *agent) dial(g *gateway) {
	if a.cut || g.cut || !g.up || g.frozen || a.links[g] != nil {
		a.later(redial+time.Duration(a.w.random.IntN(100))*time.Millisecond, g, func() {
			if a.links[g] == nil {
				a.dial(g)
			}
		})
		return
	}
	l := &link{w: a.w, a: a, g: g, aOpen: true, gOpen: true, aHeard: a.w.now, gHeard: a.w.now}
	if before := g.links[a]; before != nil {
		before.closeG()
	}
	g.links[a] = l
	a.links[g] = l
	g.c.AgentLinked(a.w.now, a.name, a.incarnation)
	a.perform(a.x.GatewayLinked(a.w.now, g.name, g.incarnation))
	l.sendToG(a.x.RequestPermit(a.w.now, g.name))
}

func (a *agent) unlinked(l *link) {
	if a.links[l.g] != l {
		return
	}
	delete(a.links, l.g)
	a.x.GatewayUnlinked(l.g.name)
	a.later(redial, l.g, func() {
		if a.links[l.g] == nil {
			a.dial(l.g)
		}
	})
}

func (a *agent) receive(l *link, message any) {
	if a.links[l.g] != l {
		return
	}
	now, name := a.w.now, l.g.name
	switch m := message.(type) {
	case *executor.Permit:
		a.x.HandlePermit(name, m)
	case *executor.Start:
		a.perform(a.x.HandleStart(now, name, m))
	case *executor.Stop:
		a.perform(a.x.HandleStop(now, name, m))
	case *executor.Backlog:
		a.perform(a.x.HandleBacklog(name, m))
	}
}

func (a *agent) perform(effects []executor.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case executor.Send:
			for _, g := range a.w.gateways {
				if l := a.links[g]; l != nil && g.name == e.To {
					l.sendToG(e.Message)
				}
			}
			if m, ok := e.Message.(*executor.Ended); ok {
				a.w.note("%s tells %s %s %s %s", a.name, e.To, m.Run, m.Outcome, m.Reason)
			}
		case executor.StartRun:
			a.worker.order(a, "begin "+e.Run.String(), func() executor.CallOutcome { return a.worker.begin(e) }, func(r executor.CallOutcome) {
				a.perform(a.x.HandleStartOutcome(a.w.now, e, r))
			})
		case executor.StopRun:
			a.worker.order(a, "halt "+e.Run.String(), func() executor.CallOutcome { return a.worker.halt(e) }, func(r executor.CallOutcome) {
				a.perform(a.x.HandleStopOutcome(a.w.now, e, r))
			})
		}
	}
}

// hold runs the loop that extends the worker's lease.
func (a *agent) hold() {
	h, ok := a.x.NextHold(a.w.now)
	if !ok {
		a.later(50*time.Millisecond, a, a.hold)
		return
	}
	var held executor.HoldReply
	a.worker.order(a, "hold", func() executor.CallOutcome {
		var r executor.CallOutcome
		held, r = a.worker.hold(h)
		return r
	}, func(r executor.CallOutcome) {
		if r == executor.Accepted {
			a.perform(a.x.HandleHoldReply(a.w.now, h, held))
		} else {
			a.perform(a.x.HoldFailed(a.w.now, h, r))
		}
		a.later(time.Duration(1+a.w.random.IntN(60))*time.Millisecond, a, a.hold)
	})
}
