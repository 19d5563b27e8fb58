package throttle_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/ratesim"
	"foxtailspoke/throttle"
	"foxtailspoke/warmup"
)

// window is the interval over which a server counts requests.
const window = 4 * time.Second

// holderPolicy is the policy of package throttle.
type holderPolicy struct{ *throttle.Limiter }

func (l holderPolicy) Allow(server uint32, now time.Duration) bool {
	ok, _ := l.Limiter.Allow(server, now)
	return ok
}
func (l holderPolicy) RecordPeerSent(uint32, time.Duration) {}

// fewHolders is the policy of package warmup, with one holder per request per second.
type fewHolders struct {
	*warmup.Limiter
	limit float64
}

func (f fewHolders) Allow(server uint32, now time.Duration) bool {
	ok, _ := f.Limiter.Allow(server, f.limit, now)
	return ok
}
func (f fewHolders) RecordPeerSent(uint32, time.Duration) {}

// bucket is a token bucket for the instances that receive each other's messages. It
// refills at their share of the limit.
type bucket struct {
	limit, share float64
	tokens       map[uint32]float64
	at           map[uint32]time.Duration
}

const bucketDepth = 1

func (b *bucket) refill(server uint32, now time.Duration) {
	before, known := b.at[server]
	if !known {
		b.tokens[server] = bucketDepth
	}
	b.tokens[server] = min(b.tokens[server]+b.limit*b.share*(now-before).Seconds(), bucketDepth)
	b.at[server] = now
}

func (b *bucket) Allow(server uint32, now time.Duration) bool {
	b.refill(server, now)
	return b.tokens[server] >= 1
}

func (b *bucket) RecordSent(server uint32, now time.Duration) {
	b.refill(server, now)
	b.tokens[server]--
}
func (b *bucket) RecordPeerSent(server uint32, now time.Duration) { b.RecordSent(server, now) }

// scenario is a fleet in which every request goes to a limited server if allowed.
type scenario struct{ ratesim.Scenario }

func (s scenario) holderPolicies() []ratesim.Policy {
	return s.NewFleet(func(self uint32, others []uint32) ratesim.Policy {
		l := throttle.NewLimiter(self)
		l.SetInstances(others)
		for k := range s.Servers {
			l.SetLimit(ratesim.ServerID(k), s.ServerRate, 0)
		}
		return holderPolicy{l}
	})
}

func (s scenario) fewHolders() []ratesim.Policy {
	return s.NewFleet(func(self uint32, others []uint32) ratesim.Policy {
		l := warmup.NewLimiter(self)
		l.SetInstances(others)
		return fewHolders{l, s.ServerRate}
	})
}

func (s scenario) buckets() []ratesim.Policy {
	share := 1.0
	if s.Partitioned {
		share = 0.5
	}
	return s.NewFleet(func(uint32, []uint32) ratesim.Policy {
		return &bucket{s.ServerRate, share, make(map[uint32]float64), make(map[uint32]time.Duration)}
	})
}

func (s scenario) run(fleet []ratesim.Policy, seed uint64) (peak int, used float64) {
	s.Duration, s.Window = 20*time.Second, window
	return s.Run(fleet, seed)
}

// allowed returns the number of requests that a server accepts within a window.
func (s scenario) allowed() float64 { return 1.5*s.ServerRate*window.Seconds() + 5 }

var scenarios = map[string]ratesim.Scenario{
	"two of fifteen servers":          {Instances: 36, Servers: 2, ServerRate: 1, RequestRate: 60},
	"two servers, three per second":   {Instances: 36, Servers: 2, ServerRate: 3.1, RequestRate: 60},
	"all servers of a small service":  {Instances: 36, Servers: 8, ServerRate: 2.5, RequestRate: 25},
	"fleet partitioned in halves":     {Instances: 36, Servers: 2, ServerRate: 2.5, RequestRate: 60, Partitioned: true},
	"slow propagation":                {Instances: 36, Servers: 2, ServerRate: 2.5, RequestRate: 60, PropagationDelay: 300 * time.Millisecond},
	"one server under a large load":   {Instances: 133, Servers: 1, ServerRate: 2.5, RequestRate: 680},
	"many servers under a large load": {Instances: 133, Servers: 33, ServerRate: 2.5, RequestRate: 680},
	"large limits":                    {Instances: 133, Servers: 4, ServerRate: 20, RequestRate: 680},
	"hundreds of instances":           {Instances: 293, Servers: 30, ServerRate: 1, RequestRate: 400},
	"few instances":                   {Instances: 3, Servers: 4, ServerRate: 2.5, RequestRate: 30},
	"less than one per second":        {Instances: 12, Servers: 4, ServerRate: 0.5, RequestRate: 60},
}

// Every instance finds a limited server idle at the same moment. The fleet must not
// send it more than it accepts.
func TestLimitedServersStayWithinTheirLimit(t *testing.T) {
	for name, params := range scenarios {
		s := scenario{params}
		for seed := range uint64(5) {
			peak, _ := s.run(s.holderPolicies(), seed)
			must.LessEq(t, s.allowed(), float64(peak), must.Sprint(name, " seed ", seed))
		}
	}
}

// Logs the peak rate and utilization of each policy.
func TestComparePolicies(t *testing.T) {
	for name, params := range scenarios {
		s := scenario{params}
		peak, used := s.run(s.holderPolicies(), 1)
		fewPeak, fewUsed := s.run(s.fewHolders(), 1)
		bucketPeak, bucketUsed := s.run(s.buckets(), 1)
		t.Logf("%-31s allowed %5.1f: holders peak %d, utilization %.2f; few holders peak %d, utilization %.2f; token bucket peak %d, utilization %.2f",
			name, s.allowed(), peak, used, fewPeak, fewUsed, bucketPeak, bucketUsed)
	}
}

// All instances learn of a limit at the same moment. Their first requests must not
// arrive at the same moment as well.
func TestFirstRequestsOfHoldersAreStaggered(t *testing.T) {
	s := scenario{ratesim.Scenario{Instances: 36, Servers: 1, ServerRate: 2}}
	first := make(map[time.Duration]int)
	for _, p := range s.holderPolicies() {
		if ok, wait := p.(holderPolicy).Limiter.Allow(ratesim.ServerID(0), 0); ok || wait > 0 {
			first[wait]++
		}
	}
	must.MapLen(t, 5, first)
	for wait, holders := range first {
		must.Eq(t, 1, holders, must.Sprint(wait))
		must.LessEq(t, 2*time.Second, wait)
	}
}

// An instance that has just started and doesn't know the other instances yet must
// not act as the only holder.
func TestNothingIsAllowedUntilTheFleetIsKnown(t *testing.T) {
	l := throttle.NewLimiter(1)
	l.SetLimit(9, 5, 0)
	ok, wait := l.Allow(9, time.Minute)
	must.False(t, ok)
	must.Eq(t, 0, wait)
	l.SetInstances(nil)
	ok, _ = l.Allow(9, time.Minute)
	must.True(t, ok)
}

func TestHolderStaysWithinItsShare(t *testing.T) {
	l := throttle.NewLimiter(1)
	l.SetInstances(nil)
	l.SetLimit(9, 2, 0)
	l.RecordSent(9, time.Second)
	ok, wait := l.Allow(9, 1300*time.Millisecond)
	must.False(t, ok)
	must.Eq(t, 200*time.Millisecond, wait)
	ok, _ = l.Allow(9, 1500*time.Millisecond)
	must.True(t, ok)
}

// A server with a limit of zero still receives a request now and then, as no instance
// would otherwise learn that it accepts requests again.
func TestServerWithZeroLimitStillReceivesRequests(t *testing.T) {
	l := throttle.NewLimiter(1)
	l.SetInstances(nil)
	l.SetLimit(9, 0, 0)
	l.RecordSent(9, 0)
	ok, wait := l.Allow(9, 0)
	must.False(t, ok)
	must.Eq(t, 10*time.Second, wait)
}

func TestServerWithoutALimitIsAllowed(t *testing.T) {
	l := throttle.NewLimiter(1)
	ok, _ := l.Allow(9, 0)
	must.True(t, ok)
	l.SetInstances(nil)
	l.SetLimit(9, 1, 0)
	l.RecordSent(9, 0)
	l.RemoveLimit(9)
	ok, _ = l.Allow(9, 0)
	must.True(t, ok)
	_, limited := l.Limit(9)
	must.False(t, limited)
}

// A response that left the server before it announced a limit arrives after the one
// that announced it. It must not end the limit, which would let all instances send
// without restriction.
func TestOnlyAResponseToALaterRequestEndsALimit(t *testing.T) {
	l := throttle.NewLimiter(1)
	must.False(t, l.LimitOlderThan(9, time.Second))
	l.SetLimit(9, 2, time.Second)
	must.False(t, l.LimitOlderThan(9, 900*time.Millisecond))
	must.True(t, l.LimitOlderThan(9, 1100*time.Millisecond))
}
