package listener

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"gotest.tools/v3/assert"
)

// TestPanicEndsRequest makes a handler panic. The request is answered with an error, and the
// server serves the next one.
func TestPanicEndsRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(ln)
	s.GET("/panic", func(context.Context, *app.RequestContext) { panic("unexpected") })
	s.GET("/fine", func(_ context.Context, rc *app.RequestContext) { rc.SetStatusCode(consts.StatusOK) })
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	client := http.Client{Timeout: 5 * time.Second}
	for path, status := range map[string]int{"/panic": 500, "/fine": 200} {
		for range 2 {
			resp, err := client.Get("http://" + ln.Addr().String() + path)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, resp.StatusCode, status, path)
		}
	}
	client.CloseIdleConnections()
	stop()
	assert.NilError(t, <-ended)
}
