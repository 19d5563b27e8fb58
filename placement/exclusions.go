package placement

import (
	"time"

	"foxtailspoke/health"
	"foxtailspoke/throttle"
	"foxtailspoke/warmup"
)

// WarmUp is what the servers of a service bear after a start.
type WarmUp struct {
	// Duration from a start until a server bears its full load.
	Duration time.Duration
	// Rate is how many requests a second it bears until then; 0 is no limit.
	Rate float64
}

// limitsServer reports whether a server gets no more than the rate now.
func (w WarmUp) limitsServer(s *server, now time.Duration) bool {
	return w.Rate > 0 && (now < s.coldUntil || s.unreachable)
}

// Exclusion is why a request can't be sent to a server at all.
type Exclusion int

// The obstacles, from the one that is farthest from passing.
const (
	// NotExcluded: the request may be sent there.
	NotExcluded Exclusion = iota
	// DrainingOrTried servers, and those that the request was sent to already.
	DrainingOrTried
	// RegionNotAllowed of the regions that may handle the request.
	RegionNotAllowed
	// Evacuated data centre.
	Evacuated
	// RateLimited server that gets as much as it names in its answers.
	RateLimited
	// Cold server that gets as much as it bears.
	Cold
)

// unreachableAfter is the time without a sign of a server after which a connection
// that fails means that it may be down. With less, one instance that lost its
// path would make others take a busy server for absent.
const unreachableAfter = time.Second

// SetWarmUpLimiter has a limiter bound what cold servers get.
func (p *Placer) SetWarmUpLimiter(l *warmup.Limiter) { p.warmUpLimiter = l }

// SetRateLimiter has a limiter bound what servers get that name a limit.
func (p *Placer) SetRateLimiter(l *throttle.Limiter) { p.rateLimiter = l }

// SetWarmUp takes in what the servers of a service bear after a start.
func (p *Placer) SetWarmUp(serviceName string, w WarmUp) { p.service(serviceName).warmUp = w }

// UpdateEvacuations takes in that data centres are evacuated or taken back. Servers of
// one that is taken back have been idle and may be cold, which their entries
// tell only with their next heartbeat.
func (p *Placer) UpdateEvacuations(begun, ended []string, now time.Duration) {
	for _, dc := range begun {
		p.evacuated[dc] = true
	}
	for _, dc := range ended {
		delete(p.evacuated, dc)
		for _, s := range p.byID {
			if s.entry.DataCentre == dc {
				s.extendWarmUp(now + p.service(s.entry.Service).warmUp.Duration)
			}
		}
	}
}

// RecordSent takes in that this instance sends a request to a server. It has to be
// called under the same lock as Choose: two requests that are placed at the
// same moment would otherwise both take the same share of a cold server.
func (p *Placer) RecordSent(id string, r Request, now time.Duration) {
	if p.warmUpLimiter != nil {
		p.warmUpLimiter.RecordSent(Hash(id), now)
	}
	if p.rateLimiter != nil {
		p.rateLimiter.RecordSent(Hash(id), now)
	}
	g, share := p.service(r.Service), 0.0
	if r.Retryable {
		share = 1
	}
	g.retryableShare += retryableShareSmoothing * (share - g.retryableShare)
}

// ExclusionReason returns what keeps a request from all servers of its service: the
// obstacle that is likeliest to pass, and for cold and limited servers how long
// this instance waits at least until it may send to one of them, 0 if unknown.
func (p *Placer) ExclusionReason(r Request, now time.Duration) (Exclusion, time.Duration) {
	g := p.service(r.Service)
	last, wait := NotExcluded, time.Duration(0)
	for _, s := range g.servers {
		o := p.exclusion(g, s, r, now)
		last = max(last, o)
		if w := p.waitUntilAllowed(g, s, o, now); w > 0 && (wait == 0 || w < wait) {
			wait = w
		}
	}
	return last, wait
}

func (p *Placer) exclusion(g *service, s *server, r Request, now time.Duration) Exclusion {
	switch {
	case s.entry.Draining || contains(r.TriedServers, s.entry.ID):
		return DrainingOrTried
	case r.AllowedDataCentres != nil && !r.AllowedDataCentres[s.entry.DataCentre]:
		return RegionNotAllowed
	case p.evacuated[s.entry.DataCentre]:
		return Evacuated
	}
	if ok, _ := p.allowedByRateLimit(s, now); !ok {
		return RateLimited
	}
	if ok, _ := p.allowedByWarmUp(g, s, now); !ok {
		return Cold
	}
	return NotExcluded
}

// waitUntilAllowed is how long this instance waits at least until an obstacle no
// longer keeps it from a server, 0 if unknown.
func (p *Placer) waitUntilAllowed(g *service, s *server, o Exclusion, now time.Duration) (wait time.Duration) {
	switch o {
	case RateLimited:
		_, wait = p.allowedByRateLimit(s, now)
	case Cold:
		_, wait = p.allowedByWarmUp(g, s, now)
	case NotExcluded, DrainingOrTried, RegionNotAllowed, Evacuated:
	}
	return wait
}

// allowedByRateLimit reports whether a server may get one more request from this instance
// as far as its own limit goes, or how long to wait for that.
func (p *Placer) allowedByRateLimit(s *server, now time.Duration) (bool, time.Duration) {
	if p.rateLimiter == nil {
		return true, 0
	}
	return p.rateLimiter.Allow(s.hash, now)
}

// rateLimited reports whether a server names a limit.
func (p *Placer) rateLimited(s *server) bool {
	if p.rateLimiter == nil {
		return false
	}
	_, limited := p.rateLimiter.Limit(s.hash)
	return limited
}

// allowedByWarmUp reports whether a server may get one more request from this instance
// as far as its warm-up goes, or how long to wait for that.
func (p *Placer) allowedByWarmUp(g *service, s *server, now time.Duration) (bool, time.Duration) {
	if p.warmUpLimiter == nil || !g.warmUp.limitsServer(s, now) {
		return true, 0
	}
	return p.warmUpLimiter.Allow(s.hash, g.warmUp.Rate, now)
}

// extendWarmUp takes in that the server is cold until then. What is known never
// becomes shorter: an entry may have been written before the server turned cold.
func (s *server) extendWarmUp(end time.Duration) { s.coldUntil = max(s.coldUntil, end) }

// updateReachability takes in the result of an attempt of any instance. A server that
// answers again after nobody could connect to it may have started anew, under
// the entry that it had before.
func (s *server) updateReachability(r health.Result, warmUp, now time.Duration) {
	switch r {
	case health.ConnectFailed:
		s.unreachable = s.unreachable || now-s.lastAnswer > unreachableAfter
	case health.OK, health.ServerError, health.Incomplete, health.Mismatch, health.Shed, health.NotRun:
		if s.unreachable {
			s.extendWarmUp(now + warmUp)
		}
		s.unreachable = false
		s.lastAnswer = now
	case health.Timeout, health.Late, health.Cancelled:
	}
}
