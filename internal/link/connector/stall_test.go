package connector

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

// stalledConn is a connection of a process that stands still during its first read or write. As in
// the runtime's poller, a deadline that has passed meanwhile ends the call without a look at the
// connection.
type stalledConn struct {
	net.Conn
	// readStall and writeStall are how long the next read and the next write stand still.
	readStall, writeStall time.Duration

	readDeadline, writeDeadline time.Time
}

func (c *stalledConn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

func (c *stalledConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

func (c *stalledConn) Read(b []byte) (int, error) {
	if stall(&c.readStall) && !time.Now().Before(c.readDeadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(b)
}

func (c *stalledConn) Write(b []byte) (int, error) {
	if stall(&c.writeStall) && !time.Now().Before(c.writeDeadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(b)
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

// TestWriteAfterStall has a process stand still while it writes a message. What the peer accepts
// must be written before it is found not to read; a peer that accepts nothing must be found within
// the timeout, or soon after the process runs again.
func TestWriteAfterStall(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		stall time.Duration
		// readAfter is when the peer begins to read, which is not when an attempt ends, and
		// readShare the percentage of the message that it reads.
		readAfter time.Duration
		readShare int
	}{
		{0, 0, 0},
		{0, 60 * time.Millisecond, 50},
		{0, 190 * time.Millisecond, 100},
		{0, 210 * time.Millisecond, 100},
		{100 * time.Millisecond, 60 * time.Millisecond, 100},
		{300 * time.Millisecond, 0, 0},
		{300 * time.Millisecond, 60 * time.Millisecond, 50},
		{300 * time.Millisecond, 60 * time.Millisecond, 100},
		{3 * time.Second, 0, 0},
		{3 * time.Second, 60 * time.Millisecond, 100},
	} {
		synctest.Test(t, func(t *testing.T) {
			fmt.Fprintf(&out, "stall of %s, %d%% read after %s: ", c.stall, c.readShare, c.readAfter)
			local, remote := net.Pipe()
			timing := Timing{HeartbeatInterval: 10 * time.Second, SilenceTimeout: time.Minute, ResponseTimeout: 200 * time.Millisecond}
			link := NewLink(&stalledConn{Conn: local, writeStall: c.stall}, timing)
			assert.NilError(t, link.Send(&registrar.Peers{Entries: make([]registrar.Peer, 10_000)}))
			size := len(link.pending)
			began := time.Now()
			read := make(chan string, 1)
			go func() {
				time.Sleep(c.readAfter)
				n, _ := io.CopyN(io.Discard, remote, int64(size*c.readShare/100))
				read <- fmt.Sprintf("%d%% read by %s", int(n)*100/size, time.Since(began))
			}()
			ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
			defer stop()
			err := link.Run(ctx, func(any) error { return nil })
			fmt.Fprintf(&out, "ended at %s: %v; ", time.Since(began), err)
			fmt.Fprintf(&out, "%s\n", <-read)
			_ = remote.Close()
		})
	}
	golden.Assert(t, out.String(), "write_after_stall.golden")
}
