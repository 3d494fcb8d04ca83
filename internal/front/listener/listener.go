// Package listener makes the HTTP servers of all roles alike: one task for each
// connection, and a stop that cuts off no request in flight.
package listener

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
)

// MaxBodyBytes is the largest body of a request that is served, in bytes. A body of up
// to maxReadBytes bytes is read, so that its sender gets an answer that says so.
const (
	MaxBodyBytes = 4 << 20
	maxReadBytes = 2 * MaxBodyBytes
)

// shutdownTimeout bounds how long a stop waits for requests in flight.
const shutdownTimeout = 60 * time.Second

// idleTimeout is how long a connection without a request stays open.
const idleTimeout = 60 * time.Second

// Server is an HTTP server on one port.
type Server struct {
	*server.Hertz

	conns *idleTracker
}

// silenceLibrary keeps the HTTP library from writing lines of its own form into
// our log. Its level is global and may be set only once.
var silenceLibrary = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

// Listen opens a port.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	return ln, errors.Wrapf(err, "listen on %s; choose a free port in the settings", addr)
}

// ListenAll opens several ports, or none.
func ListenAll(addrs ...netip.AddrPort) ([]net.Listener, error) {
	lns := make([]net.Listener, 0, len(addrs))
	for _, addr := range addrs {
		ln, err := Listen(addr)
		if err != nil {
			for _, open := range lns {
				_ = open.Close()
			}
			return nil, err
		}
		lns = append(lns, ln)
	}
	return lns, nil
}

// Addr returns the address of an open port.
func Addr(ln net.Listener) netip.AddrPort {
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// NewServer returns a server on ln without routes.
func NewServer(ln net.Listener, more ...config.Option) *Server {
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
	return &Server{server.New(append(options, more...)...), conns}
}

// Run serves until ctx ends, then waits for the requests in flight.
func (s *Server) Run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- s.Hertz.Run() }()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve HTTP")
	case <-ctx.Done():
	}
	limit := time.NewTimer(shutdownTimeout)
	defer limit.Stop()
	select {
	case <-s.conns.stop():
		return nil
	case <-limit.C:
		return errors.Errorf("requests were still in flight %s after the stop; look for one that never ends", shutdownTimeout)
	}
}
