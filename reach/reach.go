// Package reach decides how an instance reaches backend servers: directly, or through
// another instance.
//
// Load pattern: a network fault separates an instance from some or all backend servers,
// while callers, the store and the other instances still reach it. Its connections to
// servers are refused, reset or hang, or live on while new ones are refused. Every request
// that it sends directly fails.
//
// Approach: a request that couldn't be sent is forwarded by another instance. A server to
// which a connection failed isn't tried directly again until a connection outside of
// requests succeeds. Failures at several servers in a row, without a success at any
// server, show that the fault lies on the side of this instance; no server is tried
// directly then.
//
// Trade-off: a few servers that stop at the same time look the same to an instance with
// few requests. It forwards its requests until it connects to another server, which is
// tried with the next request.
//
// Decisions are deterministic: the caller passes in the time and the random numbers.
package reach

import "time"

const (
	// partitionServers is the number of servers at which opening a connection must fail in a
	// row for the instance to count as partitioned. A single server may have stopped.
	partitionServers = 2
	// probeInterval is the time between two attempts to connect to a server that isn't
	// reached directly.
	probeInterval = time.Second
	// failureRetention is how long a failure at a server is kept without another one.
	failureRetention = time.Minute
)

// Tracker holds the state of an instance's connections to backend servers, by address. It
// isn't safe for concurrent use.
type Tracker struct {
	// unreachable has the servers at which the last attempt to connect failed, and when.
	unreachable map[string]time.Duration
	// failedInRow has the servers at which opening a connection has failed since the last
	// success at any server.
	failedInRow map[string]struct{}
	// partitionedSince is when the instance became partitioned; valid if Partitioned.
	partitionedSince time.Duration
	// partitionProbedAt is when PartitionProbeDue last reported true.
	partitionProbedAt time.Duration
	// probedAt is when each server was last due for a probe.
	probedAt map[string]time.Duration
}

// NewTracker returns a tracker without records.
func NewTracker() *Tracker {
	return &Tracker{
		unreachable: make(map[string]time.Duration),
		failedInRow: make(map[string]struct{}),
		probedAt:    make(map[string]time.Duration),
	}
}

// RecordFailure records that a connection to a server couldn't be opened.
func (t *Tracker) RecordFailure(address string, now time.Duration) {
	t.removeOld(now)
	was := t.Partitioned()
	t.unreachable[address] = now
	t.failedInRow[address] = struct{}{}
	if !was {
		t.partitionedSince = now
	}
}

// RecordSuccess records that a connection to a server was opened.
func (t *Tracker) RecordSuccess(address string) {
	if t.Partitioned() {
		// The other servers were unreachable for the same reason.
		clear(t.unreachable)
	}
	clear(t.failedInRow)
	delete(t.unreachable, address)
	delete(t.probedAt, address)
}

// IsDirect reports whether to send requests to a server directly.
func (t *Tracker) IsDirect(address string) bool {
	_, failed := t.unreachable[address]
	return !failed && !t.Partitioned()
}

// ProbeDue reports whether to try to connect to a server that isn't reached directly. It
// counts as tried then.
func (t *Tracker) ProbeDue(address string, now time.Duration) bool {
	last, tried := t.probedAt[address]
	if at, failed := t.unreachable[address]; failed {
		last, tried = max(last, at), true
	}
	if tried && now-last < probeInterval {
		return false
	}
	t.probedAt[address] = now
	return true
}

// PartitionProbeDue reports whether an instance that is partitioned should try to connect to any
// server. It counts as tried then.
func (t *Tracker) PartitionProbeDue(now time.Duration) bool {
	if !t.Partitioned() || now-max(t.partitionProbedAt, t.partitionedSince) < probeInterval {
		return false
	}
	t.partitionProbedAt = now
	return true
}

func (t *Tracker) removeOld(now time.Duration) {
	for address, at := range t.unreachable {
		if now-at > failureRetention {
			delete(t.unreachable, address)
			delete(t.failedInRow, address)
		}
	}
	for address, at := range t.probedAt {
		if now-at > failureRetention {
			delete(t.probedAt, address)
		}
	}
}

// Partitioned reports whether the instance can probably reach no backend server.
func (t *Tracker) Partitioned() bool { return len(t.failedInRow) >= partitionServers }

// PartitionedFor returns how long the instance has been partitioned, 0 if it isn't.
func (t *Tracker) PartitionedFor(now time.Duration) time.Duration {
	if !t.Partitioned() {
		return 0
	}
	return now - t.partitionedSince
}
