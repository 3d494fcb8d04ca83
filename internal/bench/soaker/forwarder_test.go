package soaker

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
)

// path is a connection through a forwarder, with its client end and its target end.
type path struct {
	forwarder      *forwarder
	client, server net.Conn
}

// openPath starts a forwarder and opens a connection through it.
func openPath(t *testing.T, deliverAfterClose bool) *path {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	target, err := listener.Listen(loopback)
	assert.NilError(t, err)
	ln, err := listener.Listen(loopback)
	assert.NilError(t, err)
	f := newForwarder(listener.Addr(ln), listener.Addr(target), deliverAfterClose)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		f.run(ctx, ln)
		close(ended)
	}()
	client, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	server, err := target.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		stop()
		<-ended
		_ = client.Close()
		_ = server.Close()
		_ = target.Close()
	})
	return &path{f, client, server}
}

// receive returns the next bytes that arrive, or "nothing" if none arrive within the timeout,
// "closed" at an orderly end and "reset" after any other error.
func receive(t *testing.T, conn net.Conn, timeout time.Duration) string {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(timeout)))
	buffer := make([]byte, 64)
	n, err := conn.Read(buffer)
	switch {
	case n > 0:
		return string(buffer[:n])
	case err == io.EOF:
		return "closed"
	}
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		return "nothing"
	}
	return "reset"
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

const (
	// arrivalTimeout is more than loopback needs; within holdTimeout a byte that is not held
	// back would have arrived.
	arrivalTimeout = 5 * time.Second
	holdTimeout    = 60 * time.Millisecond
)

// TestForwarder checks the effect of each impairment on the two directions of a connection.
func TestForwarder(t *testing.T) {
	p := openPath(t, false)
	send(t, p.client, "one")
	assert.Equal(t, receive(t, p.server, arrivalTimeout), "one")
	p.forwarder.setImpairment(impairment{holdToTarget: true})
	send(t, p.client, "two")
	send(t, p.server, "back")
	assert.Equal(t, receive(t, p.client, arrivalTimeout), "back")
	assert.Equal(t, receive(t, p.server, holdTimeout), "nothing")
	p.forwarder.setImpairment(impairment{delay: chunkDelay})
	assert.Equal(t, receive(t, p.server, arrivalTimeout), "two")
	p.forwarder.resetAll()
	assert.Assert(t, receive(t, p.server, arrivalTimeout) != "nothing")
	assert.Assert(t, receive(t, p.client, arrivalTimeout) != "nothing")
}

// TestSenderClosed checks that held bytes whose sender has closed are delivered only with
// deliverAfterClose.
func TestSenderClosed(t *testing.T) {
	for _, deliverAfterClose := range []bool{false, true} {
		p := openPath(t, deliverAfterClose)
		p.forwarder.setImpairment(impairment{holdToTarget: true})
		send(t, p.client, "order")
		assert.Equal(t, receive(t, p.server, holdTimeout), "nothing")
		assert.NilError(t, p.client.Close())
		time.Sleep(holdTimeout)
		p.forwarder.setImpairment(impairment{})
		if deliverAfterClose {
			assert.Equal(t, receive(t, p.server, arrivalTimeout), "order")
		}
		assert.Equal(t, receive(t, p.server, arrivalTimeout), "closed")
	}
}
