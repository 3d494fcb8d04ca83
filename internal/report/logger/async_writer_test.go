package logger

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAsync writes more lines than fit while nobody reads: none blocks, and the lines
// that are dropped are counted.
func TestAsync(t *testing.T) {
	a := NewAsyncWriter()
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = maxPending/1024 + 5
	for range lines {
		n, err := a.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	var out bytes.Buffer
	assert.NilError(t, a.Run(ctx, &out))
	assert.Equal(t, strings.Count(out.String(), "\n"), maxPending/1024+1)
	assert.Assert(t, strings.HasSuffix(out.String(), "event=log_lines_dropped lines=5\n"))
}
