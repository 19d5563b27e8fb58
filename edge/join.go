package edge

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// joinStep is how often an instance that has just started looks whether
	// others know already what it would read from the store.
	joinStep = 20 * time.Millisecond
	// joinFirst bounds that wait at the first start of the whole fleet, for
	// instances that aren't readers: callers come later than that, and some
	// hundred instances would read three tables within a second.
	joinFirst = 4 * time.Second
	// joinReaders leaves readers of a first start time to find each other.
	joinReaders = 300 * time.Millisecond
	// joinSpread spreads those whose wait has ended then.
	joinSpread = 250 * time.Millisecond
	// joinAgain bounds the wait of an instance that starts later: a moment, in
	// which others that serve answer its greeting. After a kill of all nobody
	// else knows anything, and callers are waiting.
	joinAgain = 40 * time.Millisecond
)

// join waits until another instance has told what it knows, or until it is time
// to read the store.
func (e *Edge) join(ctx context.Context) {
	defer close(e.storeReadable)
	start := e.now()
	spread := rand.Float64()
	for !e.knowsServers() && e.now()-start < e.joinWithin(spread) {
		if !sleepContext(ctx, joinStep) {
			return
		}
		if e.othersAreReady() && !e.askReaders(ctx, methodGet, snapshotTimeout, e.knowsServers) {
			e.askPeer(ctx)
		}
	}
}

// joinWithin is how long to wait for others, given a number from 0 to 1.
func (e *Edge) joinWithin(spread float64) time.Duration {
	late := time.Duration(spread * float64(joinSpread))
	switch {
	case !e.settings.FirstStart:
		return joinAgain
	case e.isReader():
		return joinReaders + late
	default:
		return joinFirst + late
	}
}

// othersAreReady reports whether another instance knows all that there is to
// know.
func (e *Edge) othersAreReady() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.state.messenger.Fleet().All() {
		if m.Alive && !m.Leaving {
			return true
		}
	}
	return false
}

func (e *Edge) knowsServers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.state.servers.Version()
	return known && e.state.table != nil
}
