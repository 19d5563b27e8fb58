// Package placement chooses the backend server for a request.
//
// Load pattern: many small instances share few servers with two to six slots
// each, so that an instance alone sends a server less than one request a
// second and can know neither its load nor its health. About a third of the
// servers fail most requests for some seconds at a time while their health
// reports are good, and a non-idempotent request that failed is lost.
//
// Idea: all instances tell each other each start and end of an attempt. From
// that everyone keeps, per server, the work outstanding, how slow it is, and
// the probability that it fails (belief). A request goes to the server that
// costs it least: the risk of failing, weighted by whether it may be repeated,
// the time until its answer against its aim, and the bytes that would cross
// data centres. Servers that answered a moment ago carry the least risk. Those
// that are probably well get a request now and then even if others would be
// cheaper, which keeps them known: they take over without a try when a spell
// of failures begins elsewhere, and each spell then costs few requests.
//
// Servers in evacuated data centres get nothing, cold ones no more than they bear,
// and those that name a limit no more than that, whatever it costs; see obstacle.
//
// Trade-off: servers that failed are known least. Requests that may be repeated
// find out, as long as there is ample room to repeat them; where there are
// only orders, one in fifty is spent on it. Newcomers get an early request; and
// once too many of a service's requests go unserved, they are spread over all
// servers that didn't just fail, so that healthy capacity isn't left idle.
//
// Decisions are pure: time and randomness are passed in.
package placement

import (
	"math"
	"time"

	"foxtailspoke/discovery"
	"foxtailspoke/health"
	"foxtailspoke/mechanism"
	"foxtailspoke/throttle"
	"foxtailspoke/warmup"
)

// Request is what a choice depends on.
type Request struct {
	Service   string
	Retryable bool
	// RetryBudgetAmple says that there is ample room to repeat requests.
	RetryBudgetAmple bool
	// LatencyTarget is the time within which the answer is in time, from now.
	LatencyTarget time.Duration
	// Remaining is the time until the caller gives up or the route's timeout.
	Remaining time.Duration
	// ServiceTime is the usual time of such a request at a server of mean speed.
	ServiceTime time.Duration
	// SizeKB is the expected size of request and answer in kilobytes.
	SizeKB float64
	// DataCentre of the instance that asks.
	DataCentre string
	// TriedServers holds the servers that this request was sent to already.
	TriedServers []string
	// AllowedDataCentres holds the data centres that it may be sent to; nil means any.
	AllowedDataCentres map[string]bool
}

// MustQueue reports whether the request has to wait for a slot, as far as is known.
func (c Choice) MustQueue() bool { return c.Outstanding >= c.Server.Slots }

// Choice is a server and what was expected of it.
type Choice struct {
	Server discovery.Server
	// ExpectedLatency is the time until the answer.
	ExpectedLatency time.Duration
	// Outstanding is the server's work before this request, over all instances.
	Outstanding int
	// Risk is the probability that the request fails.
	Risk float64
	// Cost is the figure that made this server the choice.
	Cost float64
}

// Placer knows the servers of all services. It isn't safe for concurrent use.
type Placer struct {
	services map[string]*service
	byID     map[string]*server
	byHash   map[uint32]*server
	off      mechanism.Off
	// instanceLossUntil is how long requests are taken to go unserved unheard.
	instanceLossUntil time.Duration
	// evacuated data centres get nothing.
	evacuated map[string]bool
	// warmUpLimiter bounds what cold servers get; nil if nothing does.
	warmUpLimiter *warmup.Limiter
	// rateLimiter bounds what servers get that name a limit; nil if nothing does.
	rateLimiter *throttle.Limiter
}

type service struct {
	servers []*server
	// firstServerAt is when the first of them became known.
	firstServerAt time.Duration
	// serviceTime is the usual time of the service's requests, all kinds together.
	serviceTime time.Duration
	outcomes    outcomes
	signals     signalStats
	// retryableShare is the share of this instance's requests to the service that can
	// be repeated.
	retryableShare float64
	warmUp         WarmUp
}

// never is the time of what hasn't happened. With 0, an instance that has just
// started would take all servers for used and failed a moment ago.
const never = -time.Hour

// New returns a placer without servers.
func New() *Placer { return NewWithout(mechanism.Off{}) }

// NewWithout returns a placer without servers and without some mechanisms.
func NewWithout(off mechanism.Off) *Placer {
	return &Placer{
		off:      off,
		services: make(map[string]*service),
		byID:     make(map[string]*server),
		byHash:   make(map[uint32]*server),

		evacuated: make(map[string]bool),
	}
}

// Apply takes in a change of the list of servers.
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
			lastFailure: never,
			addedAt:     now,
			lastAnswer:  now,
			outstanding: make(map[uint32]outstandingCount),
		}
		p.byID[c.Server.ID] = old
		p.byHash[old.hash] = old
		s := p.service(c.Server.Service)
		if len(s.servers) == 0 {
			s.firstServerAt = now
		}
		s.servers = append(s.servers, old)
	}
	old.entry = c.Server
	old.extendWarmUp(now + c.Server.WarmUp)
}

func (p *Placer) remove(s *server) {
	delete(p.byID, s.entry.ID)
	delete(p.byHash, s.hash)
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

// Choose returns the server that costs the request least, or false if there
// is none that it may be sent to.
func (p *Placer) Choose(r Request, now time.Duration, random func() float64) (Choice, bool) {
	g := p.service(r.Service)
	wide := p.shouldSpread(g, r.Retryable, now)
	best, found := Choice{Cost: math.Inf(1)}, false
	for _, s := range g.servers {
		if p.exclusion(g, s, r, now) != NotExcluded {
			continue
		}
		c := s.evaluate(p.off, g, r, now, wide, random)
		c.Cost += costJitter * random()
		if c.Cost < best.Cost {
			best, found = c, true
		}
	}
	return best, found
}

// shouldSpread reports whether a request should help to bring more of the servers into
// use.
func (p *Placer) shouldSpread(g *service, repeatable bool, now time.Duration) bool {
	if !p.off.On(mechanism.Spread) {
		return false
	}
	if now-g.firstServerAt < startupSpreadPeriod || now < p.instanceLossUntil {
		return p.shareInUse(g, now) < spreadCoverageAtStart
	}
	enough := spreadCoverage
	if repeatable {
		enough = spreadCoverageRetryable
	}
	return g.outcomes.unservedShare(now) > spreadUnservedShare && p.shareInUse(g, now) < enough
}

// shareInUse is the share of the servers that had a request in the last moments, of
// those that may get any.
func (p *Placer) shareInUse(g *service, now time.Duration) float64 {
	used, all := 0, 0
	for _, s := range g.servers {
		if s.entry.Draining || p.evacuated[s.entry.DataCentre] || g.warmUp.limitsServer(s, now) || p.rateLimited(s) {
			continue
		}
		all++
		if s.used && now-s.lastUse <= idleAfter {
			used++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(used) / float64(all)
}

// RecordInstanceLoss takes in that many instances have fallen silent. What goes unserved
// there is told by nobody; for a while it is taken to be too much.
func (p *Placer) RecordInstanceLoss(now time.Duration) {
	p.instanceLossUntil = now + instanceLossPeriod
}

// instanceLossPeriod is how long that is: callers have left a silent instance by then.
const instanceLossPeriod = 5 * time.Second

// SetOutstanding takes in how many requests an instance has at a server; 0 is
// this instance.
func (p *Placer) SetOutstanding(hash, instance uint32, n int, now time.Duration) {
	s, ok := p.byHash[hash]
	if !ok {
		return
	}
	s.totalOutstanding += n - s.outstanding[instance].n
	s.outstanding[instance] = outstandingCount{n, now}
	if n > 0 {
		s.lastUse = now
		s.used = true
	}
}

// RemoveInstance drops the work of an instance that has fallen silent.
func (p *Placer) RemoveInstance(instance uint32) {
	for _, s := range p.byID {
		s.totalOutstanding -= s.outstanding[instance].n
		delete(s.outstanding, instance)
	}
}

// RecordResult takes in the result of an attempt. Took is the time until it, 0 if it is
// unknown or an answer had to wait for a slot; work is what a server of mean
// speed takes for such a request. Own says that the attempt was this instance's.
func (p *Placer) RecordResult(hash uint32, r health.Result, own bool, took, work, now time.Duration) {
	s, ok := p.byHash[hash]
	if !ok {
		return
	}
	g := p.service(s.entry.Service)
	s.updateReachability(r, g.warmUp.Duration, now)
	s.recordResult(&g.signals, r, own && p.off.On(mechanism.Paths), took, work, now)
	if r == health.OK {
		// A cold server's time says nothing of its usual speed.
		if p.off.On(mechanism.Slowness) && now >= s.coldUntil {
			s.updateSlowness(took, work)
		}
		g.serviceTime += time.Duration(serviceTimeSmoothing * float64(work-g.serviceTime))
	}
}

// RecordOutcome takes in the final outcome of a request to a service, whatever the
// reason of a refusal.
func (p *Placer) RecordOutcome(serviceName string, ok bool, now time.Duration) {
	p.service(serviceName).outcomes.count(ok, now)
}

// RecordServerOutcome is Served for the service of a server.
func (p *Placer) RecordServerOutcome(hash uint32, ok bool, now time.Duration) {
	if s, known := p.byHash[hash]; known {
		p.RecordOutcome(s.entry.Service, ok, now)
	}
}

// RecordRefusal is Served for a request that was refused, by the hash of its
// service's name.
func (p *Placer) RecordRefusal(hash uint32, now time.Duration) {
	for name, g := range p.services {
		if Hash(name) == hash {
			g.outcomes.count(false, now)
		}
	}
}

// Server returns the entry of a server.
func (p *Placer) Server(hash uint32) (discovery.Server, bool) {
	s, ok := p.byHash[hash]
	if !ok {
		return discovery.Server{}, false
	}
	return s.entry, true
}

// ServerStatus is what a status page shows of a server.
type ServerStatus struct {
	Server      discovery.Server
	Outstanding int
	// Risk is the probability that a request sent there now fails.
	Risk     float64
	Slowness float64
	// Cold servers get no more than they bear, RateLimited ones no more than their
	// limit, and Evacuated ones nothing.
	Cold, RateLimited, Evacuated bool
	// LastFailure is how the last failed attempt went, SinceFailure ago; OK if
	// none is known.
	LastFailure  health.Result
	SinceFailure time.Duration
}

// ServerStatuses returns all servers.
func (p *Placer) ServerStatuses(now time.Duration) []ServerStatus {
	views := make([]ServerStatus, 0, len(p.byID))
	for _, s := range p.byID {
		views = append(views, ServerStatus{
			Server: s.entry, Outstanding: s.currentOutstanding(now), Risk: s.risk(p.off, now), Slowness: s.slowness,
			Cold: now < s.coldUntil, RateLimited: p.rateLimited(s), Evacuated: p.evacuated[s.entry.DataCentre],
			LastFailure: s.failureResult, SinceFailure: now - s.failedAt,
		})
	}
	return views
}

// Hash is the short form of a name in messages between instances (FNV-1a).
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
