// Package timekeeper reads the clock by which leases and timeouts between processes are
// measured.
package timekeeper

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// NewBootClock returns a clock that never goes back and that advances while the machine is
// suspended. The monotonic clock of package time stops during suspension, so that a lease
// would seem to hold here after it has expired for all other processes. The clock starts
// at the time of day.
func NewBootClock() (identifier.Clock, error) {
	start, err := readBootTime()
	if err != nil {
		return nil, err
	}
	startTime := time.Now().Round(0)
	return func() time.Time {
		now, err := readBootTime()
		if err != nil {
			// The call has succeeded before with the same arguments, so this cannot
			// be handled: continuing with a wrong time would break leases.
			panic(err)
		}
		return startTime.Add(now - start)
	}, nil
}

func readBootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, errors.Wrap(err, "read CLOCK_BOOTTIME; run on Linux 2.6.39 or later")
	}
	return time.Duration(ts.Nano()), nil
}
