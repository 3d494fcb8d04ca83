// Package timekeeper reads the clock that time limits between processes are
// measured by.
package timekeeper

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// NewBootClock returns a clock that never goes back and counts the time in which the
// machine was suspended. The monotonic clock of package time stands still then, so
// that a lease would seem to hold when everybody else has seen it end. The first
// reading is the time of day.
func NewBootClock() (identifier.Clock, error) {
	start, err := boottime()
	if err != nil {
		return nil, err
	}
	day := time.Now().Round(0)
	return func() time.Time {
		now, err := boottime()
		if err != nil {
			// It has succeeded with the same arguments, so this is no condition to
			// go on in: a wrong time would break leases.
			panic(err)
		}
		return day.Add(now - start)
	}, nil
}

func boottime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, errors.Wrap(err, "read CLOCK_BOOTTIME; run on Linux 2.6.39 or later")
	}
	return time.Duration(ts.Nano()), nil
}
