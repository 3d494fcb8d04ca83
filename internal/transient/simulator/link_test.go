package simulator

import "time"

// link is a connection between an agent and a gateway. Messages of one direction arrive
// in their order. Each end closes when it has heard nothing for too long.
type link struct {
	w *world
	a *agent
	g *gateway
	// aOpen and gOpen tell whether the ends are open.
	aOpen, gOpen   bool
	aHeard, gHeard time.Time
	// mute is set when the network has lost track of the connection.
	mute bool
	// waiting are messages that cannot pass at present.
	toA, toG []any
	// free is when the next message of each direction may arrive.
	freeA, freeG time.Time
}

func (l *link) blocked() bool {
	return l.mute || l.a.cut || l.g.cut
}

func (l *link) delay() time.Duration {
	return time.Duration(100+l.w.random.IntN(1900)) * time.Microsecond
}

// sendToA passes a message of the gateway.
func (l *link) sendToA(m any) {
	if !l.gOpen {
		return
	}
	l.toA = append(l.toA, m)
	at := l.w.now.Add(l.delay())
	if at.Before(l.freeA) {
		at = l.freeA
	}
	l.freeA = at
	l.w.after(at.Sub(l.w.now), l.pumpA)
}

func (l *link) sendToG(m any) {
	if !l.aOpen {
		return
	}
	l.toG = append(l.toG, m)
	at := l.w.now.Add(l.delay())
	if at.Before(l.freeG) {
		at = l.freeG
	}
	l.freeG = at
	l.w.after(at.Sub(l.w.now), l.pumpG)
}

func (l *link) pumpA() {
	if l.blocked() || len(l.toA) == 0 {
		return
	}
	m := l.toA[0]
	l.toA = l.toA[1:]
	l.a.deliver(l.a.life, l, func() {
		if l.aOpen {
			l.aHeard = l.w.now
			l.a.receive(l, m)
		}
	})
}

func (l *link) pumpG() {
	if l.blocked() || len(l.toG) == 0 {
		return
	}
	m := l.toG[0]
	l.toG = l.toG[1:]
	l.g.deliver(l.g.life, l, func() {
		if l.gOpen {
			l.gHeard = l.w.now
			l.g.receive(l, m)
		}
	})
}

// heal lets pass what waits.
func (l *link) heal() {
	for range len(l.toA) {
		l.w.after(l.delay(), l.pumpA)
	}
	for range len(l.toG) {
		l.w.after(l.delay(), l.pumpG)
	}
}

// reset ends the link at both ends, which learn of it in any order.
func (l *link) reset() {
	if l.blocked() {
		return
	}
	l.a.later(l.delay(), l, func() { l.closeA() })
	l.g.later(l.delay(), l, func() { l.closeG() })
}

// closeA ends the agent's end, and the other one when the network lets it know.
func (l *link) closeA() {
	if !l.aOpen {
		return
	}
	l.aOpen = false
	l.a.unlinked(l)
	if !l.blocked() {
		l.g.later(l.delay(), l, func() { l.closeG() })
	}
}

func (l *link) closeG() {
	if !l.gOpen {
		return
	}
	l.gOpen = false
	l.g.unlinked(l)
	if !l.blocked() {
		l.a.later(l.delay(), l, func() { l.closeA() })
	}
}
