// Package connector runs the links between the system's processes. A link is one
// TCP connection with a task that reads and a task that writes; both end with
// it.
package connector

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/link/encoder"
	"github.com/dandeliongrade/dandeliongrade/internal/link/framer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

// Timing is the pace of a link.
type Timing struct {
	// HeartbeatInterval is the longest time without a message to the other side.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the longest time without a message from the other side; after
	// it the connection is dropped.
	SilenceTimeout time.Duration
}

// maxPendingBytes bounds the bytes that wait to be written. A side that reads nothing
// for so long is as good as silent.
const maxPendingBytes = 64 << 20

// errPeerNotReading ends a link whose other side does not keep up.
var errPeerNotReading = errors.New("the other side of the link does not read; it will be dialled anew")

// Link is an open connection. Send may be called by several goroutines at once.
type Link struct {
	// NewHeartbeat returns the message that is sent at each heartbeat. Without it, an
	// announcer.Heartbeat is sent when nothing else was since the last one. It is
	// set before Run.
	NewHeartbeat func() any

	conn   net.Conn
	timing Timing

	mu      sync.Mutex
	pending []byte
	closed  bool
	// wake holds a token while pending has bytes.
	wake chan struct{}
}

// NewLink takes over a connection.
func NewLink(conn net.Conn, timing Timing) *Link {
	return &Link{conn: conn, timing: timing, wake: make(chan struct{}, 1)}
}

// Send queues a message. It never blocks; on a link that has ended the message
// is dropped, as it would be on the way.
func (l *Link) Send(message any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	if len(l.pending) > maxPendingBytes {
		l.closed = true
		_ = l.conn.Close()
		return errPeerNotReading
	}
	pending, err := framer.Append(l.pending, func(b []byte) ([]byte, error) {
		return encoder.Append(b, message)
	})
	if err != nil {
		return err
	}
	l.pending = pending
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// Run reads messages and passes them to handle, one after the other, until the
// connection ends, handle fails, or ctx does. It returns the cause. The
// connection is closed and the writing task has ended when it returns.
func (l *Link) Run(ctx context.Context, handle func(message any) error) error {
	ctx, cancel := context.WithCancel(ctx)
	written := make(chan error, 1)
	go l.write(ctx, written)
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	err := l.read(handle)
	stop()
	cancel()
	l.Close()
	if writeErr := <-written; writeErr != nil && errors.Is(err, net.ErrClosed) {
		return writeErr
	}
	return err
}

func (l *Link) read(handle func(message any) error) error {
	r := bufio.NewReader(l.conn)
	var buf []byte
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(l.timing.SilenceTimeout)); err != nil {
			return err
		}
		body, err := framer.Read(r, buf)
		if err != nil {
			return err
		}
		buf = reusableBuffer(body)
		message, err := encoder.Decode(body)
		if err != nil {
			return err
		}
		if err := handle(message); err != nil {
			return err
		}
	}
}

// maxReusedBytes bounds the read buffer that a link keeps between messages, in bytes.
const maxReusedBytes = 64 << 10

func reusableBuffer(buf []byte) []byte {
	if cap(buf) > maxReusedBytes {
		return nil
	}
	return buf
}

// write sends what is pending, in one system call for all that has gathered, and
// the heartbeats. It reports its end on done.
func (l *Link) write(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(l.timing.HeartbeatInterval)
	defer ticker.Stop()
	var batch []byte
	wrote := false
	for {
		select {
		case <-ctx.Done():
			done <- nil
			return
		case <-ticker.C:
			if l.NewHeartbeat != nil {
				_ = l.Send(l.NewHeartbeat())
			} else if !wrote {
				_ = l.Send(&registrar.Heartbeat{})
			}
			wrote = false
		case <-l.wake:
			wrote = true
			batch = l.takePending(batch)
			_ = l.conn.SetWriteDeadline(time.Now().Add(l.timing.SilenceTimeout))
			if _, err := l.conn.Write(batch); err != nil {
				_ = l.conn.Close()
				done <- errors.Wrap(err, "write to a link")
				return
			}
		}
	}
}

// takePending returns the pending bytes, and leaves the old batch's space for the next.
func (l *Link) takePending(old []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.pending
	l.pending = reusableBuffer(old)[:0]
	return batch
}

// Close ends the link from this side.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.conn.Close()
}
