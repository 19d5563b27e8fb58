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
func (l leases) Heard(uint32, time.Duration) {}

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
func (f fewHolders) Heard(uint32, time.Duration) {}

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

func (b *bucket) Sent(server uint32, now time.Duration) {
	b.refill(server, now)
	b.tokens[server]--
}
func (b *bucket) Heard(server uint32, now time.Duration) { b.Sent(server, now) }

// scene is a fleet whose every request would go to a limited server if it may.
type scene struct{ ratesim.Scene }

func (s scene) leases() []ratesim.Policy {
	return s.Fleet(func(self uint32, others []uint32) ratesim.Policy {
		l := throttle.NewLimiter(self)
		l.SetInstances(others)
		for k := range s.Servers {
			l.Named(ratesim.Server(k), s.Rate, 0)
		}
		return leases{l}
	})
}

func (s scene) fewHolders() []ratesim.Policy {
	return s.Fleet(func(self uint32, others []uint32) ratesim.Policy {
		l := warmup.NewLimiter(self)
		l.SetInstances(others)
		return fewHolders{l, s.Rate}
	})
}

func (s scene) buckets() []ratesim.Policy {
	share := 1.0
	if s.Halves {
		share = 0.5
	}
	return s.Fleet(func(uint32, []uint32) ratesim.Policy {
		return &bucket{s.Rate, share, make(map[uint32]float64), make(map[uint32]time.Duration)}
	})
}

func (s scene) play(fleet []ratesim.Policy, seed uint64) (most int, used float64) {
	s.Length, s.Window = 20*time.Second, window
	return s.Play(fleet, seed)
}

// allowed is how many requests a server bears within a window.
func (s scene) allowed() float64 { return 1.5*s.Rate*window.Seconds() + 5 }

var scenes = map[string]ratesim.Scene{
	"two of fifteen servers":          {Instances: 36, Servers: 2, Rate: 1, PerSecond: 60},
	"two servers, three a second":     {Instances: 36, Servers: 2, Rate: 3.1, PerSecond: 60},
	"all servers of a small service":  {Instances: 36, Servers: 8, Rate: 2.5, PerSecond: 25},
	"half don't hear each other":      {Instances: 36, Servers: 2, Rate: 2.5, PerSecond: 60, Halves: true},
	"news takes long":                 {Instances: 36, Servers: 2, Rate: 2.5, PerSecond: 60, Hearing: 300 * time.Millisecond},
	"one server under a large load":   {Instances: 133, Servers: 1, Rate: 2.5, PerSecond: 680},
	"many servers under a large load": {Instances: 133, Servers: 33, Rate: 2.5, PerSecond: 680},
	"large limits":                    {Instances: 133, Servers: 4, Rate: 20, PerSecond: 680},
	"hundreds of instances":           {Instances: 293, Servers: 30, Rate: 1, PerSecond: 400},
	"few instances":                   {Instances: 3, Servers: 4, Rate: 2.5, PerSecond: 30},
	"less than one a second":          {Instances: 12, Servers: 4, Rate: 0.5, PerSecond: 60},
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
	s := scene{ratesim.Scene{Instances: 36, Servers: 1, Rate: 2}}
	first := make(map[time.Duration]int)
	for _, p := range s.leases() {
		if ok, wait := p.(leases).Limiter.Allow(ratesim.Server(0), 0); ok || wait > 0 {
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
	l.Named(9, 5, 0)
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
	l.Named(9, 2, 0)
	l.Sent(9, time.Second)
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
	l.Named(9, 0, 0)
	l.Sent(9, 0)
	ok, wait := l.Allow(9, 0)
	must.False(t, ok)
	must.Eq(t, 10*time.Second, wait)
}

func TestServerWithoutALimitIsAllowed(t *testing.T) {
	l := throttle.NewLimiter(1)
	ok, _ := l.Allow(9, 0)
	must.True(t, ok)
	l.SetInstances(nil)
	l.Named(9, 1, 0)
	l.Sent(9, 0)
	l.Withdrawn(9)
	ok, _ = l.Allow(9, 0)
	must.True(t, ok)
	_, limited := l.Limit(9)
	must.False(t, limited)
}

// An answer that left the server before it named a limit arrives after one that
// names it. Taken for the end of the limit it would let everybody send at will.
func TestOnlyAnAnswerToALaterRequestEndsALimit(t *testing.T) {
	l := throttle.NewLimiter(1)
	must.False(t, l.HeardBefore(9, time.Second))
	l.Named(9, 2, time.Second)
	must.False(t, l.HeardBefore(9, 900*time.Millisecond))
	must.True(t, l.HeardBefore(9, 1100*time.Millisecond))
}
