package listener

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"
)

// TestPeerConnected closes a connection while its request is handled. It guards against work for
// callers that have left: the server does not read the close, as a server that is short of
// processor time.
func TestPeerConnected(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(ln, WithPeerState())
	handled, look := make(chan context.Context), make(chan struct{})
	s.GET("/", func(ctx context.Context, _ *app.RequestContext) {
		handled <- ctx
		<-look
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	for _, test := range []struct {
		name string
		// leave closes the connection or not.
		leave     func(*net.TCPConn)
		connected bool
	}{
		{"stays", func(*net.TCPConn) {}, true},
		{"sends more", func(c *net.TCPConn) { fmt.Fprint(c, "GET / HTTP/1.1\r\n") }, true},
		{"closes", func(c *net.TCPConn) { _ = c.Close() }, false},
		{"resets", func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }, false},
	} {
		conn, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		request := <-handled
		assert.Assert(t, PeerConnected(request), test.name)
		test.leave(conn.(*net.TCPConn))
		// Loopback delivers at once, but not within the call.
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, PeerConnected(request), test.connected, test.name)
		assert.NilError(t, request.Err(), test.name)
		look <- struct{}{}
		if test.connected {
			_, err = bufio.NewReader(conn).ReadString('\n')
			assert.NilError(t, err, test.name)
		}
		_ = conn.Close()
	}
	stop()
	assert.NilError(t, <-ended)
}
