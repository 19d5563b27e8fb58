package placement

import (
	"time"

	"foxtailspoke/backoff"
	"foxtailspoke/health"
	"foxtailspoke/throttle"
	"foxtailspoke/warmup"
)

// WarmUp describes the capacity of the servers of a service after a start.
type WarmUp struct {
	// Duration from a start until a server can handle its full load.
	Duration time.Duration
	// Rate is the limit until then in requests per second; 0 means no limit.
	Rate float64
}

// limitsServer reports whether requests to a server are limited to the rate now.
func (w WarmUp) limitsServer(s *server, now time.Duration) bool {
	return w.Rate > 0 && (now < s.coldUntil || s.unreachable)
}

// Exclusion is the reason why a request can't be sent to a server at all.
type Exclusion int

// The exclusions, ordered from the least to the most likely to end soon.
const (
	// NotExcluded: the request may be sent to the server.
	NotExcluded Exclusion = iota
	// DrainingOrTried: the server is draining, or the request was already sent to it.
	DrainingOrTried
	// AddressReused: another server has the server's address.
	AddressReused
	// RegionNotAllowed: the server is outside of the regions that may handle the request.
	RegionNotAllowed
	// Evacuated: the server's data centre is evacuated.
	Evacuated
	// BackingOff: the server asked this instance to send no requests for some time.
	BackingOff
	// RateLimited: the limit that the server announced is used up.
	RateLimited
	// Cold: the rate of a cold server is used up.
	Cold
)

// unreachableAfter is the time without an answer from a server after which a failed
// connection attempt means that it may be down. With a shorter time, an instance that
// lost its path to a busy server would make the others treat it as down.
const unreachableAfter = time.Second

// SetWarmUpLimiter sets the limiter of requests to cold servers.
func (p *Placer) SetWarmUpLimiter(l *warmup.Limiter) { p.warmUpLimiter = l }

// SetRateLimiter sets the limiter of requests to servers that announce a limit.
func (p *Placer) SetRateLimiter(l *throttle.Limiter) { p.rateLimiter = l }

// SetBackoffs sets the servers that asked this instance to back off.
func (p *Placer) SetBackoffs(t *backoff.Tracker) { p.backoffs = t }

// SetWarmUp sets the capacity of the servers of a service after a start.
func (p *Placer) SetWarmUp(serviceName string, w WarmUp) { p.service(serviceName).warmUp = w }

// UpdateEvacuations records the begin and end of evacuations of data centres. After an
// evacuation, servers have been idle and may be cold, which their registrations show
// only after the next heartbeat.
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

// RecordSent records that this instance sends a request to a server. It must be called
// under the same lock as Choose: two concurrent requests could otherwise both use the
// same share of a cold server.
func (p *Placer) RecordSent(id string, r Request, now time.Duration) {
	if p.warmUpLimiter != nil {
		p.warmUpLimiter.RecordSent(Hash(id), now)
	}
	if p.rateLimiter != nil {
		p.rateLimiter.RecordSent(Hash(id), now)
	}
	g, retryable := p.service(r.Service), 0.0
	if r.Retryable {
		retryable = 1
	}
	g.retryableShare += retryableShareSmoothing * (retryable - g.retryableShare)
}

// ExclusionReason returns why a request can't be sent to any server of its service: of
// the servers' exclusions, the one most likely to end soon. For servers that are cold,
// limited or backing off it also returns the minimum time until this instance may send to
// one of them, 0 if unknown.
func (p *Placer) ExclusionReason(r Request, now time.Duration) (Exclusion, time.Duration) {
	g := p.service(r.Service)
	reason, wait := NotExcluded, time.Duration(0)
	for _, s := range g.servers {
		e := p.exclusion(g, s, r, now)
		reason = max(reason, e)
		if w := p.waitUntilAllowed(g, s, e, now); w > 0 && (wait == 0 || w < wait) {
			wait = w
		}
	}
	return reason, wait
}

func (p *Placer) exclusion(g *service, s *server, r Request, now time.Duration) Exclusion {
	switch {
	case s.entry.Draining || contains(r.TriedServers, s.entry.ID):
		return DrainingOrTried
	case s.addressReused(now):
		return AddressReused
	case r.AllowedDataCentres != nil && !r.AllowedDataCentres[s.entry.DataCentre]:
		return RegionNotAllowed
	case p.evacuated[s.entry.DataCentre]:
		return Evacuated
	case p.backoffRemaining(s, now) > 0:
		return BackingOff
	}
	if ok, _ := p.allowedByRateLimit(s, now); !ok {
		return RateLimited
	}
	if ok, _ := p.allowedByWarmUp(g, s, now); !ok {
		return Cold
	}
	return NotExcluded
}

// waitUntilAllowed returns the minimum time until an exclusion no longer keeps this
// instance from sending to a server, 0 if unknown.
func (p *Placer) waitUntilAllowed(g *service, s *server, e Exclusion, now time.Duration) (wait time.Duration) {
	switch e {
	case BackingOff:
		wait = p.backoffRemaining(s, now)
	case RateLimited:
		_, wait = p.allowedByRateLimit(s, now)
	case Cold:
		_, wait = p.allowedByWarmUp(g, s, now)
	case NotExcluded, DrainingOrTried, AddressReused, RegionNotAllowed, Evacuated:
	}
	return wait
}

// backoffRemaining returns the time until a server wants requests from this instance
// again.
func (p *Placer) backoffRemaining(s *server, now time.Duration) time.Duration {
	if p.backoffs == nil {
		return 0
	}
	return p.backoffs.Remaining(backoff.Run{ID: s.entry.ID, StartTimeMS: s.entry.StartTimeMS}, now)
}

// allowedByRateLimit reports whether the limit that a server announced allows another
// request from this instance, or how long to wait for that.
func (p *Placer) allowedByRateLimit(s *server, now time.Duration) (bool, time.Duration) {
	if p.rateLimiter == nil {
		return true, 0
	}
	return p.rateLimiter.Allow(s.hash, now)
}

// rateLimited reports whether a server announces a limit.
func (p *Placer) rateLimited(s *server) bool {
	if p.rateLimiter == nil {
		return false
	}
	_, limited := p.rateLimiter.Limit(s.hash)
	return limited
}

// allowedByWarmUp reports whether the warm-up of a server allows another request from
// this instance, or how long to wait for that.
func (p *Placer) allowedByWarmUp(g *service, s *server, now time.Duration) (bool, time.Duration) {
	if p.warmUpLimiter == nil || !g.warmUp.limitsServer(s, now) {
		return true, 0
	}
	return p.warmUpLimiter.Allow(s.hash, g.warmUp.Rate, now)
}

// extendWarmUp records that the server is cold until the given time. A warm-up is never
// shortened: a registration may have been written before the server became cold.
func (s *server) extendWarmUp(end time.Duration) { s.coldUntil = max(s.coldUntil, end) }

// updateReachability records the result of an attempt of any instance. A server that
// answers again after connection attempts failed may have restarted under its previous
// registration.
func (s *server) updateReachability(r health.Result, warmUp, now time.Duration) {
	switch r {
	case health.ConnectFailed:
		s.unreachable = s.unreachable || now-s.lastAnswer > unreachableAfter
	case health.OK, health.ServerError, health.Incomplete, health.Mismatch, health.Shed, health.NotRun:
		if s.unreachable {
			s.extendWarmUp(now + warmUp)
		}
		s.unreachable = false
		s.lastAnswer, s.answered = now, true
	case health.Timeout, health.Late, health.Misdirected, health.Cancelled:
	}
}
