package soaker

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
)

// forwarder passes connections on from one address to another, and harms them on demand.
// What it holds back is delivered late, or never if the connection is reset before.
type forwarder struct {
	from, to netip.AddrPort
	// deliverAfterClose makes it deliver also what it holds of a sender that has closed.
	deliverAfterClose bool

	mu    sync.Mutex
	impairment  impairment
	conns map[*forwardedConn]bool
	// opened counts all connections so far.
	opened int
	// changed is closed when harm changes.
	changed chan struct{}
}

// impairment is what a forwarder does to the bytes that it passes on.
type impairment struct {
	delay time.Duration
	// holdToTarget and holdFromTarget keep the bytes to and from the target.
	holdToTarget, holdFromTarget bool
	// everyNth is the distance between the connections that are harmed, in the order in which
	// they were opened. At zero all are.
	everyNth int
}

func (h impairment) holds(c *forwardedConn, back bool) bool {
	return h.affects(c) && (back && h.holdFromTarget || !back && h.holdToTarget)
}

func (h impairment) affects(c *forwardedConn) bool {
	return h.everyNth == 0 || c.number%h.everyNth == 0
}

// forwardedConn is a connection and the one that it is passed on to.
type forwardedConn struct {
	number  int
	in, out net.Conn
}

func (c *forwardedConn) close() {
	_ = c.in.Close()
	_ = c.out.Close()
}

// reset ends both connections in a way that shows as an error on the other side.
func (c *forwardedConn) reset() {
	for _, conn := range []net.Conn{c.in, c.out} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// A connection that is closed already needs no reset.
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}

func newForwarder(from, to netip.AddrPort, late bool) *forwarder {
	return &forwarder{from: from, to: to, deliverAfterClose: late, conns: make(map[*forwardedConn]bool), changed: make(chan struct{})}
}

// setImpairment changes the harm to all connections, present and future.
func (f *forwarder) setImpairment(h impairment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.impairment = h
	close(f.changed)
	f.changed = make(chan struct{})
}

// reset ends the connections that a harm strikes.
func (f *forwarder) reset(h impairment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if h.affects(c) {
			c.reset()
		}
	}
}

// resetAll ends all connections.
func (f *forwarder) resetAll() {
	f.reset(impairment{})
}

// run passes connections on until ctx ends.
func (f *forwarder) run(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, f.resetAll)
	defer stop()
	connector.Serve(ctx, ln, f.handleConn)
}

// handleConn is the task of one connection.
func (f *forwarder) handleConn(ctx context.Context, in net.Conn) {
	out, err := connector.DialTCP(ctx, f.to)
	c := &forwardedConn{in: in, out: out}
	if err != nil {
		// The caller sees the end of its connection, as with a process that has ended.
		_ = in.Close()
		return
	}
	f.mu.Lock()
	f.opened++
	c.number = f.opened
	f.conns[c] = true
	f.mu.Unlock()
	if ctx.Err() != nil {
		c.reset()
	}
	ended := make(chan struct{})
	go func() {
		f.relay(ctx, c, true)
		ended <- struct{}{}
	}()
	f.relay(ctx, c, false)
	<-ended
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

// relay passes the bytes of one direction on until a side closes.
func (f *forwarder) relay(ctx context.Context, c *forwardedConn, back bool) {
	from, to := c.in, c.out
	if back {
		from, to = c.out, c.in
	}
	chunks := make(chan []byte)
	stop := make(chan struct{})
	defer func() {
		close(stop)
		c.close()
		for range chunks {
			// The reader ends by closing the channel.
		}
	}()
	go readChunks(from, chunks, stop)
	source, held := chunks, []byte(nil)
	for source != nil || len(held) > 0 {
		h, changed := f.currentImpairment()
		if len(held) > 0 && !h.holds(c, back) {
			if h.affects(c) {
				sleep(ctx, h.delay)
			}
			if _, err := to.Write(held); err != nil {
				return
			}
			held = nil
			continue
		}
		select {
		case chunk, ok := <-source:
			if !ok && !f.deliverAfterClose {
				return
			}
			if !ok {
				source = nil
			}
			held = append(held, chunk...)
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// readChunks passes on what a connection brings until it or the receiver ends.
func readChunks(from net.Conn, chunks chan<- []byte, stop <-chan struct{}) {
	defer close(chunks)
	for {
		buffer := make([]byte, 32<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			select {
			case chunks <- buffer[:n]:
			case <-stop:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (f *forwarder) currentImpairment() (impairment, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.impairment, f.changed
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
