package injector

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// messageLatency is the one-way delay of a message, and of a request to the table service
// or its reply.
const messageLatency = time.Millisecond

// network is a fake network in memory and virtual time. It delays everything that is
// written by messageLatency, or drops it where a test says so. Only the connections are
// fake; the code that uses them is real.
type network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	conns     []*conn
	// dropped holds the directions in which everything that is written is dropped.
	dropped map[direction]bool
	// blackholed holds the connection ends at which everything that is written is dropped.
	// New connections between the same processes work.
	blackholed map[*conn]bool
}

// direction identifies the messages from one process to another.
type direction struct{ from, to *gate }

func newNetwork() *network {
	return &network{
		listeners:  make(map[netip.AddrPort]*listener),
		dropped:    make(map[direction]bool),
		blackholed: make(map[*conn]bool),
	}
}

// setDropped sets whether messages from one process to another are dropped.
func (n *network) setDropped(from, to *gate, dropped bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped[direction{from, to}] = dropped
}

// blackhole drops, from now on, everything that is written to the connections which are
// open between two processes. The connections stay open.
func (n *network) blackhole(a, b *gate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if (c.self == a && c.peer == b) || (c.self == b && c.peer == a) {
			n.blackholed[c] = true
		}
	}
}

// isDropped reports whether what is written to c is dropped.
func (n *network) isDropped(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blackholed[c] || n.dropped[direction{c.self, c.peer}]
}

// closeAll closes the connections of a process.
func (n *network) closeAll(g *gate) {
	n.mu.Lock()
	conns := append([]*conn(nil), n.conns...)
	n.mu.Unlock()
	for _, c := range conns {
		if c.self == g {
			_ = c.Close()
		}
	}
}

// listener is the net.Listener of a process.
type listener struct {
	net    *network
	gate   *gate
	addr   netip.AddrPort
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// listen opens a listener, in place of an earlier one with the same address.
func (n *network) listen(g *gate, addr netip.AddrPort) net.Listener {
	l := &listener{net: n, gate: g, addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// dialer returns the function with which a process dials. The dial hangs until its context
// ends if the messages in either direction are dropped.
func (n *network) dialer(g *gate) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if err := g.pass(ctx); err != nil {
			return nil, err
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil || l.gate.isKilled() {
			return nil, errors.New("connection refused")
		}
		n.mu.Lock()
		dropped := n.dropped[direction{g, l.gate}] || n.dropped[direction{l.gate, g}]
		n.mu.Unlock()
		if dropped {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		near, far := n.connect(g, l.gate)
		select {
		case l.conns <- far:
			return near, nil
		case <-l.closed:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// connect returns the two ends of a new connection.
func (n *network) connect(a, b *gate) (*conn, *conn) {
	ab, ba := newStream(), newStream()
	near := &conn{net: n, self: a, peer: b, in: ba, out: ab}
	far := &conn{net: n, self: b, peer: a, in: ab, out: ba}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, near, far)
	return near, far
}

// stream is one direction of a connection.
type stream struct {
	mu     sync.Mutex
	chunks []chunk
	closed bool
	// changed is closed and replaced at each change of the fields above.
	changed chan struct{}
}

// chunk is the data of one write, which can be read from due on.
type chunk struct {
	due  time.Time
	data []byte
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// update applies f and wakes the reader.
func (s *stream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// read copies data that is due into b. If there is none, n is 0 and the other results say
// what to wait for: due is when the next chunk is due, or zero if there is no chunk,
// changed is closed at the next change, and closed means that no more data will come.
func (s *stream) read(b []byte) (n int, due time.Time, changed <-chan struct{}, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.chunks) == 0 {
		return 0, time.Time{}, s.changed, s.closed
	}
	c := &s.chunks[0]
	if time.Now().Before(c.due) {
		return 0, c.due, s.changed, false
	}
	n = copy(b, c.data)
	if c.data = c.data[n:]; len(c.data) == 0 {
		s.chunks = s.chunks[1:]
	}
	return n, time.Time{}, s.changed, false
}

// conn is one end of a connection.
type conn struct {
	net        *network
	self, peer *gate
	in, out    *stream

	mu sync.Mutex
	// deadline is the read deadline.
	deadline time.Time
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		if err := c.self.pass(context.Background()); err != nil {
			return 0, err
		}
		n, due, changed, closed := c.in.read(b)
		if n > 0 {
			return n, nil
		}
		if closed {
			return 0, io.EOF
		}
		c.mu.Lock()
		wake := c.deadline
		c.mu.Unlock()
		if !wake.IsZero() && !time.Now().Before(wake) {
			return 0, os.ErrDeadlineExceeded
		}
		if wake.IsZero() || (!due.IsZero() && due.Before(wake)) {
			wake = due
		}
		wait(wake, changed)
	}
}

// wait returns when changed is closed, or at the given time unless that is zero.
func wait(until time.Time, changed <-chan struct{}) {
	if until.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func (c *conn) Write(b []byte) (int, error) {
	if err := c.self.pass(context.Background()); err != nil {
		return 0, err
	}
	c.out.mu.Lock()
	closed := c.out.closed
	c.out.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	if !c.net.isDropped(c) {
		data := append([]byte(nil), b...)
		c.out.update(func() { c.out.chunks = append(c.out.chunks, chunk{time.Now().Add(messageLatency), data}) })
	}
	return len(b), nil
}

func (c *conn) Close() error {
	c.out.update(func() { c.out.closed = true })
	c.in.update(func() { c.in.closed, c.in.chunks = true, nil })
	return nil
}

func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

func (c *conn) SetWriteDeadline(time.Time) error { return nil }
func (c *conn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *conn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
