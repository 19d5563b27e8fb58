// Package clock reads the instance's monotonic clock.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock counts from the moment it was made.
//
// It reads CLOCK_BOOTTIME, not the CLOCK_MONOTONIC behind time.Now: the
// latter stands still while the machine is suspended. An instance would wake
// and take its old proofs for fresh ones.
type Clock struct{ start time.Duration }

// New returns a clock that reads 0 now.
func New() Clock { return Clock{start: read()} }

// Now returns the time since the clock was made.
func (c Clock) Now() time.Duration { return read() - c.start }

func read() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}
