// Package connector establishes and runs the links between processes. A link is one TCP
// connection with a goroutine that reads and a goroutine that writes; both end with the
// connection.
package connector

import (
	"bufio"
	"context"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/link/encoder"
	"github.com/dandeliongrade/dandeliongrade/internal/link/framer"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

// Timing holds the timeouts of a link.
type Timing struct {
	// HeartbeatInterval is the interval at which heartbeats are sent to the peer.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the longest time without a byte from the peer; after it, the
	// connection is closed.
	SilenceTimeout time.Duration
	// ResponseTimeout bounds the handshake, and the time in which a write makes no progress.
	// Zero stands for SilenceTimeout.
	ResponseTimeout time.Duration
}

// responseTimeout returns the bound on the handshake and on a write without progress.
func (t *Timing) responseTimeout() time.Duration {
	if t.ResponseTimeout > 0 {
		return t.ResponseTimeout
	}
	return t.SilenceTimeout
}

// maxPendingBytes bounds the bytes queued for writing. A peer that lets so much
// accumulate is treated as one that is silent: the link is closed.
const maxPendingBytes = 64 << 20

// errPeerNotReading is returned when the peer does not read fast enough.
var errPeerNotReading = errors.New("the peer does not read from the link; the link is closed and will be dialled again")

// Link is an open connection to a peer. Send is safe for concurrent use.
type Link struct {
	// NewHeartbeat returns the message that is sent at each heartbeat interval. If it is
	// nil, a registrar.Heartbeat is sent, but only when nothing was written during the
	// last interval. It must be set before Run is called.
	NewHeartbeat func() any

	conn   net.Conn
	timing Timing

	mu      sync.Mutex
	pending []byte
	closed  bool
	// wake holds a token while pending has bytes to write.
	wake chan struct{}
}

// NewLink returns a link over conn and takes ownership of conn.
func NewLink(conn net.Conn, timing Timing) *Link {
	return &Link{conn: conn, timing: timing, wake: make(chan struct{}, 1)}
}

// Send queues a message and never blocks. On a closed link the message is dropped
// without an error, as a message in flight would be.
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

// Run reads messages and passes them to handle one at a time, until the connection
// ends, handle returns an error, or ctx ends. It returns the cause. When it returns, the
// connection is closed and the writing goroutine has ended.
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

// read decodes messages and passes them to handle until one of the steps fails.
func (l *Link) read(handle func(message any) error) error {
	r := bufio.NewReader(&progressReader{l.conn, l.timing.SilenceTimeout})
	var buf []byte
	for {
		body, err := framer.Read(r, buf)
		if err != nil {
			return err
		}
		buf = reusableBuffer(body)
		message, err := encoder.Decode(body)
		if err != nil {
			return err
		}
		if err := handleSafely(handle, message); err != nil {
			return err
		}
	}
}

// lookShare divides a timeout: this part of it is left for a last look at the connection. A process
// that stood still finds its deadline passed, and an expired deadline is reported without a look at
// what has arrived meanwhile. The last look has a deadline of its own.
const lookShare = 8

// progressReader reads from a connection, and fails when nothing arrives within the timeout.
type progressReader struct {
	conn    net.Conn
	timeout time.Duration
}

func (r *progressReader) Read(b []byte) (int, error) {
	look := r.timeout / lookShare
	n, err := r.readWithin(b, r.timeout-look)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return r.readWithin(b, look)
	}
	return n, err
}

// readWithin reads once, and waits for bytes no longer than the given time.
func (r *progressReader) readWithin(b []byte, wait time.Duration) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return 0, err
	}
	return r.conn.Read(b)
}

// PanicError reports that the handler of a message panicked.
type PanicError struct {
	Message any
	Cause   any
	Stack   []byte
}

// Error returns the type of the message, the cause and the stack.
func (e *PanicError) Error() string {
	return errors.Errorf("panic while handling %T: %v; report this with the stack: %s", e.Message, e.Cause, e.Stack).Error()
}

// handleSafely calls handle and turns a panic into an error, so that an unexpected message ends
// the link it came on and not the process.
func handleSafely(handle func(message any) error, message any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &PanicError{message, cause, debug.Stack()}
		}
	}()
	return handle(message)
}

// maxReusedBytes bounds the buffers that a link keeps between messages.
const maxReusedBytes = 64 << 10

// reusableBuffer returns buf if it is small enough to be kept, else nil.
func reusableBuffer(buf []byte) []byte {
	if cap(buf) > maxReusedBytes {
		return nil
	}
	return buf
}

// write writes the pending bytes, all that have accumulated in one system call, and
// queues heartbeats. It sends its result on done when it ends.
func (l *Link) write(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(l.timing.HeartbeatInterval)
	defer ticker.Stop()
	var batch []byte
	// wrote is set when something other than a heartbeat was written during the present
	// interval, and beating while a heartbeat is pending.
	wrote, beating := false, false
	for {
		select {
		case <-ctx.Done():
			done <- nil
			return
		case <-ticker.C:
			if l.NewHeartbeat != nil {
				_ = l.Send(l.NewHeartbeat())
			} else if !wrote {
				beating = true
				_ = l.Send(&registrar.Heartbeat{})
			}
			wrote = false
		case <-l.wake:
			wrote, beating = wrote || !beating, false
			batch = l.takePending(batch)
			if err := l.writeBatch(batch); err != nil {
				_ = l.conn.Close()
				done <- errors.Wrap(err, "write to a link")
				return
			}
		}
	}
}

// writeBatch writes b, and fails when nothing more of it is accepted within the timeout. It tries
// for a part of the timeout at a time, so that it knows of progress, and so that the last attempt
// begins after any standstill of this process.
func (l *Link) writeBatch(b []byte) error {
	timeout := l.timing.responseTimeout()
	look := timeout / lookShare
	// progressed is when the last attempt with progress began.
	progressed := time.Now()
	for len(b) > 0 {
		began := time.Now()
		if err := l.conn.SetWriteDeadline(began.Add(look)); err != nil {
			return err
		}
		n, err := l.conn.Write(b)
		b = b[n:]
		if n > 0 {
			progressed = began
		}
		expired := errors.Is(err, os.ErrDeadlineExceeded)
		if err != nil && (!expired || began.Sub(progressed) >= timeout-look) {
			return err
		}
	}
	return nil
}

// takePending returns the pending bytes, and reuses the buffer of the previous batch for
// the next one.
func (l *Link) takePending(old []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.pending
	l.pending = reusableBuffer(old)[:0]
	return batch
}

// Close closes the link. Messages that have not been written are dropped.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.conn.Close()
}
