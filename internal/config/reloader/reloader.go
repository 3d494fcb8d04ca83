// Package reloader loads a settings file again after it has changed, on a signal or by
// polling.
package reloader

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// pollInterval is the time between two reads of the file, for changes without a signal.
// The cost of reading a file of a kilobyte at this interval is negligible.
const pollInterval = 2 * time.Second

// Reloader watches one settings file.
type Reloader struct {
	File string
	Log  *zap.Logger
	// Load applies the content of a changed file. If the content has errors, Load returns
	// them and leaves the settings unchanged.
	Load func(src []byte) error
}

// Run checks the file on each signal and at each poll interval, until ctx ends.
func (r *Reloader) Run(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last := r.read(nil)
	for {
		select {
		case <-signals:
			r.Log.Info("reload_asked", zap.String("file", r.File))
			last = r.check(last)
		case <-ticker.C:
			last = r.check(last)
		case <-ctx.Done():
			return
		}
	}
}

// check loads the file if its content differs from last, and returns the content.
// Content that Load refuses is returned too, so that it is not tried again.
func (r *Reloader) check(last []byte) []byte {
	src := r.read(last)
	if bytes.Equal(src, last) {
		return last
	}
	if err := r.Load(src); err != nil {
		r.Log.Error("reload_refused", zap.String("file", r.File), logger.Error(err))
	} else {
		r.Log.Info("reloaded", zap.String("file", r.File), zap.Int("bytes", len(src)))
	}
	return src
}

// read returns the content of the file, or last if the file cannot be read, as it may
// be in the middle of a replacement.
func (r *Reloader) read(last []byte) []byte {
	src, err := os.ReadFile(r.File)
	if err != nil {
		r.Log.Warn("settings_read_failed", zap.String("file", r.File), logger.Error(err))
		return last
	}
	return src
}
