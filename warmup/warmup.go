// Package warmup limits the request rate that a fleet sends to a backend server
// while the server is cold.
//
// Load pattern: after a start, or when a data centre returns, servers can handle
// only a fraction of their usual load for some seconds. They are idle at that
// point, so every instance of the fleet prefers them at the same moment.
//
// Approach: rendezvous hashing assigns to each cold server as many holders among
// the instances as the server can handle requests per second. Only holders send to
// it, each at most one request per second. The total needs no communication: it
// stays within the rate while messages between instances are lost, and instances
// that don't respond keep their share.
//
// Trade-off: a share is unused while its holder has no request for the service.
//
// Usage: call SetInstances whenever the list of instances changes, Allow before a
// request is sent to a cold server, and RecordSent for each request that is sent.
// Decisions are deterministic: the caller passes in the time.
package warmup

import (
	"math"
	"time"

	"foxtailspoke/rendezvous"
)

// spacingMargin lengthens the interval between two requests of a holder, so that
// no window of one second contains an additional request.
const spacingMargin = 1.05

// Limiter decides for one instance when it may send to cold servers. It isn't safe
// for concurrent use.
type Limiter struct {
	ranker *rendezvous.Ranker
	// lastSent is the time of this instance's last request to each server.
	lastSent map[uint32]time.Duration
}

// NewLimiter returns a limiter that allows nothing until SetInstances is called: an
// instance that considers itself the only one would use all shares.
func NewLimiter(self uint32) *Limiter {
	return &Limiter{ranker: rendezvous.NewRanker(self), lastSent: make(map[uint32]time.Duration)}
}

// SetInstances replaces the other instances of the fleet, reachable or not.
func (l *Limiter) SetInstances(ids []uint32) { l.ranker.SetInstances(ids) }

// Allow reports whether this instance may send a request to a cold server that can
// handle perSecond requests per second. If not, wait is the time until it may, or 0
// if the instance holds no share of the server.
func (l *Limiter) Allow(server uint32, perSecond float64, now time.Duration) (ok bool, wait time.Duration) {
	holders := l.holders(perSecond)
	if !l.ranker.Initialized() || l.ranker.Rank(server) >= holders {
		return false, 0
	}
	last, sent := l.lastSent[server]
	if !sent {
		return true, 0
	}
	if wait := last + spacing(perSecond/float64(holders)) - now; wait > 0 {
		return false, wait
	}
	return true, 0
}

// spacing returns the interval between the requests of a holder that may send
// perSecond requests per second. Rates above 1 are rounded down to whole requests,
// as a window of one second could otherwise contain one more.
func spacing(perSecond float64) time.Duration {
	if perSecond > 1 {
		perSecond = math.Floor(perSecond)
	}
	return time.Duration(spacingMargin / perSecond * float64(time.Second))
}

// RecordSent records that this instance sends a request to a server, which need not
// be cold.
func (l *Limiter) RecordSent(server uint32, now time.Duration) { l.lastSent[server] = now }

// Forget drops the state of a server.
func (l *Limiter) Forget(server uint32) {
	delete(l.lastSent, server)
	l.ranker.Forget(server)
}

// holders returns the number of instances that share a server which can handle
// perSecond requests per second.
func (l *Limiter) holders(perSecond float64) int {
	return min(l.ranker.InstanceCount(), max(int(math.Floor(perSecond)), 1))
}
