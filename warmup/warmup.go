// Package warmup shares out the few requests a second that a backend server
// bears while it is cold.
//
// Load pattern: after a start, or when a data centre returns, servers bear a
// fraction of their usual load for some seconds. They are idle by then, so that
// every instance of the fleet finds them the most attractive at the same moment.
//
// Idea: rendezvous hashing gives each cold server as many holders among the
// instances as it bears requests a second. Only these send to it, each at most
// one request a second. Nobody has to hear anybody in time: the sum holds while
// messages between instances are lost, and silent instances keep their share.
//
// Trade-off: a share lies idle while its holder has no request for the service.
//
// Usage: give SetInstances the fleet as it becomes known, ask Allow before a
// request is sent to a cold server, and tell RecordSent of those that are. Decisions
// are pure: time is passed in.
package warmup

import (
	"math"
	"time"

	"foxtailspoke/rendezvous"
)

// spacingMargin stretches the pause between two requests of a holder, so that
// no second contains one more of them.
const spacingMargin = 1.05

// Limiter is the part of one instance. It isn't safe for concurrent use.
type Limiter struct {
	ranks *rendezvous.Ranker
	// last is when this instance last sent to a server.
	last map[uint32]time.Duration
}

// NewLimiter returns a limiter that allows nothing until the fleet is known: an
// instance that took itself for the only one would use all shares.
func NewLimiter(self uint32) *Limiter {
	return &Limiter{ranks: rendezvous.NewRanker(self), last: make(map[uint32]time.Duration)}
}

// SetInstances replaces the other instances of the fleet, heard or not.
func (l *Limiter) SetInstances(ids []uint32) { l.ranks.SetInstances(ids) }

// Allow reports whether this instance may send a request to a cold server that
// bears so many requests a second, or how long it has to wait; false and 0 say
// that it holds no share.
func (l *Limiter) Allow(server uint32, perSecond float64, now time.Duration) (ok bool, wait time.Duration) {
	holders := l.holders(perSecond)
	if !l.ranks.Initialized() || l.ranks.Rank(server) >= holders {
		return false, 0
	}
	last, sent := l.last[server]
	if !sent {
		return true, 0
	}
	if wait := last + spacing(perSecond/float64(holders)) - now; wait > 0 {
		return false, wait
	}
	return true, 0
}

// spacing is the pause between the requests of a holder that may send so many a
// second. Only whole requests count from one a second on: otherwise a second
// could hold one more.
func spacing(perSecond float64) time.Duration {
	if perSecond > 1 {
		perSecond = math.Floor(perSecond)
	}
	return time.Duration(spacingMargin / perSecond * float64(time.Second))
}

// RecordSent records that this instance sends a request to a server, cold or not.
func (l *Limiter) RecordSent(server uint32, now time.Duration) { l.last[server] = now }

// Forget drops what is kept of a server.
func (l *Limiter) Forget(server uint32) {
	delete(l.last, server)
	l.ranks.Forget(server)
}

// holders is how many instances share a server that bears so many requests a
// second.
func (l *Limiter) holders(perSecond float64) int {
	return min(l.ranks.InstanceCount(), max(int(math.Floor(perSecond)), 1))
}
