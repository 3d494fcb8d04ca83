// Package listener provides the HTTP server of all roles. It runs one goroutine per
// connection, and stops without interrupting requests in flight.
package listener

import (
	"context"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// MaxBodyBytes is the largest request body that is served. Bodies of up to maxReadBytes are
// still read, so that the sender gets a response that states the limit.
const (
	MaxBodyBytes = 4 << 20
	maxReadBytes = 2 * MaxBodyBytes
)

// shutdownTimeout bounds how long a stopping server waits for requests in flight.
const shutdownTimeout = 60 * time.Second

// idleTimeout is how long an idle connection is kept open.
const idleTimeout = 60 * time.Second

// Server is an HTTP server on one port.
type Server struct {
	*server.Hertz
	// Log receives the panics of handlers. It may be nil.
	Log *zap.Logger

	conns *idleTracker
}

// silenceLibrary keeps the HTTP library from writing log lines in its own format. The log
// level of the library is global and may be set only once.
var silenceLibrary = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

// Listen opens a TCP port.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	return ln, errors.Wrapf(err, "listen on %s; choose a free port in the settings", addr)
}

// ListenAll opens several TCP ports. If one cannot be opened, it closes those that are
// open.
func ListenAll(addrs ...netip.AddrPort) ([]net.Listener, error) {
	lns := make([]net.Listener, 0, len(addrs))
	for _, addr := range addrs {
		ln, err := Listen(addr)
		if err != nil {
			for _, opened := range lns {
				_ = opened.Close()
			}
			return nil, err
		}
		lns = append(lns, ln)
	}
	return lns, nil
}

// Addr returns the address of a listener.
func Addr(ln net.Listener) netip.AddrPort {
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// NewServer returns a server on ln without routes. Its own options come before the given
// ones.
func NewServer(ln net.Listener, extra ...config.Option) *Server {
	silenceLibrary()
	conns := newIdleTracker(ln)
	options := []config.Option{
		server.WithListener(conns),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxReadBytes),
		server.WithExitWaitTime(shutdownTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true),
		server.WithHandleMethodNotAllowed(true),
	}
	s := &Server{Hertz: server.New(append(options, extra...)...), conns: conns}
	s.Use(s.recoverPanic)
	return s
}

// recoverPanic answers a request whose handler panics, so that it ends that request and not the
// process. The outcome of the request is unknown, and the answer says no more.
func (s *Server) recoverPanic(ctx context.Context, rc *app.RequestContext) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if s.Log != nil {
			s.Log.Error("request_panicked", zap.ByteString("method", rc.Method()), zap.ByteString("path", rc.Path()), zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
		}
		rc.Response.Reset()
		rc.SetConnectionClose()
		rc.AbortWithMsg("the request failed unexpectedly; its outcome is unknown", consts.StatusInternalServerError)
	}()
	rc.Next(ctx)
}

// Run serves until ctx ends, and then waits for the requests in flight, for at most
// shutdownTimeout.
func (s *Server) Run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- s.Hertz.Run() }()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve HTTP")
	case <-ctx.Done():
	}
	timeout := time.NewTimer(shutdownTimeout)
	defer timeout.Stop()
	select {
	case <-s.conns.stop():
		return nil
	case <-timeout.C:
		return errors.Errorf("requests still in flight %s after the server began to stop; look for one that never ends", shutdownTimeout)
	}
}
