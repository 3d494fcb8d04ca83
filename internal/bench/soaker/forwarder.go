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
	// late makes it deliver also what it holds of a sender that has closed.
	late bool

	mu    sync.Mutex
	harm  harm
	conns map[*forwarded]bool
	// opened counts all connections so far.
	opened int
	// changed is closed when harm changes.
	changed chan struct{}
}

// harm is what a forwarder does to the bytes that it passes on.
type harm struct {
	delay time.Duration
	// holdTo and holdBack keep the bytes to and from the target.
	holdTo, holdBack bool
	// every is the distance between the connections that are harmed, in the order in which
	// they were opened. At zero all are.
	every int
}

func (h harm) holds(c *forwarded, back bool) bool {
	return h.strikes(c) && (back && h.holdBack || !back && h.holdTo)
}

func (h harm) strikes(c *forwarded) bool {
	return h.every == 0 || c.number%h.every == 0
}

// forwarded is a connection and the one that it is passed on to.
type forwarded struct {
	number  int
	in, out net.Conn
}

func (c *forwarded) close() {
	_ = c.in.Close()
	_ = c.out.Close()
}

// reset ends both connections in a way that shows as an error on the other side.
func (c *forwarded) reset() {
	for _, conn := range []net.Conn{c.in, c.out} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// A connection that is closed already needs no reset.
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}

func newForwarder(from, to netip.AddrPort, late bool) *forwarder {
	return &forwarder{from: from, to: to, late: late, conns: make(map[*forwarded]bool), changed: make(chan struct{})}
}

// set changes the harm to all connections, present and future.
func (f *forwarder) set(h harm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.harm = h
	close(f.changed)
	f.changed = make(chan struct{})
}

// reset ends the connections that a harm strikes.
func (f *forwarder) reset(h harm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if h.strikes(c) {
			c.reset()
		}
	}
}

// resetAll ends all connections.
func (f *forwarder) resetAll() {
	f.reset(harm{})
}

// run passes connections on until ctx ends.
func (f *forwarder) run(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, f.resetAll)
	defer stop()
	connector.Serve(ctx, ln, f.pass)
}

// pass is the task of one connection.
func (f *forwarder) pass(ctx context.Context, in net.Conn) {
	out, err := connector.DialTCP(ctx, f.to)
	c := &forwarded{in: in, out: out}
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
		f.pump(ctx, c, true)
		ended <- struct{}{}
	}()
	f.pump(ctx, c, false)
	<-ended
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

// pump passes the bytes of one direction on until a side closes.
func (f *forwarder) pump(ctx context.Context, c *forwarded, back bool) {
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
	go read(from, chunks, stop)
	source, held := chunks, []byte(nil)
	for source != nil || len(held) > 0 {
		h, changed := f.present()
		if len(held) > 0 && !h.holds(c, back) {
			if h.strikes(c) {
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
			if !ok && !f.late {
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

// read passes on what a connection brings until it or the receiver ends.
func read(from net.Conn, chunks chan<- []byte, stop <-chan struct{}) {
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

func (f *forwarder) present() (harm, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.harm, f.changed
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
