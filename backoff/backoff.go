// Package backoff records which backend servers have asked an instance not to send
// requests for some time.
//
// Load pattern: an overloaded server rejects requests within a millisecond. It has no
// outstanding requests, so every instance finds it the least loaded of its service and
// sends it the next request too. Each of these requests costs its caller an attempt
// and keeps the server from recovering.
//
// Approach: the Retry-After of a rejection excludes the server until then, for the
// instance that received it only. Periods belong to one run of a server: they survive
// the loss of its registration and end when it restarts.
//
// Trade-off: a server that recovers early stays unused by this instance until the end
// of the period.
//
// Decisions are deterministic: the caller passes in the time.
package backoff

import "time"

// Run identifies one run of a backend server, from a start to its end.
type Run struct {
	ID string
	// StartTimeMS is when the server started, in Unix milliseconds.
	StartTimeMS int64
}

// Tracker holds the back-off periods of one instance. It isn't safe for concurrent use.
type Tracker struct {
	until map[Run]time.Duration
}

// NewTracker returns a tracker without periods.
func NewTracker() *Tracker { return &Tracker{until: make(map[Run]time.Duration)} }

// Extend records that a server wants no requests for d from now. An earlier period that
// ends later stays in force.
func (t *Tracker) Extend(r Run, d, now time.Duration) {
	t.removeEnded(now)
	if now+d > max(t.until[r], now) {
		t.until[r] = now + d
	}
}

// Remaining returns the time until a server may receive requests, 0 if it may now.
func (t *Tracker) Remaining(r Run, now time.Duration) time.Duration {
	return max(t.until[r]-now, 0)
}

// Count returns the number of servers that may not receive requests now.
func (t *Tracker) Count(now time.Duration) int {
	t.removeEnded(now)
	return len(t.until)
}

func (t *Tracker) removeEnded(now time.Duration) {
	for r, end := range t.until {
		if end <= now {
			delete(t.until, r)
		}
	}
}
