// Package placement chooses the backend server for a request.
//
// Load pattern: many small instances share few servers with two to six slots each. A
// single instance sends a server less than one request per second and can't determine
// its load or health alone. About a third of the servers fail most requests for some
// seconds at a time while their health reports are good, and a non-idempotent request
// that failed is lost.
//
// Approach: all instances notify each other of the start and end of each attempt. From
// that, each instance maintains per server the number of outstanding requests, the
// slowness, and the probability of failure (healthBelief). A request goes to the server
// with the lowest cost: the risk of failure, weighted by whether the request is
// retryable, the expected latency relative to its target, and the bytes transferred
// between data centres. Servers that answered recently carry the least risk. Servers
// that are probably healthy receive a request now and then even if others are cheaper,
// which keeps the information about them current: they take over without a trial when
// another server starts to fail, and each failing period costs few requests. While too few
// of the healthy servers are expected to be in use, doubtful ones receive requests too.
//
// Servers in evacuated data centres, those that asked this instance to back off and those
// whose address another server has receive no requests, cold servers and those that announce a rate limit no more than
// their limit, whatever the cost; see Exclusion.
//
// Trade-off: the least is known about servers that failed. Retryable requests probe
// them as long as the retry budget is ample; if there are only non-retryable requests,
// one in fifty is spent on that. New servers receive an early request. Once too many
// requests to a service go unserved, they are spread over all servers that didn't fail
// very recently, so that healthy capacity isn't left idle.
//
// Decisions are deterministic: the caller passes in the time and the random numbers.
package placement

import (
	"math"
	"time"

	"foxtailspoke/backoff"
	"foxtailspoke/discovery"
	"foxtailspoke/health"
	"foxtailspoke/mechanism"
	"foxtailspoke/throttle"
	"foxtailspoke/warmup"
)

// Request holds the properties of a request that a choice depends on.
type Request struct {
	Service   string
	Retryable bool
	// RetryBudgetAmple means that the retry budget is far from exhausted.
	RetryBudgetAmple bool
	// LatencyTarget is the time from now within which the answer is wanted.
	LatencyTarget time.Duration
	// Remaining is the time until the caller gives up or the route times out.
	Remaining time.Duration
	// ServiceTime is the usual time of such a request at a server of average speed.
	ServiceTime time.Duration
	// SizeKB is the expected size of request and answer in kilobytes.
	SizeKB float64
	// DataCentre of the instance that sends the request.
	DataCentre string
	// TriedServers holds the servers that the request was already sent to.
	TriedServers []string
	// AllowedDataCentres holds the data centres that the request may be sent to; nil
	// means any.
	AllowedDataCentres map[string]bool
	// PlannedDataCentre is the data centre in which the request is to be served: that of the
	// instance, or another one if the local servers don't suffice for all. If it is "", the
	// fixed cost of leaving the data centre applies.
	PlannedDataCentre string
	// LeavingCost is the cost of servers that are neither local nor in PlannedDataCentre.
	LeavingCost float64
}

// MustQueue reports whether the request is expected to wait for a slot.
func (c Choice) MustQueue() bool { return c.Outstanding >= c.Server.Slots }

// Choice is a server and the estimates that it was chosen by.
type Choice struct {
	Server discovery.Server
	// ExpectedLatency is the time until the answer.
	ExpectedLatency time.Duration
	// Outstanding is the number of requests of all instances at the server before this
	// one.
	Outstanding int
	// Risk is the probability that the request fails.
	Risk float64
	// Cost is the value of the cost function; the lowest is chosen.
	Cost float64
}

// Placer chooses among the servers of all services. It isn't safe for concurrent use.
type Placer struct {
	services map[string]*service
	byID     map[string]*server
	byHash   map[uint32]*server
	// byAddress holds the servers whose entries have an address; only the one that started
	// last can be there.
	byAddress map[string][]*server
	off       mechanism.Disabled
	// instanceLossUntil is the time until which requests are assumed to go unserved
	// without being reported.
	instanceLossUntil time.Duration
	// evacuated data centres receive no requests.
	evacuated map[string]bool
	// warmUpLimiter limits requests to cold servers; nil means no limit.
	warmUpLimiter *warmup.Limiter
	// rateLimiter limits requests to servers that announce a limit; nil means no limit.
	rateLimiter *throttle.Limiter
	// backoffs holds the servers that asked this instance to back off; nil means none.
	backoffs *backoff.Tracker
}

type service struct {
	servers []*server
	// firstServerAt is when the first server was added.
	firstServerAt time.Duration
	// serviceTime is the moving average over all requests to the service.
	serviceTime time.Duration
	// answers is the number of answers in that average.
	answers  int
	outcomes outcomes
	signals  signalStats
	// retryableShare is the share of retryable requests among this instance's requests
	// to the service.
	retryableShare float64
	warmUp         WarmUp
}

// never is the time of events that haven't happened. With 0, an instance that has just
// started would treat all servers as used and failed a moment ago.
const never = -time.Hour

// New returns a placer without servers.
func New() *Placer { return NewWithout(mechanism.Disabled{}) }

// NewWithout returns a placer without servers and with some mechanisms disabled.
func NewWithout(off mechanism.Disabled) *Placer {
	return &Placer{
		off:      off,
		services: make(map[string]*service),
		byID:     make(map[string]*server),
		byHash:   make(map[uint32]*server),

		byAddress: make(map[string][]*server),
		evacuated: make(map[string]bool),
	}
}

// Apply applies a change of the list of servers.
func (p *Placer) Apply(c discovery.Change, now time.Duration) {
	old := p.byID[c.Server.ID]
	if old != nil && (c.Removed || c.New || old.entry.Service != c.Server.Service) {
		p.remove(old)
		old = nil
	}
	if c.Removed {
		return
	}
	if old == nil {
		old = &server{
			hash:        Hash(c.Server.ID),
			belief:      priorHealthBelief(now),
			path:        path{priorPathDown, now},
			slowness:    1,
			lastUse:     never,
			lastArrival: never,
			lastFailure: never,
			addedAt:     now,
			lastAnswer:  now,
			outstanding: make(map[uint32]outstandingCount),
			uses:        make(map[uint32]use),
		}
		p.byID[c.Server.ID] = old
		p.byHash[old.hash] = old
		s := p.service(c.Server.Service)
		if len(s.servers) == 0 {
			s.firstServerAt = now
		}
		s.servers = append(s.servers, old)
	}
	p.setEntry(old, c.Server)
	old.extendWarmUp(now + c.Server.WarmUp)
}

func (p *Placer) remove(s *server) {
	delete(p.byID, s.entry.ID)
	delete(p.byHash, s.hash)
	p.removeAddress(s)
	if p.warmUpLimiter != nil {
		p.warmUpLimiter.Forget(s.hash)
	}
	g := p.service(s.entry.Service)
	for i, o := range g.servers {
		if o == s {
			g.servers = append(g.servers[:i], g.servers[i+1:]...)
			return
		}
	}
}

func (p *Placer) service(name string) *service {
	s, ok := p.services[name]
	if !ok {
		s = &service{}
		p.services[name] = s
	}
	return s
}

// Choose returns the server with the lowest cost for the request, or false if there is
// none that it may be sent to.
func (p *Placer) Choose(r Request, now time.Duration, random func() float64) (Choice, bool) {
	g := p.service(r.Service)
	spread := p.shouldSpread(g, r.Retryable, now)
	best, visit := Choice{Cost: math.Inf(1)}, Choice{Cost: math.Inf(1)}
	found := false
	for _, s := range g.servers {
		if p.exclusion(g, s, r, now) != NotExcluded {
			continue
		}
		c, reason := s.evaluate(p.off, g, r, now, spread, random)
		c.Cost += costJitter * random()
		if c.Cost < best.Cost {
			best, found = c, true
		}
		if reason == keepInUse && c.Cost-fewInUseBonus < visit.Cost {
			visit = c
			visit.Cost -= fewInUseBonus
		}
	}
	if visit.Cost < best.Cost && p.fewInUse(g, now) {
		return visit, true
	}
	return best, found
}

// RecordInstanceLoss records that many instances stopped responding. The requests that
// go unserved there aren't reported; for a while they are assumed to be too many.
func (p *Placer) RecordInstanceLoss(now time.Duration) {
	p.instanceLossUntil = now + instanceLossPeriod
}

// instanceLossPeriod is the time after which callers have moved away from an instance
// that stopped responding.
const instanceLossPeriod = 5 * time.Second

// Self stands for this instance where instances are given by number.
const Self uint32 = 0

// SetOutstanding sets the number of requests that an instance has outstanding at a
// server.
func (p *Placer) SetOutstanding(hash, instance uint32, n int, now time.Duration) {
	s, ok := p.byHash[hash]
	if !ok {
		return
	}
	s.totalOutstanding += n - s.outstanding[instance].n
	s.outstanding[instance] = outstandingCount{n, now}
	if n > 0 {
		s.recordUse(instance, now)
	}
}

// RemoveInstance drops the outstanding requests of an instance that stopped responding.
func (p *Placer) RemoveInstance(instance uint32) {
	for _, s := range p.byID {
		s.totalOutstanding -= s.outstanding[instance].n
		delete(s.outstanding, instance)
		delete(s.uses, instance)
	}
}

// RecordResult records the result of an attempt of an instance. latency is the time until
// the result, 0 if it is unknown or the request had to wait for a slot; serviceTime is the
// time that a server of average speed needs for such a request.
func (p *Placer) RecordResult(hash, instance uint32, r health.Result, latency, serviceTime, now time.Duration) {
	s, ok := p.byHash[hash]
	if !ok {
		return
	}
	g := p.service(s.entry.Service)
	own := instance == Self
	s.recordArrival(instance, r)
	s.updateReachability(r, g.warmUp.Duration, now)
	s.recordResult(&g.signals, r, own && p.off.Enabled(mechanism.PathFailures), latency, serviceTime, now)
	if r == health.OK {
		// The latency of a cold server says nothing about its usual speed.
		if p.off.Enabled(mechanism.SlowServers) && now >= s.coldUntil {
			s.updateSlowness(latency, serviceTime, now)
		}
		g.answers++
		g.serviceTime += time.Duration(serviceTimeSmoothing * float64(serviceTime-g.serviceTime))
	}
}

// RecordOutcome records the final outcome of a request to a service; ok is false for any
// refusal, whatever its reason.
func (p *Placer) RecordOutcome(serviceName string, ok bool, now time.Duration) {
	p.service(serviceName).outcomes.count(ok, now)
}

// RecordServerOutcome is RecordOutcome for the service of a server.
func (p *Placer) RecordServerOutcome(hash uint32, ok bool, now time.Duration) {
	if s, known := p.byHash[hash]; known {
		p.RecordOutcome(s.entry.Service, ok, now)
	}
}

// RecordUnserved records an unserved request to a service, given by the hash of its name.
func (p *Placer) RecordUnserved(hash uint32, now time.Duration) {
	for name, g := range p.services {
		if Hash(name) == hash {
			g.outcomes.count(false, now)
		}
	}
}

// UnservedShare returns the share of recent requests to a service that weren't served.
func (p *Placer) UnservedShare(serviceName string, now time.Duration) float64 {
	return p.service(serviceName).outcomes.unservedShare(now)
}

// Server returns the registration of a server.
func (p *Placer) Server(hash uint32) (discovery.Server, bool) {
	s, ok := p.byHash[hash]
	if !ok {
		return discovery.Server{}, false
	}
	return s.entry, true
}

// ServerStatus is the state of a server for status reports.
type ServerStatus struct {
	Server      discovery.Server
	Outstanding int
	// Risk is the probability that a request sent there now fails.
	Risk     float64
	Slowness float64
	// Cold and RateLimited servers receive requests up to their limit, and Evacuated
	// and BackingOff ones none.
	Cold, RateLimited, Evacuated, BackingOff bool
	// AddressReused servers receive none, as another server has their address.
	AddressReused bool
	// LastFailure is the result of the last failed attempt, SinceFailure ago; OK if none
	// is known.
	LastFailure  health.Result
	SinceFailure time.Duration
}

// ServerStatuses returns the state of all servers.
func (p *Placer) ServerStatuses(now time.Duration) []ServerStatus {
	statuses := make([]ServerStatus, 0, len(p.byID))
	for _, s := range p.byID {
		statuses = append(statuses, ServerStatus{
			Server: s.entry, Outstanding: s.currentOutstanding(now), Risk: s.risk(p.off, now), Slowness: s.currentSlowness(now),
			Cold: now < s.coldUntil, RateLimited: p.rateLimited(s), Evacuated: p.evacuated[s.entry.DataCentre], BackingOff: p.backoffRemaining(s, now) > 0,
			AddressReused: s.addressReused(now),
			LastFailure:   s.failureResult, SinceFailure: now - s.failedAt,
		})
	}
	return statuses
}

// Hash returns the FNV-1a hash that stands for a name in messages between instances.
func Hash(name string) uint32 {
	h := uint32(2166136261)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return h
}

func clamp01(x float64) float64 { return math.Min(math.Max(x, 0), 1) }

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
