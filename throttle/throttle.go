// Package throttle keeps a fleet within the requests a second that a backend
// server names in its answers.
//
// Load pattern: a server in need names how much it takes from all instances
// together. It is idle from then on, so that every instance finds it the most
// attractive at the same moment, and most instances send it less than one request
// a second anyway: none of them notices that all together send too much.
//
// Idea: rendezvous hashing gives each limited server some holders among the
// instances, a few more than the requests a second that it takes. Each holder
// sends its part of the limit, and the turns of holders are staggered. The sum
// holds while messages between instances are lost, because no holder depends on
// them.
//
// Trade-off: the part of a holder without a request lies idle. More holders with
// smaller parts waste less, but may send more at once.
//
// Usage: give SetInstances the fleet as it becomes known, tell Named and Withdrawn
// what answers say, ask Allow before a request is sent and tell RecordSent of those that
// are. Decisions are pure: time is passed in.
package throttle

import (
	"math"
	"time"

	"foxtailspoke/rendezvous"
)

const (
	// extraHolders are the holders beyond one for each request a second.
	extraHolders = 3
	// leastRate is the rate in requests a second that is used of any limit, also
	// of none: without a request, nobody would learn that the limit has ended.
	leastRate = 0.1
	// forgetAfter is how long a limit is kept after it was last named. A server that
	// lives gets a request of each holder every half a minute at the latest.
	forgetAfter = 10 * time.Minute
)

// Limiter is the part of one instance. It isn't safe for concurrent use.
type Limiter struct {
	ranks   *rendezvous.Ranker
	servers map[uint32]*server
}

type server struct {
	// limit in requests a second.
	limit float64
	// since is when the server first named a limit, and heard when it last did.
	since, heard time.Duration
	// last is when this instance last sent to it; sent says that it did since then.
	last time.Duration
	sent bool
}

// NewLimiter returns a limiter that allows nothing to limited servers until the
// fleet is known.
func NewLimiter(self uint32) *Limiter {
	return &Limiter{ranks: rendezvous.NewRanker(self), servers: make(map[uint32]*server)}
}

// SetInstances replaces the other instances of the fleet, heard or not.
func (l *Limiter) SetInstances(ids []uint32) { l.ranks.SetInstances(ids) }

// SetLimit takes in that a server names a limit in requests a second.
func (l *Limiter) SetLimit(id uint32, perSecond float64, now time.Duration) {
	s, known := l.servers[id]
	if !known {
		l.forgetOld(now)
		s = &server{since: now}
		l.servers[id] = s
	}
	s.limit, s.heard = perSecond, now
}

// RemoveLimit takes in that a server names no limit any more.
func (l *Limiter) RemoveLimit(id uint32) {
	delete(l.servers, id)
	l.ranks.Forget(id)
}

// Limit returns the requests a second that a server takes, and whether it names
// a limit.
func (l *Limiter) Limit(id uint32) (perSecond float64, limited bool) {
	s, limited := l.servers[id]
	if !limited {
		return 0, false
	}
	return s.limit, true
}

// LimitOlderThan reports whether a limit is known that the server last named before a
// moment. Only the answer to a request that was sent after that can end it: an
// answer from before the limit may arrive later than one that names it.
func (l *Limiter) LimitOlderThan(id uint32, at time.Duration) bool {
	s, limited := l.servers[id]
	return limited && s.heard < at
}

// LimitedServers is how many servers name a limit.
func (l *Limiter) LimitedServers() int { return len(l.servers) }

// Allow reports whether this instance may send a request to a server now, or how
// long it has to wait; false and 0 say that it isn't a holder.
func (l *Limiter) Allow(id uint32, now time.Duration) (ok bool, wait time.Duration) {
	s, limited := l.servers[id]
	if !limited {
		return true, 0
	}
	holders := l.holders(s.limit)
	if !l.ranks.Initialized() || l.ranks.Rank(id) >= holders {
		return false, 0
	}
	pause := time.Duration(float64(holders) / max(s.limit, leastRate) * float64(time.Second))
	next := s.last + pause
	if !s.sent {
		next = s.since + pause*time.Duration(l.ranks.Rank(id))/time.Duration(holders)
	}
	return next <= now, max(next-now, 0)
}

// RecordSent records that this instance sends a request to a server, limited or not.
func (l *Limiter) RecordSent(id uint32, now time.Duration) {
	if s, limited := l.servers[id]; limited {
		s.last, s.sent = now, true
	}
}

// forgetOld drops servers that are gone. Their limits aren't dropped with their
// entries: the entry of a server that loses the store runs out and comes back.
func (l *Limiter) forgetOld(now time.Duration) {
	for id, s := range l.servers {
		if now-s.heard > forgetAfter {
			l.RemoveLimit(id)
		}
	}
}

// holders is how many instances share a limit.
func (l *Limiter) holders(perSecond float64) int {
	return int(math.Min(math.Floor(perSecond)+extraHolders, float64(l.ranks.InstanceCount())))
}
