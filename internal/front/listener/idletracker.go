package listener

import (
	"io"
	"net"
	"sync"
)

// idleTracker is a listener that tracks which of its connections are idle, so that stop can
// close the idle ones at once and let the others finish. A connection is idle from the
// moment the server starts to read the next request until the first byte of that request
// arrives.
type idleTracker struct {
	net.Listener

	mu       sync.Mutex
	stopping bool
	conns    map[*idleConn]bool
	// drained is closed once the listener is stopping and has no connections left.
	drained chan struct{}
}

func newIdleTracker(ln net.Listener) *idleTracker {
	return &idleTracker{Listener: ln, conns: make(map[*idleConn]bool), drained: make(chan struct{})}
}

// Accept returns the next connection, which is idle at first.
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

// stop closes the listener and its idle connections. The other connections end when they
// become idle. The returned channel is closed once no connection is left.
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

// checkDrained closes drained if the listener is stopping and has no connections left. The
// caller holds the lock.
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

// idleConn is a connection of an idleTracker. Its fields are guarded by the tracker's mutex.
type idleConn struct {
	net.Conn

	tracker *idleTracker
	idle    bool
	// responded is set from the first write of a response until the next read.
	responded bool
}

// Read marks the connection as idle if a response was written since the last read, and as
// busy once data arrives. On an idle connection of a stopping listener it returns io.EOF.
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

// beginRead marks the connection as idle if a response was written since the last read. It
// reports false if the connection is idle and the listener is stopping.
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

// Write records that a response is being written.
func (c *idleConn) Write(b []byte) (int, error) {
	c.tracker.mu.Lock()
	c.responded = true
	c.tracker.mu.Unlock()
	return c.Conn.Write(b)
}

// Close closes the connection and removes it from the tracker.
func (c *idleConn) Close() error {
	err := c.Conn.Close()
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	delete(c.tracker.conns, c)
	c.tracker.checkDrained()
	return err
}
