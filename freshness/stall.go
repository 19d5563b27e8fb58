package freshness

import "time"

// StallThreshold is the time without a call of StallDetector.Advance from which
// the process counts as stalled.
const StallThreshold = 500 * time.Millisecond

// StallDetector detects that the process has not run for a while: it was starved
// of processor time, swapped out, or its machine was suspended.
type StallDetector struct {
	last    time.Duration
	started bool
}

// Advance records that the process runs. It must be called more often than every
// StallThreshold. It returns the duration of a stall that has just ended, or 0.
func (d *StallDetector) Advance(now time.Duration) time.Duration {
	gap := now - d.last
	stalled := d.started && gap > StallThreshold
	d.last, d.started = now, true
	if !stalled {
		return 0
	}
	return gap
}
