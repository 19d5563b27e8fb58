// Package reach tracks whether an instance can open connections to backend servers.
//
// Load pattern: a network fault separates an instance from all backend servers, while
// callers, the store and the other instances still reach it. Its connections to servers
// are refused, reset or hang, or live on while new ones are refused. Every request that it
// sends directly fails.
//
// Approach: failures at several servers in a row, without a success at any server, show
// that the fault lies on the side of this instance.
//
// Trade-off: a few servers that stop at the same time look the same to an instance with
// few requests, until it connects to another server.
//
// Decisions are deterministic: the caller passes in the time.
package reach

import "time"

// cutOffServers is the number of servers at which opening a connection must fail in a row
// for the instance to count as cut off. A single server may have stopped.
const cutOffServers = 2

// Tracker holds the state of an instance's connections to backend servers, by address. It
// isn't safe for concurrent use.
type Tracker struct {
	// failedInRow has the servers at which opening a connection has failed since the last
	// success at any server.
	failedInRow map[string]struct{}
	// cutOffSince is when the instance became cut off; valid if CutOff.
	cutOffSince time.Duration
}

// NewTracker returns a tracker without records.
func NewTracker() *Tracker {
	return &Tracker{failedInRow: make(map[string]struct{})}
}

// RecordFailure records that a connection to a server couldn't be opened.
func (t *Tracker) RecordFailure(address string, now time.Duration) {
	was := t.CutOff()
	t.failedInRow[address] = struct{}{}
	if !was {
		t.cutOffSince = now
	}
}

// RecordSuccess records that a connection to a server was opened.
func (t *Tracker) RecordSuccess(string) { clear(t.failedInRow) }

// CutOff reports whether the instance can probably reach no backend server.
func (t *Tracker) CutOff() bool { return len(t.failedInRow) >= cutOffServers }

// CutOffFor returns how long the instance has been cut off, 0 if it isn't.
func (t *Tracker) CutOffFor(now time.Duration) time.Duration {
	if !t.CutOff() {
		return 0
	}
	return now - t.cutOffSince
}
