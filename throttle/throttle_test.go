package throttle_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/ratesim"
	"foxtailspoke/throttle"
	"foxtailspoke/warmup"
)

// window is the span over which a server counts.
const window = 4 * time.Second

// leases is the policy of package throttle.
type leases struct{ *throttle.Limiter }

func (l leases) Allow(server uint32, now time.Duration) bool {
	ok, _ := l.Limiter.Allow(server, now)
	return ok
}
func (l leases) RecordPeerSent(uint32, time.Duration) {}

// fewHolders is the policy of package warmup, with one holder for each request a
// second.
type fewHolders struct {
	*warmup.Limiter
	limit float64
}

func (f fewHolders) Allow(server uint32, now time.Duration) bool {
	ok, _ := f.Limiter.Allow(server, f.limit, now)
	return ok
}
func (f fewHolders) RecordPeerSent(uint32, time.Duration) {}

// bucket is a token bucket whose tokens all instances take, as far as they hear
// each other; it counts on the share of the limit that belongs to those heard.
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

// scene is a fleet whose every request would go to a limited server if it may.
type scene struct{ ratesim.Scenario }

func (s scene) leases() []ratesim.Policy {
	return s.NewFleet(func(self uint32, others []uint32) ratesim.Policy {
		l := throttle.NewLimiter(self)
		l.SetInstances(others)
		for k := range s.Servers {
			l.SetLimit(ratesim.ServerID(k), s.ServerRate, 0)
		}
		return leases{l}
	})
}

func (s scene) fewHolders() []ratesim.Policy {
	return s.NewFleet(func(self uint32, others []uint32) ratesim.Policy {
		l := warmup.NewLimiter(self)
		l.SetInstances(others)
		return fewHolders{l, s.ServerRate}
	})
}

func (s scene) buckets() []ratesim.Policy {
	share := 1.0
	if s.Partitioned {
		share = 0.5
	}
	return s.NewFleet(func(uint32, []uint32) ratesim.Policy {
		return &bucket{s.ServerRate, share, make(map[uint32]float64), make(map[uint32]time.Duration)}
	})
}

func (s scene) play(fleet []ratesim.Policy, seed uint64) (most int, used float64) {
	s.Duration, s.Window = 20*time.Second, window
	return s.Run(fleet, seed)
}

// allowed is how many requests a server bears within a window.
func (s scene) allowed() float64 { return 1.5*s.ServerRate*window.Seconds() + 5 }

var scenes = map[string]ratesim.Scenario{
	"two of fifteen servers":          {Instances: 36, Servers: 2, ServerRate: 1, RequestRate: 60},
	"two servers, three a second":     {Instances: 36, Servers: 2, ServerRate: 3.1, RequestRate: 60},
	"all servers of a small service":  {Instances: 36, Servers: 8, ServerRate: 2.5, RequestRate: 25},
	"half don't hear each other":      {Instances: 36, Servers: 2, ServerRate: 2.5, RequestRate: 60, Partitioned: true},
	"news takes long":                 {Instances: 36, Servers: 2, ServerRate: 2.5, RequestRate: 60, PropagationDelay: 300 * time.Millisecond},
	"one server under a large load":   {Instances: 133, Servers: 1, ServerRate: 2.5, RequestRate: 680},
	"many servers under a large load": {Instances: 133, Servers: 33, ServerRate: 2.5, RequestRate: 680},
	"large limits":                    {Instances: 133, Servers: 4, ServerRate: 20, RequestRate: 680},
	"hundreds of instances":           {Instances: 293, Servers: 30, ServerRate: 1, RequestRate: 400},
	"few instances":                   {Instances: 3, Servers: 4, ServerRate: 2.5, RequestRate: 30},
	"less than one a second":          {Instances: 12, Servers: 4, ServerRate: 0.5, RequestRate: 60},
}

// A server in need gets more than it takes, because every instance finds it idle
// at the same moment.
func TestLimitedServersGetWhatTheyTake(t *testing.T) {
	for name, drawn := range scenes {
		s := scene{drawn}
		for seed := range uint64(5) {
			most, _ := s.play(s.leases(), seed)
			must.LessEq(t, s.allowed(), float64(most), must.Sprint(name, " seed ", seed))
		}
	}
}

// What the policies cost and use.
func TestComparePolicies(t *testing.T) {
	for name, drawn := range scenes {
		s := scene{drawn}
		most, used := s.play(s.leases(), 1)
		fewMost, fewUsed := s.play(s.fewHolders(), 1)
		bucketMost, bucketUsed := s.play(s.buckets(), 1)
		t.Logf("%-31s allowed %5.1f: leases %d, used %.2f; few holders %d, used %.2f; bucket %d, used %.2f",
			name, s.allowed(), most, used, fewMost, fewUsed, bucketMost, bucketUsed)
	}
}

// A limit is named to all instances at once; their first requests must not come at
// once as well.
func TestFirstTurnsOfHoldersAreStaggered(t *testing.T) {
	s := scene{ratesim.Scenario{Instances: 36, Servers: 1, ServerRate: 2}}
	first := make(map[time.Duration]int)
	for _, p := range s.leases() {
		if ok, wait := p.(leases).Limiter.Allow(ratesim.ServerID(0), 0); ok || wait > 0 {
			first[wait]++
		}
	}
	must.MapLen(t, 5, first)
	for wait, holders := range first {
		must.Eq(t, 1, holders, must.Sprint(wait))
		must.LessEq(t, 2*time.Second, wait)
	}
}

// An instance that has just started and doesn't know the others yet must not take
// itself for the only holder.
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

func TestHolderKeepsToItsPart(t *testing.T) {
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

// A server that takes nothing is asked now and then: nobody else would learn that
// it takes requests again.
func TestServerWithoutAnyRoomIsAskedNowAndThen(t *testing.T) {
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

// An answer that left the server before it named a limit arrives after one that
// names it. Taken for the end of the limit it would let everybody send at will.
func TestOnlyAnAnswerToALaterRequestEndsALimit(t *testing.T) {
	l := throttle.NewLimiter(1)
	must.False(t, l.LimitOlderThan(9, time.Second))
	l.SetLimit(9, 2, time.Second)
	must.False(t, l.LimitOlderThan(9, 900*time.Millisecond))
	must.True(t, l.LimitOlderThan(9, 1100*time.Millisecond))
}
