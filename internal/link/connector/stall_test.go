package connector

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/golden"

	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

// stalledConn is a connection of a process that stands still during its first read. As in
// the runtime's poller, a deadline that has passed meanwhile ends the call without a look at the
// connection.
type stalledConn struct {
	net.Conn
	// readStall is how long the next read stands still.
	readStall    time.Duration
	readDeadline time.Time
}

func (c *stalledConn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

func (c *stalledConn) Read(b []byte) (int, error) {
	if stall(&c.readStall) && !time.Now().Before(c.readDeadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(b)
}

// stall waits for d, sets it to zero, and reports whether it was above zero.
func stall(d *time.Duration) bool {
	stalled := *d > 0
	time.Sleep(*d)
	*d = 0
	return stalled
}

// TestReadAfterStall has a process stand still while it waits for its peer. What has arrived
// meanwhile must be read before the link is found silent; a link on which nothing has arrived must
// be found silent within the timeout, or soon after the process runs again.
func TestReadAfterStall(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		stall time.Duration
		// sentAfter is when the peer sends its only message, or zero if it sends none.
		sentAfter time.Duration
	}{
		{0, 0},
		{0, 190 * time.Millisecond},
		{0, 210 * time.Millisecond},
		{100 * time.Millisecond, 0},
		{100 * time.Millisecond, 50 * time.Millisecond},
		{300 * time.Millisecond, 0},
		{300 * time.Millisecond, 50 * time.Millisecond},
		{3 * time.Second, 0},
		{3 * time.Second, 50 * time.Millisecond},
	} {
		synctest.Test(t, func(*testing.T) {
			local, remote := net.Pipe()
			go func() {
				buf := make([]byte, 1024)
				for {
					if _, err := remote.Read(buf); err != nil {
						return
					}
				}
			}()
			if c.sentAfter > 0 {
				time.AfterFunc(c.sentAfter, func() { _ = writeMessage(remote, &registrar.Bye{}) })
			}
			began := time.Now()
			fmt.Fprintf(&out, "stall of %s, message after %s:", c.stall, c.sentAfter)
			link := NewLink(&stalledConn{Conn: local, readStall: c.stall}, testTiming)
			err := link.Run(context.Background(), func(any) error {
				fmt.Fprintf(&out, " received at %s,", time.Since(began))
				return nil
			})
			fmt.Fprintf(&out, " ended at %s: %v\n", time.Since(began), err)
			_ = remote.Close()
		})
	}
	golden.Assert(t, out.String(), "read_after_stall.golden")
}
