package logger

import (
	"context"
	"fmt"
	"io"
	"sync"
)

// maxPending bounds the bytes of log lines that wait to be written. It is some seconds
// of lines under load.
const maxPending = 1 << 20

// AsyncWriter is a writer that never blocks: lines wait in memory until Run has written
// them, and lines for which there is no room are dropped and counted.
type AsyncWriter struct {
	mu      sync.Mutex
	pending []byte
	dropped int
	wake    chan struct{}
}

// NewAsyncWriter returns a writer without lines.
func NewAsyncWriter() *AsyncWriter {
	return &AsyncWriter{wake: make(chan struct{}, 1)}
}

// Write takes one line.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending)+len(line) > maxPending {
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

// Run writes lines to w until ctx ends, and then those that are left.
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
