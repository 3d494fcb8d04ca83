package logger

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAsyncWriter writes more lines than fit while Run is not active. It guards against
// a logger that blocks its process, and against lines that are dropped without a count.
func TestAsyncWriter(t *testing.T) {
	a := NewAsyncWriter()
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = maxPendingBytes/1024 + 5
	for range lines {
		n, err := a.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	var out bytes.Buffer
	assert.NilError(t, a.Run(ctx, &out))
	assert.Equal(t, strings.Count(out.String(), "\n"), maxPendingBytes/1024+1)
	assert.Assert(t, strings.HasSuffix(out.String(), "event=log_lines_dropped lines=5\n"))
}
