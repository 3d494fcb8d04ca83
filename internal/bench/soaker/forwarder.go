package soaker

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
)

// forwarder is a TCP proxy that can impair the connections through it. Bytes that it holds
// back are delivered late, or never if the connection is reset first.
type forwarder struct {
	from, to netip.AddrPort
	// deliverAfterClose makes it deliver held bytes even if their sender has closed.
	deliverAfterClose bool

	mu         sync.Mutex
	impairment impairment
	conns      map[*forwardedConn]bool
	// opened counts the connections so far.
	opened int
	// changed is closed and replaced when impairment changes.
	changed chan struct{}
}

// impairment is what a forwarder does to connections. The zero value passes all bytes on at
// once.
type impairment struct {
	// delay is how long each chunk waits before it is passed on.
	delay time.Duration
	// holdToTarget and holdFromTarget hold back the bytes to and from the target.
	holdToTarget, holdFromTarget bool
	// everyNth limits the impairment to every n-th connection, in the order in which they were
	// opened. At zero it affects all.
	everyNth int
}

// holds reports whether the bytes of one direction of a connection are held back.
func (i impairment) holds(c *forwardedConn, fromTarget bool) bool {
	return i.affects(c) && (fromTarget && i.holdFromTarget || !fromTarget && i.holdToTarget)
}

// affects reports whether a connection is impaired.
func (i impairment) affects(c *forwardedConn) bool {
	return i.everyNth == 0 || c.number%i.everyNth == 0
}

// forwardedConn is an accepted connection and the connection to the target that it is forwarded
// to.
type forwardedConn struct {
	number  int
	in, out net.Conn
}

func (c *forwardedConn) close() {
	_ = c.in.Close()
	_ = c.out.Close()
}

// reset closes both connections so that the peers see an error and no orderly end.
func (c *forwardedConn) reset() {
	for _, conn := range []net.Conn{c.in, c.out} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// A connection that is already closed needs no reset.
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}

func newForwarder(from, to netip.AddrPort, deliverAfterClose bool) *forwarder {
	return &forwarder{from: from, to: to, deliverAfterClose: deliverAfterClose, conns: make(map[*forwardedConn]bool), changed: make(chan struct{})}
}

// setImpairment replaces the impairment of current and future connections.
func (f *forwarder) setImpairment(imp impairment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.impairment = imp
	close(f.changed)
	f.changed = make(chan struct{})
}

// reset resets the connections that an impairment affects.
func (f *forwarder) reset(imp impairment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if imp.affects(c) {
			c.reset()
		}
	}
}

// resetAll resets all connections.
func (f *forwarder) resetAll() {
	f.reset(impairment{})
}

// run accepts and forwards connections until ctx ends.
func (f *forwarder) run(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, f.resetAll)
	defer stop()
	connector.Serve(ctx, ln, f.handleConn)
}

// handleConn forwards one connection in both directions until it ends.
func (f *forwarder) handleConn(ctx context.Context, in net.Conn) {
	out, err := connector.DialTCP(ctx, f.to)
	c := &forwardedConn{in: in, out: out}
	if err != nil {
		// The client sees its connection close, as if the target process had ended.
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

// relay copies the bytes of one direction, subject to the impairment, until either side closes.
// It closes the whole connection at the end.
func (f *forwarder) relay(ctx context.Context, c *forwardedConn, fromTarget bool) {
	from, to := c.in, c.out
	if fromTarget {
		from, to = c.out, c.in
	}
	chunks := make(chan []byte)
	stop := make(chan struct{})
	defer func() {
		close(stop)
		c.close()
		for range chunks {
			// Wait for readChunks to close the channel.
		}
	}()
	go readChunks(from, chunks, stop)
	source, held := chunks, []byte(nil)
	for source != nil || len(held) > 0 {
		imp, changed := f.currentImpairment()
		if len(held) > 0 && !imp.holds(c, fromTarget) {
			if imp.affects(c) {
				sleep(ctx, imp.delay)
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

// readChunks sends what it reads from a connection to chunks until the connection ends or stop is
// closed. It closes chunks at the end.
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

// currentImpairment returns the impairment and a channel that is closed when it changes.
func (f *forwarder) currentImpairment() (impairment, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.impairment, f.changed
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
