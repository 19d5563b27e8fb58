// Package clock provides the monotonic clock of an instance.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since its creation.
//
// It reads CLOCK_BOOTTIME rather than the CLOCK_MONOTONIC behind time.Now, which
// stops while the machine is suspended. An instance would otherwise treat
// expired confirmations as fresh after resuming.
type Clock struct{ start time.Duration }

// New returns a clock that starts at 0.
func New() Clock { return Clock{start: read()} }

// Now returns the time since the clock was created.
func (c Clock) Now() time.Duration { return read() - c.start }

func read() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}
