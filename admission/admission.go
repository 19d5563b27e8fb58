// Package admission decides which requests to a service are rejected at once while the
// service's servers are full.
//
// Load pattern: one service receives two to three times what its servers can handle, from
// many instances that each see one in a hundred of its requests. Without admission, full
// servers reject most attempts or reset their connections, retries meet other full servers,
// and many callers get a response that doesn't show whether their request ran.
//
// Approach: all instances receive the outcome of every attempt, the start of every request's
// first attempt, and every request that another instance rejected by this package. From the
// sums of the last second or two, each computes the share of the demand that the servers can
// handle (share): what passed the servers, scaled to the load that they should have, relative
// to the demand. The share is a function of these sums and isn't adjusted step by step, so that all
// instances arrive at the same one, also those that have just started. It goes to
// the priorities in order, with a minimum for each.
//
// Trade-off: the share follows the load with a delay of about half of that; until then servers
// reject as without admission. A lost message lowers the demand and what passed alike, so that
// the share hardly changes. Requests that may run at some of the servers only are
// admitted by the load of all.
//
// Inactive, with every request admitted, until a twentieth of a service's attempts in the
// last two seconds was rejected by full servers.
package admission

import (
	"slices"
	"time"
)

const (
	// activationShare is the share of the attempts rejected by full servers, together with
	// requests that instances rejected for that reason, from which admission is active.
	activationShare = 0.05
	// minRejections keeps single rejections at a service with few requests from
	// activating admission.
	minRejections = 4
	// quietPeriod is the time for which every request must have been admitted, with less than
	// half of activationShare rejected, before admission is inactive again.
	quietPeriod = windowLength
	// startupPeriod is the time after the first outcome of a service in which all of its
	// requests are admitted: the sums don't show its load yet.
	startupPeriod = time.Second
	// minShareOfRank is the part of the overall share that each priority keeps.
	minShareOfRank = 0.25
)

// Request holds the properties of a request that its admission depends on.
type Request struct {
	// Service is the hash of the service's name.
	Service uint32
	// Rank is the priority; 0 is the most urgent.
	Rank int
}

// Load is the load of the servers of a service that requests may be sent to.
type Load struct {
	Slots, Outstanding int
}

// Status describes the admission to a service.
type Status struct {
	// Active means that requests may be rejected.
	Active bool
	// Share is the share of the requests that is admitted, RankShares that of each priority
	// that has requests.
	Share      float64
	RankShares map[int]float64
	// RejectedByFull is the share of the attempts of the last two seconds that full servers
	// rejected.
	RejectedByFull float64
	// Utilization is the mean number of outstanding requests for each slot.
	Utilization float64
	// Demand is the number of requests per second.
	Demand float64
}

// Controller decides about the requests to all services. It isn't safe for concurrent use.
type Controller struct {
	services map[uint32]*service
}

// service is the state of one service.
type service struct {
	window window
	// firstOutcome is the time of the first outcome.
	firstOutcome time.Duration
	active       bool
	// unneededSince is the time since when an active admission hasn't been needed, valid
	// if unneeded is set.
	unneededSince time.Duration
	unneeded      bool
	// shares are the admitted shares, as of sharesAt.
	shares   shares
	sharesAt time.Duration
}

// New returns a controller that admits everything.
func New() *Controller { return &Controller{services: make(map[uint32]*service)} }

func (c *Controller) service(id uint32, now time.Duration) *service {
	s, ok := c.services[id]
	if !ok {
		s = &service{firstOutcome: now, shares: everything, sharesAt: now - sharesMaxAge}
		c.services[id] = s
	}
	return s
}

// RecordStarted records the start of the first attempt of a request at any instance.
func (c *Controller) RecordStarted(service uint32, rank int, now time.Duration) {
	c.service(service, now).window.bucket(now).demand[clampRank(rank)]++
}

// RecordNotAdmitted records a request that an instance rejected as Admit returned false.
func (c *Controller) RecordNotAdmitted(service uint32, rank int, now time.Duration) {
	b := c.service(service, now).window.bucket(now)
	b.demand[clampRank(rank)]++
	b.notAdmitted++
}

// RecordAccepted records the last attempt of a request, unless a full server rejected it. That
// includes one that failed: it has used what its server had to offer.
func (c *Controller) RecordAccepted(service uint32, now time.Duration) {
	c.service(service, now).window.bucket(now).passed++
}

// RecordRepeated records an attempt that failed at a server that isn't full, and whose request
// goes on with another one. Counted as accepted, a request would count more than once: each
// retry would raise the share.
func (c *Controller) RecordRepeated(service uint32, now time.Duration) {
	c.service(service, now).window.bucket(now).repeated++
}

// RecordRejected records an attempt that a server rejected; full means that the server had at
// least as many outstanding requests as slots. A server with free slots rejects for another
// reason than load, which fewer requests wouldn't remove.
func (c *Controller) RecordRejected(service uint32, full bool, now time.Duration) {
	b := c.service(service, now).window.bucket(now)
	if full {
		b.rejected++
	} else {
		b.passed++
	}
}

// RecordBroken records an attempt whose connection broke at a server that had at least as
// many outstanding requests as slots. Overloaded servers reset connections, but so do
// failing ones: it counts as a rejection only while rejections prove that servers are full.
func (c *Controller) RecordBroken(service uint32, now time.Duration) {
	c.service(service, now).window.bucket(now).broken++
}

// SetLoad records the current load of the servers of a service. It is needed for the services
// that Watched returns.
func (c *Controller) SetLoad(service uint32, l Load, now time.Duration) {
	if l.Slots <= 0 {
		return
	}
	b := c.service(service, now).window.bucket(now)
	b.utilization += float64(l.Outstanding) / float64(l.Slots)
	b.samples++
}

// Watched returns the services for which Admit needs the load of the servers: those at which
// requests were rejected lately, in ascending order.
func (c *Controller) Watched(now time.Duration) []uint32 {
	var ids []uint32
	for id, s := range c.services {
		t := s.window.sums(now)
		if s.active || t.rejected+t.notAdmitted > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Active reports whether requests to a service may be rejected.
func (c *Controller) Active(service uint32, now time.Duration) bool {
	s, ok := c.services[service]
	if !ok {
		return false
	}
	s.update(now)
	return s.active
}

// Admit reports whether a request may be sent to a server, and if not, after what time
// capacity is likely to be available. random is a number from 0 to 1.
func (c *Controller) Admit(r Request, now time.Duration, random float64) (ok bool, retryAfter time.Duration) {
	if !c.Active(r.Service, now) {
		return true, 0
	}
	s := c.services[r.Service]
	share := s.shares.ranks[clampRank(r.Rank)]
	if random < share {
		return true, 0
	}
	// The rest of the interval is uniform again and spreads the callers.
	return false, retryAfterFor(s.shares.total, (random-share)/(1-share))
}

// RetryAfter returns the time after which a request that was admitted, but rejected by a full
// server, should be sent again.
func (c *Controller) RetryAfter(service uint32, random float64) time.Duration {
	s, ok := c.services[service]
	if !ok {
		return minRetryAfter
	}
	return retryAfterFor(s.shares.total, random)
}

// Status returns the state of the admission to a service.
func (c *Controller) Status(service uint32, now time.Duration) Status {
	s, ok := c.services[service]
	if !ok {
		return Status{Share: 1}
	}
	s.update(now)
	t := s.window.sums(now)
	st := Status{
		Active: s.active, Share: 1, RejectedByFull: t.rejectedShare(s.active), Utilization: t.meanUtilization(),
		Demand: float64(t.totalDemand()) / windowLength.Seconds(),
	}
	if !s.active {
		return st
	}
	st.Share, st.RankShares = s.shares.total, make(map[int]float64)
	for rank, n := range t.demand {
		if n > 0 {
			st.RankShares[rank] = s.shares.ranks[rank]
		}
	}
	return st
}

// update recomputes the state of a service if it is out of date.
func (s *service) update(now time.Duration) {
	if now-s.sharesAt < sharesMaxAge {
		return
	}
	s.sharesAt = now
	t := s.window.sums(now)
	if !s.active {
		s.active = now-s.firstOutcome >= startupPeriod && t.needsAdmission()
		s.unneeded = false
		if !s.active {
			s.shares = everything
			return
		}
	}
	s.shares = computeShares(s.window.shortSums(now))
	s.deactivateIfUnneeded(t, now)
}

// deactivateIfUnneeded ends an active admission that has had no effect for quietPeriod.
func (s *service) deactivateIfUnneeded(t sums, now time.Duration) {
	if s.shares.total < 1 || t.rejectedShare(true) >= activationShare/2 {
		s.unneeded = false
		return
	}
	if !s.unneeded {
		s.unneeded, s.unneededSince = true, now
	}
	if now-s.unneededSince >= quietPeriod {
		s.active, s.unneeded, s.shares = false, false, everything
	}
}
