package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"foxtailspoke/evidence"
)

const (
	// joinPollInterval is how often an instance that has just started checks
	// whether a peer already has the data that it would read from the store.
	joinPollInterval = 20 * time.Millisecond
	// firstStartJoinTimeout bounds that wait for instances other than readers
	// when the whole fleet starts for the first time. Callers arrive later than
	// that, and without the wait some hundred instances would read three tables
	// within a second.
	firstStartJoinTimeout = 4 * time.Second
	// readerJoinTimeout gives readers time to discover each other at a first
	// start.
	readerJoinTimeout = 300 * time.Millisecond
	// joinJitter spreads the reads of instances whose wait ends at a first
	// start.
	joinJitter = 250 * time.Millisecond
	// restartJoinTimeout bounds the wait of an instance that starts later. It
	// suffices for a serving peer to answer the join message. After a crash of
	// all instances no peer has the data, and callers are waiting.
	restartJoinTimeout = 40 * time.Millisecond
)

// waitForPeerState waits until a peer has supplied the configuration and
// servers, or until this instance may read the store itself.
func (e *Edge) waitForPeerState(ctx context.Context) {
	defer close(e.storeReadable)
	start := e.now()
	spread := rand.Float64()
	for !e.hasConfigAndServers() && e.now()-start < e.joinTimeout(spread) {
		if !sleepContext(ctx, joinPollInterval) {
			return
		}
		if e.hasReadyPeer() && !e.fetchFromInstances(ctx, evidence.Servers, e.hasConfigAndServers) {
			e.fetchFromPeer(ctx)
		}
	}
}

// joinTimeout returns how long to wait for peers; spread is a random number in
// [0,1).
func (e *Edge) joinTimeout(spread float64) time.Duration {
	jitter := time.Duration(spread * float64(joinJitter))
	switch {
	case !e.settings.FirstStart:
		return restartJoinTimeout
	case e.isReader():
		return readerJoinTimeout + jitter
	default:
		return firstStartJoinTimeout + jitter
	}
}

// hasReadyPeer reports whether a peer is ready, and so has the configuration
// and the servers.
func (e *Edge) hasReadyPeer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.state.messenger.Fleet().All() {
		if m.Alive && !m.Leaving {
			return true
		}
	}
	return false
}

func (e *Edge) hasConfigAndServers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.state.servers.Version()
	return known && e.state.table != nil
}
