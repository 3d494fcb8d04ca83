package requester

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"gotest.tools/v3/assert"
)

// TestNoPostIsRepeated guards against a client that retries a POST after the server has
// closed the connection without a response, as a server does that crashes while it handles
// the request. The test server answers the first request only; it must receive two requests
// in all.
func TestNoPostIsRepeated(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	var received atomic.Int64
	ended := make(chan struct{})
	go serveOnce(ln, &received, ended)
	c, err := New()
	assert.NilError(t, err)
	send := func() error {
		req, resp := &protocol.Request{}, &protocol.Response{}
		req.SetMethod(http.MethodPost)
		req.SetRequestURI("http://" + ln.Addr().String() + "/")
		req.SetBodyString("{}")
		return c.Do(context.Background(), req, resp)
	}
	assert.NilError(t, send())
	assert.Assert(t, send() != nil)
	_ = ln.Close()
	<-ended
	assert.Equal(t, received.Load(), int64(2))
}

// serveOnce accepts connections until the listener is closed, and counts the requests on all
// of them. It answers only the first request.
func serveOnce(ln net.Listener, received *atomic.Int64, ended chan<- struct{}) {
	defer close(ended)
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if received.Add(1) > 1 {
				break
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
		_ = conn.Close()
	}
}
