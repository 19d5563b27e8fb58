package edge

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// joinPollInterval is how often an instance that has just started looks whether
	// others know already what it would read from the store.
	joinPollInterval = 20 * time.Millisecond
	// firstStartJoinTimeout bounds that wait at the first start of the whole fleet, for
	// instances that aren't readers: callers come later than that, and some
	// hundred instances would read three tables within a second.
	firstStartJoinTimeout = 4 * time.Second
	// readerJoinTimeout leaves readers of a first start time to find each other.
	readerJoinTimeout = 300 * time.Millisecond
	// joinJitter spreads those whose wait has ended then.
	joinJitter = 250 * time.Millisecond
	// restartJoinTimeout bounds the wait of an instance that starts later: a moment, in
	// which others that serve answer its greeting. After a kill of all nobody
	// else knows anything, and callers are waiting.
	restartJoinTimeout = 40 * time.Millisecond
)

// waitForPeerState waits until another instance has told what it knows, or until it is time
// to read the store.
func (e *Edge) waitForPeerState(ctx context.Context) {
	defer close(e.joined)
	start := e.now()
	spread := rand.Float64()
	for !e.hasConfigAndServers() && e.now()-start < e.joinTimeout(spread) {
		if !sleepContext(ctx, joinPollInterval) {
			return
		}
		if e.hasReadyPeer() && !e.fetchFromReaders(ctx, methodGet, snapshotTimeout, e.hasConfigAndServers) {
			e.fetchFromPeer(ctx)
		}
	}
}

// joinTimeout is how long to wait for others, given a number from 0 to 1.
func (e *Edge) joinTimeout(spread float64) time.Duration {
	late := time.Duration(spread * float64(joinJitter))
	switch {
	case !e.settings.FirstStart:
		return restartJoinTimeout
	case e.isReader():
		return readerJoinTimeout + late
	default:
		return firstStartJoinTimeout + late
	}
}

// hasReadyPeer reports whether another instance knows all that there is to
// know.
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
