package listener

import (
	"io"
	"net"
	"sync"
)

// idleTracker is a listener that knows which of its connections are idle, so that a
// stop can close those at once and leave the others to finish. A connection is
// idle from the moment the server reads for the next request until the first
// byte of that request has come.
type idleTracker struct {
	net.Listener

	mu       sync.Mutex
	stopping bool
	conns    map[*idleConn]bool
	// drained is closed when the listener is stopping and has no connections left.
	drained chan struct{}
}

func newIdleTracker(ln net.Listener) *idleTracker {
	return &idleTracker{Listener: ln, conns: make(map[*idleConn]bool), drained: make(chan struct{})}
}

// Accept returns the next connection.
func (l *idleTracker) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &idleConn{Conn: conn, tracker: l, idle: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// stop closes the idle connections now and each other one when it gets idle. The
// channel is closed when none is left.
func (l *idleTracker) stop() <-chan struct{} {
	_ = l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	for c := range l.conns {
		if c.idle {
			_ = c.Conn.Close()
		}
	}
	l.checkDrained()
	return l.drained
}

func (l *idleTracker) checkDrained() {
	if !l.stopping || len(l.conns) > 0 {
		return
	}
	select {
	case <-l.drained:
	default:
		close(l.drained)
	}
}

type idleConn struct {
	net.Conn

	tracker   *idleTracker
	idle      bool
	responded bool
}

// Read begins an idle time if a response was written before it, and ends it with
// the first byte.
func (c *idleConn) Read(b []byte) (int, error) {
	if !c.beginRead() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.setIdle(false)
	}
	return n, err
}

// beginRead reports false when the connection is idle and the listener stops.
func (c *idleConn) beginRead() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.responded {
		c.idle, c.responded = true, false
	}
	return !c.idle || !c.tracker.stopping
}

func (c *idleConn) setIdle(idle bool) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.idle = idle
}

// Write notes that a response is under way.
func (c *idleConn) Write(b []byte) (int, error) {
	c.tracker.mu.Lock()
	c.responded = true
	c.tracker.mu.Unlock()
	return c.Conn.Write(b)
}

// Close closes the connection and forgets it.
func (c *idleConn) Close() error {
	err := c.Conn.Close()
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	delete(c.tracker.conns, c)
	c.tracker.checkDrained()
	return err
}
