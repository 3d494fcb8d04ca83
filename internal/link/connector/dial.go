package connector

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// redialInterval is how long an attempt to connect may go unanswered before another one is begun
// beside it. A machine without power does not answer, and TCP repeats its first packet only after
// a second, whereas the machine may be back at any moment.
const redialInterval = 100 * time.Millisecond

// attempt is the result of an attempt to connect.
type attempt struct {
	conn net.Conn
	err  error
}

// connect begins an attempt to connect each redialInterval until one of them succeeds or fails, or
// ctx ends. Earlier attempts go on, as the answer may be slow on a busy network.
func connect(ctx context.Context, dial DialFunc, to netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attempt)
	begin := func() {
		conn, err := dial(ctx, to)
		results <- attempt{conn, err}
	}
	ticker := time.NewTicker(redialInterval)
	defer ticker.Stop()
	running := 1
	go begin()
	for {
		select {
		case <-ticker.C:
			if ctx.Err() == nil {
				running++
				go begin()
			}
		case first := <-results:
			cancel()
			for running--; running > 0; running-- {
				if other := <-results; other.conn != nil {
					_ = other.conn.Close()
				}
			}
			return first.conn, first.err
		}
	}
}
