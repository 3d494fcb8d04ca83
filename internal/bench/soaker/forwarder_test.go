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

// path is a connection through a forwarder, with both its ends.
type path struct {
	forwarder *forwarder
	near, far net.Conn
}

func openPath(t *testing.T, late bool) *path {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	target, err := listener.Listen(loopback)
	assert.NilError(t, err)
	ln, err := listener.Listen(loopback)
	assert.NilError(t, err)
	f := newForwarder(listener.Addr(ln), listener.Addr(target), late)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		f.run(ctx, ln)
		close(ended)
	}()
	near, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	far, err := target.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		stop()
		<-ended
		_ = near.Close()
		_ = far.Close()
		_ = target.Close()
	})
	return &path{f, near, far}
}

// receive returns what comes within a time, or why nothing does.
func receive(t *testing.T, conn net.Conn, wait time.Duration) string {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	buffer := make([]byte, 64)
	n, err := conn.Read(buffer)
	switch {
	case n > 0:
		return string(buffer[:n])
	case err == io.EOF:
		return "closed"
	}
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
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
	// soon is more than a loopback needs, and briefly is a time in which a held byte would
	// have come.
	soon    = 5 * time.Second
	briefly = 60 * time.Millisecond
)

// TestForwarder holds what each harm does to the two directions of a connection.
func TestForwarder(t *testing.T) {
	p := openPath(t, false)
	send(t, p.near, "one")
	assert.Equal(t, receive(t, p.far, soon), "one")
	p.forwarder.setImpairment(impairment{holdToTarget: true})
	send(t, p.near, "two")
	send(t, p.far, "back")
	assert.Equal(t, receive(t, p.near, soon), "back")
	assert.Equal(t, receive(t, p.far, briefly), "nothing")
	p.forwarder.setImpairment(impairment{delay: slowPathDelay})
	assert.Equal(t, receive(t, p.far, soon), "two")
	p.forwarder.resetAll()
	assert.Assert(t, receive(t, p.far, soon) != "nothing")
	assert.Assert(t, receive(t, p.near, soon) != "nothing")
}

// TestSenderGone shows what becomes of held bytes whose sender has closed.
func TestSenderGone(t *testing.T) {
	for _, late := range []bool{false, true} {
		p := openPath(t, late)
		p.forwarder.setImpairment(impairment{holdToTarget: true})
		send(t, p.near, "order")
		assert.Equal(t, receive(t, p.far, briefly), "nothing")
		assert.NilError(t, p.near.Close())
		time.Sleep(briefly)
		p.forwarder.setImpairment(impairment{})
		if late {
			assert.Equal(t, receive(t, p.far, soon), "order")
		}
		assert.Equal(t, receive(t, p.far, soon), "closed")
	}
}
