// Package throttle keeps a fleet within the request rate limit that a backend server
// announces in its responses.
//
// Load pattern: an overloaded server announces the rate that it accepts from all
// instances together. It is idle from then on, so every instance prefers it at the
// same moment. Most instances send it less than one request per second, so none of
// them can detect that the fleet as a whole exceeds the limit.
//
// Approach: rendezvous hashing assigns to each limited server some holders among the
// instances, a few more than the requests per second that it accepts. Each holder
// sends its share of the limit, and the send times of holders are staggered. The
// limit is kept while messages between instances are lost, because no holder depends
// on them.
//
// Trade-off: the share of a holder without a request is unused. More holders with
// smaller shares waste less, but may send more requests at once.
//
// Usage: call SetInstances whenever the list of instances changes, SetLimit and
// RemoveLimit according to responses, Allow before a request is sent, and RecordSent
// for each request that is sent. Decisions are deterministic: the caller passes in
// the time.
package throttle

import (
	"math"
	"time"

	"foxtailspoke/rendezvous"
)

const (
	// extraHolders is the number of holders in addition to one per request per second.
	extraHolders = 3
	// minRate, in requests per second, is used even if a limit is lower or zero:
	// without a request, no instance would learn that the limit has ended.
	minRate = 0.1
	// limitExpiry is the time after which a limit that hasn't been announced again is
	// dropped. A live server receives a request from each holder at least every 30 s.
	limitExpiry = 10 * time.Minute
)

// Limiter decides for one instance when it may send to limited servers. It isn't safe
// for concurrent use.
type Limiter struct {
	ranker  *rendezvous.Ranker
	servers map[uint32]*server
}

type server struct {
	// limit in requests per second.
	limit float64
	// limitedSince is when the server first announced a limit, and lastAnnounced when
	// it last did.
	limitedSince, lastAnnounced time.Duration
	// lastSent is the time of this instance's last request to it since the limit was
	// first announced; sent reports whether there was one.
	lastSent time.Duration
	sent     bool
}

// NewLimiter returns a limiter that allows no requests to limited servers until
// SetInstances is called.
func NewLimiter(self uint32) *Limiter {
	return &Limiter{ranker: rendezvous.NewRanker(self), servers: make(map[uint32]*server)}
}

// SetInstances replaces the other instances of the fleet, reachable or not.
func (l *Limiter) SetInstances(ids []uint32) { l.ranker.SetInstances(ids) }

// SetLimit records that a server announced a limit in requests per second.
func (l *Limiter) SetLimit(id uint32, perSecond float64, now time.Duration) {
	s, known := l.servers[id]
	if !known {
		l.removeExpired(now)
		s = &server{limitedSince: now}
		l.servers[id] = s
	}
	s.limit, s.lastAnnounced = perSecond, now
}

// RemoveLimit records that a server no longer announces a limit.
func (l *Limiter) RemoveLimit(id uint32) {
	delete(l.servers, id)
	l.ranker.Forget(id)
}

// Limit returns the limit of a server in requests per second, and whether it has one.
func (l *Limiter) Limit(id uint32) (perSecond float64, limited bool) {
	s, limited := l.servers[id]
	if !limited {
		return 0, false
	}
	return s.limit, true
}

// LimitOlderThan reports whether the server has a limit that it last announced before
// the given time. A response without a limit ends the limit only if its request was
// sent after the last announcement: a response from before the limit may arrive
// later than the one that announced it.
func (l *Limiter) LimitOlderThan(id uint32, at time.Duration) bool {
	s, limited := l.servers[id]
	return limited && s.lastAnnounced < at
}

// LimitedServers returns the number of servers that have a limit.
func (l *Limiter) LimitedServers() int { return len(l.servers) }

// Allow reports whether this instance may send a request to a server now. If not,
// wait is the time until it may, or 0 if the instance isn't a holder.
func (l *Limiter) Allow(id uint32, now time.Duration) (ok bool, wait time.Duration) {
	s, limited := l.servers[id]
	if !limited {
		return true, 0
	}
	holders := l.holders(s.limit)
	if !l.ranker.Initialized() || l.ranker.Rank(id) >= holders {
		return false, 0
	}
	interval := time.Duration(float64(holders) / max(s.limit, minRate) * float64(time.Second))
	next := s.lastSent + interval
	if !s.sent {
		next = s.limitedSince + interval*time.Duration(l.ranker.Rank(id))/time.Duration(holders)
	}
	return next <= now, max(next-now, 0)
}

// RecordSent records that this instance sends a request to a server, which need not
// have a limit.
func (l *Limiter) RecordSent(id uint32, now time.Duration) {
	if s, limited := l.servers[id]; limited {
		s.lastSent, s.sent = now, true
	}
}

// removeExpired drops the limits of servers that no longer exist. Limits aren't
// dropped together with the server's registration: the registration of a server that
// loses its connection to the store expires and returns.
func (l *Limiter) removeExpired(now time.Duration) {
	for id, s := range l.servers {
		if now-s.lastAnnounced > limitExpiry {
			l.RemoveLimit(id)
		}
	}
}

// holders returns the number of instances that share a limit.
func (l *Limiter) holders(perSecond float64) int {
	return int(math.Min(math.Floor(perSecond)+extraHolders, float64(l.ranker.InstanceCount())))
}
