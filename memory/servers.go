package memory

import (
	"slices"
	"time"
)

const (
	// ReportedBytes is what an instance must have outstanding at a server to report it. A server
	// has few slots, so that what isn't reported stays below the lowest bound.
	ReportedBytes = 64 << 10
	// OverloadBytes is what a server must have held for its end to count as caused by that.
	OverloadBytes = 1 << 20
	// recentlyHeld is the time for which what a server held counts as the state in which it ended:
	// reports of others on the same end arrive within a few rounds.
	recentlyHeld = time.Second
	// interruptionRetention is the time within which a server whose connections broke off proves
	// to have ended: its entry disappears after three missing heartbeats.
	interruptionRetention = 6 * time.Second
	// reportExpiry is the time after which the report of an instance no longer counts. No request
	// may take longer.
	reportExpiry = 15 * time.Second
	// boundPeriod is the time after which the bound doubles, boundPeriods the number of periods
	// until it is lifted: it is four times what its first server held by then.
	boundPeriod  = time.Minute
	boundPeriods = 3
)

// Servers has the bytes of requests that backend servers hold, as instances report them, and the
// bounds on the servers of a service. It isn't safe for concurrent use.
type Servers struct {
	servers map[uint32]*server
	bounds  map[string]*bound
}

// server is what a server holds.
type server struct {
	reports map[uint32]report
	// bodies has the bodies of ReportedBytes or more that each instance has at the server.
	bodies map[uint32]bodies
	// before is the largest amount of late, held until beforeAt.
	before   amount
	beforeAt time.Duration
	// interrupted is what it held when a connection broke off, at interruptedAt.
	interrupted   amount
	interruptedAt time.Duration
}

// report is what one instance has outstanding.
type report struct {
	amount
	at time.Duration
}

// amount is a number of bytes, and of the requests with a body of ReportedBytes or more.
type amount struct {
	bytes    int64
	requests int
	// longest is the longest of the bodies.
	longest int64
}

// ofSeveral returns the bytes if several requests have them: a single one may have ended the server
// by itself, which package quarantine decides on.
func (a amount) ofSeveral() int64 {
	if a.requests < 2 {
		return 0
	}
	return a.bytes
}

// bound is a bound on the bytes that a server of a service gets.
type bound struct {
	// run is the server whose end led to it.
	run  uint32
	held int64
	// longest is the longest body that the server held.
	longest int64
	since   time.Duration
}

// NewServers returns an empty state.
func NewServers() *Servers {
	return &Servers{servers: make(map[uint32]*server), bounds: make(map[string]*bound)}
}

// Set records what an instance has outstanding at a server: bytes, and the number of requests with
// a body of ReportedBytes or more. Less than ReportedBytes is given as 0.
func (s *Servers) Set(id, instance uint32, bytes int64, requests int, now time.Duration) {
	v, known := s.servers[id]
	if !known {
		if bytes == 0 {
			return
		}
		v = s.add(id)
	}
	if total := v.total(now); total.bytes >= v.before.bytes || now-v.beforeAt > recentlyHeld {
		v.before, v.beforeAt = total, now
	}
	if bytes == 0 {
		delete(v.reports, instance)
		return
	}
	v.reports[instance] = report{amount{bytes, requests, v.bodies[instance].longest()}, now}
}

func (s *Servers) add(id uint32) *server {
	v := &server{
		reports: make(map[uint32]report), bodies: make(map[uint32]bodies), beforeAt: never, interruptedAt: never,
	}
	s.servers[id] = v
	return v
}

// RemoveInstance forgets what an instance that has restarted or become silent had reported.
func (s *Servers) RemoveInstance(instance uint32) {
	for _, v := range s.servers {
		delete(v.reports, instance)
		delete(v.bodies, instance)
	}
}

// Expire drops servers that hold nothing and bounds that are lifted.
func (s *Servers) Expire(now time.Duration) {
	for id, v := range s.servers {
		if v.total(now).bytes == 0 && now-max(v.beforeAt, v.interruptedAt) > interruptionRetention {
			delete(s.servers, id)
		}
	}
	for service, b := range s.bounds {
		if _, bounded := b.limit(now); !bounded {
			delete(s.bounds, service)
		}
	}
}

func (v *server) total(now time.Duration) (sum amount) {
	for instance, r := range v.reports {
		if now-r.at > reportExpiry {
			delete(v.reports, instance)
			delete(v.bodies, instance)
			continue
		}
		sum.bytes += r.bytes
		sum.requests += r.requests
		sum.longest = max(sum.longest, r.longest)
	}
	return sum
}

func (v *server) recent(now time.Duration) amount {
	total := v.total(now)
	if now-v.beforeAt <= recentlyHeld && v.before.bytes > total.bytes {
		return v.before
	}
	return total
}

// EndedOverloaded reports whether a server that ends now held OverloadBytes and several bodies of
// ReportedBytes or more, so that none of their requests is to blame for the end.
func (s *Servers) EndedOverloaded(id uint32, now time.Duration) bool {
	v, known := s.servers[id]
	if !known {
		return false
	}
	held := v.recent(now)
	return held.bytes >= OverloadBytes && held.requests > 1
}

// RecordInterruption records that a connection to a server broke off, so that the server may prove
// to have ended.
func (s *Servers) RecordInterruption(id uint32, now time.Duration) {
	v, known := s.servers[id]
	if !known {
		return
	}
	held := v.recent(now)
	if held.ofSeveral() >= v.interrupted.ofSeveral() || now-v.interruptedAt > interruptionRetention {
		v.interrupted, v.interruptedAt = held, now
	}
}

// HeldAtEnd returns the bytes that a server held in several long bodies when it ended, which is known
// at once.
func (s *Servers) HeldAtEnd(id uint32, now time.Duration) int64 {
	v, known := s.servers[id]
	if !known {
		return 0
	}
	return max(v.recent(now).ofSeveral(), s.HeldWhenInterrupted(id, now))
}

// HeldWhenInterrupted returns the bytes that a server held in several long bodies when a connection
// to it broke off, if that was lately. A server whose entry has just disappeared may serve on otherwise.
func (s *Servers) HeldWhenInterrupted(id uint32, now time.Duration) int64 {
	v, known := s.servers[id]
	if !known || now-v.interruptedAt > interruptionRetention {
		return 0
	}
	return v.interrupted.ofSeveral()
}

// LongestAtEnd returns the longest body that a server held when it ended, or when a connection to it
// broke off lately.
func (s *Servers) LongestAtEnd(id uint32, now time.Duration) int64 {
	v, known := s.servers[id]
	if !known {
		return 0
	}
	longest := v.recent(now).longest
	if now-v.interruptedAt <= interruptionRetention {
		longest = max(longest, v.interrupted.longest)
	}
	return longest
}

// RecordEnd records that a run of a server of a service ended while it held so many bytes. It
// returns the bound on each server of the service, and reports whether that is a new one.
func (s *Servers) RecordEnd(service string, run uint32, held int64, now time.Duration) (limit int64, isNew bool) {
	if held < OverloadBytes {
		return 0, false
	}
	b, known := s.bounds[service]
	if known && b.run == run {
		// Instances that have heard of more requests report more of the same end.
		b.held = max(b.held, held)
		limit, _ = b.limit(now)
		return limit, false
	}
	if known {
		if limit, bounded := b.limit(now); bounded && limit < held/2 {
			return limit, false
		}
	}
	s.bounds[service] = &bound{run: run, held: held, since: now}
	return held / 2, true
}

// RaiseLimit raises the bound due to a run to the longest body that the run held, as servers may serve
// such bodies one by one. It returns the bound.
func (s *Servers) RaiseLimit(service string, run uint32, longest int64, now time.Duration) int64 {
	b, known := s.bounds[service]
	if !known {
		return 0
	}
	if b.run == run {
		b.longest = max(b.longest, longest)
	}
	limit, _ := b.limit(now)
	return limit
}

// first returns the bound in its first period.
func (b *bound) first() int64 { return max(b.held/2, b.longest) }

// limit returns the bytes that a server may hold, unless the bound is lifted.
func (b *bound) limit(now time.Duration) (int64, bool) {
	period := int((now - b.since) / boundPeriod)
	return b.first() << period, period < boundPeriods
}

// Limit returns the bytes that each server of a service may hold, if they are bounded.
func (s *Servers) Limit(service string, now time.Duration) (int64, bool) {
	b, known := s.bounds[service]
	if !known {
		return 0, false
	}
	return b.limit(now)
}

// Full returns the servers that would hold more than the limit with a body of n bytes.
func (s *Servers) Full(limit, n int64, now time.Duration) (full []uint32) {
	for id, v := range s.servers {
		if held := v.total(now).bytes; held > 0 && held+n > limit {
			full = append(full, id)
		}
	}
	slices.Sort(full)
	return full
}

// Wait returns the time until a body of n bytes is below the bound of a service.
func (s *Servers) Wait(service string, n int64, now time.Duration) time.Duration {
	b, known := s.bounds[service]
	if !known {
		return 0
	}
	for period := range boundPeriods {
		if n <= b.first()<<period {
			return max(b.since+time.Duration(period)*boundPeriod-now, 0)
		}
	}
	return max(b.since+boundPeriods*boundPeriod-now, 0)
}
