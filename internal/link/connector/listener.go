package connector

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// acceptRetryPause is the pause after a failed accept, for example when the process has
// run out of file descriptors.
const acceptRetryPause = 50 * time.Millisecond

// Serve accepts connections on ln and runs serve for each connection in a goroutine of
// its own. It closes ln when ctx ends, and returns when all goroutines have ended.
func Serve(ctx context.Context, ln net.Listener, serve func(context.Context, net.Conn)) {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	accepted := make(chan net.Conn)
	go acceptLoop(ctx, ln, accepted)
	ended := make(chan struct{})
	running := 0
	for accepted != nil || running > 0 {
		select {
		case conn, ok := <-accepted:
			if !ok {
				accepted = nil
				continue
			}
			running++
			go func() {
				serve(ctx, conn)
				ended <- struct{}{}
			}()
		case <-ended:
			running--
		}
	}
}

// acceptLoop sends accepted connections on the channel until the listener is closed, and
// closes the channel then.
func acceptLoop(ctx context.Context, ln net.Listener, accepted chan<- net.Conn) {
	defer close(accepted)
	for {
		conn, err := ln.Accept()
		if err == nil {
			accepted <- conn
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		time.Sleep(acceptRetryPause)
	}
}
