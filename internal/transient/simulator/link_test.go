package simulator

import "time"

// link is a connection between an agent and a gateway. Messages of one direction arrive
// in their order. Each end closes when it has heard nothing for too long.
type link struct {
	sim *simulation
	agent *agent
	gateway *gateway
	// agentOpen and gatewayOpen tell whether the ends are open.
	agentOpen, gatewayOpen   bool
	agentLastHeard, gatewayLastHeard time.Time
	// blackholed is set when the network has lost track of the connection.
	blackholed bool
	// waiting are messages that cannot pass at present.
	toAgent, toGateway []any
	// free is when the next message of each direction may arrive.
	agentNextArrival, gatewayNextArrival time.Time
}

func (l *link) blocked() bool {
	return l.blackholed || l.agent.isolated || l.gateway.isolated
}

func (l *link) delay() time.Duration {
	return time.Duration(100+l.sim.random.IntN(1900)) * time.Microsecond
}

// sendToAgent passes a message of the gateway.
func (l *link) sendToAgent(m any) {
	if !l.gatewayOpen {
		return
	}
	l.toAgent = append(l.toAgent, m)
	at := l.sim.now.Add(l.delay())
	if at.Before(l.agentNextArrival) {
		at = l.agentNextArrival
	}
	l.agentNextArrival = at
	l.sim.after(at.Sub(l.sim.now), l.deliverToAgent)
}

func (l *link) sendToGateway(m any) {
	if !l.agentOpen {
		return
	}
	l.toGateway = append(l.toGateway, m)
	at := l.sim.now.Add(l.delay())
	if at.Before(l.gatewayNextArrival) {
		at = l.gatewayNextArrival
	}
	l.gatewayNextArrival = at
	l.sim.after(at.Sub(l.sim.now), l.deliverToGateway)
}

func (l *link) deliverToAgent() {
	if l.blocked() || len(l.toAgent) == 0 {
		return
	}
	m := l.toAgent[0]
	l.toAgent = l.toAgent[1:]
	l.agent.deliver(l.agent.boots, l, func() {
		if l.agentOpen {
			l.agentLastHeard = l.sim.now
			l.agent.receive(l, m)
		}
	})
}

func (l *link) deliverToGateway() {
	if l.blocked() || len(l.toGateway) == 0 {
		return
	}
	m := l.toGateway[0]
	l.toGateway = l.toGateway[1:]
	l.gateway.deliver(l.gateway.boots, l, func() {
		if l.gatewayOpen {
			l.gatewayLastHeard = l.sim.now
			l.gateway.receive(l, m)
		}
	})
}

// resume lets pass what waits.
func (l *link) resume() {
	for range len(l.toAgent) {
		l.sim.after(l.delay(), l.deliverToAgent)
	}
	for range len(l.toGateway) {
		l.sim.after(l.delay(), l.deliverToGateway)
	}
}

// reset ends the link at both ends, which learn of it in any order.
func (l *link) reset() {
	if l.blocked() {
		return
	}
	l.agent.schedule(l.delay(), l, func() { l.closeAgentEnd() })
	l.gateway.schedule(l.delay(), l, func() { l.closeGatewayEnd() })
}

// closeAgentEnd ends the agent's end, and the other one when the network lets it know.
func (l *link) closeAgentEnd() {
	if !l.agentOpen {
		return
	}
	l.agentOpen = false
	l.agent.linkClosed(l)
	if !l.blocked() {
		l.gateway.schedule(l.delay(), l, func() { l.closeGatewayEnd() })
	}
}

func (l *link) closeGatewayEnd() {
	if !l.gatewayOpen {
		return
	}
	l.gatewayOpen = false
	l.gateway.linkClosed(l)
	if !l.blocked() {
		l.agent.schedule(l.delay(), l, func() { l.closeAgentEnd() })
	}
}
