package logger

import (
	"context"
	"fmt"
	"io"
	"sync"
)

// maxPendingBytes bounds the log lines that wait to be written. It holds several seconds
// of log lines under load.
const maxPendingBytes = 1 << 20

// AsyncWriter is a writer that never blocks. It buffers lines in memory until Run writes
// them. Lines that do not fit are dropped and counted.
type AsyncWriter struct {
	mu      sync.Mutex
	pending []byte
	dropped int
	wake    chan struct{}
}

// NewAsyncWriter returns a writer with an empty buffer.
func NewAsyncWriter() *AsyncWriter {
	return &AsyncWriter{wake: make(chan struct{}, 1)}
}

// Write buffers or drops one line. It never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending)+len(line) > maxPendingBytes {
		a.dropped++
		return len(line), nil
	}
	a.pending = append(a.pending, line...)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes the buffered lines to w until ctx ends, and then the remaining ones.
func (a *AsyncWriter) Run(ctx context.Context, w io.Writer) error {
	for {
		select {
		case <-a.wake:
			if err := a.flush(w); err != nil {
				return err
			}
		case <-ctx.Done():
			return a.flush(w)
		}
	}
}

// flush writes the buffered lines and the count of the dropped ones.
func (a *AsyncWriter) flush(w io.Writer) error {
	a.mu.Lock()
	batch, dropped := a.pending, a.dropped
	a.pending, a.dropped = nil, 0
	a.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "level=warn event=log_lines_dropped lines=%d\n", dropped)
	}
	if len(batch) == 0 {
		return nil
	}
	_, err := w.Write(batch)
	return err
}
