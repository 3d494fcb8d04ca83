package simulator

import "time"

// link is a connection between an agent and a gateway. Messages in one direction arrive in
// the order in which they were sent. Each end closes when it has received nothing for
// linkTimeout.
type link struct {
	sim     *simulation
	agent   *agent
	gateway *gateway
	// agentOpen and gatewayOpen are set while the respective end is open.
	agentOpen, gatewayOpen bool
	// agentLastHeard and gatewayLastHeard are when the respective end received a message
	// last.
	agentLastHeard, gatewayLastHeard time.Time
	// blackholed is set when the network drops the state of the connection: no message
	// passes any more, and neither end is told.
	blackholed bool
	// toAgent and toGateway hold the messages that were sent and not delivered.
	toAgent, toGateway []any
	// agentNextArrival and gatewayNextArrival are when the next message may arrive at the
	// respective end, so that messages keep their order.
	agentNextArrival, gatewayNextArrival time.Time
}

// blocked reports whether no message passes at present.
func (l *link) blocked() bool {
	return l.blackholed || l.agent.isolated || l.gateway.isolated
}

// delay returns a random network delay.
func (l *link) delay() time.Duration {
	return time.Duration(100+l.sim.random.IntN(1900)) * time.Microsecond
}

// sendToAgent sends a message of the gateway. It arrives after the earlier ones.
func (l *link) sendToAgent(m any) {
	if !l.gatewayOpen {
		return
	}
	l.sim.messages++
	l.toAgent = append(l.toAgent, m)
	at := l.sim.now.Add(l.gateway.sendDelay() + l.delay())
	if at.Before(l.agentNextArrival) {
		at = l.agentNextArrival
	}
	l.agentNextArrival = at
	l.sim.after(at.Sub(l.sim.now), l.deliverToAgent)
}

// sendToGateway sends a message of the agent. It arrives after the earlier ones.
func (l *link) sendToGateway(m any) {
	if !l.agentOpen {
		return
	}
	l.sim.messages++
	l.toGateway = append(l.toGateway, m)
	at := l.sim.now.Add(l.agent.sendDelay() + l.delay())
	if at.Before(l.gatewayNextArrival) {
		at = l.gatewayNextArrival
	}
	l.gatewayNextArrival = at
	l.sim.after(at.Sub(l.sim.now), l.deliverToGateway)
}

// deliverToAgent delivers the oldest message to the agent, unless the link is blocked.
func (l *link) deliverToAgent() {
	if l.blocked() || len(l.toAgent) == 0 {
		return
	}
	m := l.toAgent[0]
	l.toAgent = l.toAgent[1:]
	l.agent.deliver(l.agent.generation, l, func() {
		if l.agentOpen {
			l.agentLastHeard = l.sim.now
			l.agent.receive(l, m)
		}
	})
}

// deliverToGateway delivers the oldest message to the gateway, unless the link is blocked.
func (l *link) deliverToGateway() {
	if l.blocked() || len(l.toGateway) == 0 {
		return
	}
	m := l.toGateway[0]
	l.toGateway = l.toGateway[1:]
	l.gateway.deliver(l.gateway.generation, l, func() {
		if l.gatewayOpen {
			l.gatewayLastHeard = l.sim.now
			l.gateway.receive(l, m)
		}
	})
}

// resume schedules the delivery of the messages that were blocked.
func (l *link) resume() {
	for range len(l.toAgent) {
		l.sim.after(l.delay(), l.deliverToAgent)
	}
	for range len(l.toGateway) {
		l.sim.after(l.delay(), l.deliverToGateway)
	}
}

// reset closes both ends of the link, in either order.
func (l *link) reset() {
	if l.blocked() {
		return
	}
	l.agent.schedule(l.delay(), l, func() { l.closeAgentEnd() })
	l.gateway.schedule(l.delay(), l, func() { l.closeGatewayEnd() })
}

// closeAgentEnd closes the agent's end, and the gateway's end too unless the link is blocked.
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

// closeGatewayEnd closes the gateway's end, and the agent's end too unless the link is blocked.
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
