package reloader

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// TestReload changes a file and sends a signal after each change. Load gets the content of
// every version, also of the one after a version that it refused.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	write := func(text string) { assert.NilError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write("one")
	loaded := make(chan string)
	r := Reloader{File: file, Log: zap.NewNop(), Load: func(src []byte) error {
		loaded <- string(src)
		if string(src) == "bad" {
			return errors.New("bad settings; correct the file")
		}
		return nil
	}}
	ctx, stop := context.WithCancel(context.Background())
	signals := make(chan os.Signal)
	ended := make(chan struct{})
	go func() {
		r.Run(ctx, signals)
		close(ended)
	}()
	signals <- syscall.SIGHUP
	for _, text := range []string{"two", "bad", "three"} {
		write(text)
		signals <- syscall.SIGHUP
		assert.Equal(t, <-loaded, text)
	}
	stop()
	<-ended
}
