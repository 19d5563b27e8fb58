package throttle_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/throttle"
	"foxtailspoke/warmup"
)

const (
	step = time.Millisecond
	// hearing is how long the news of a request takes to the other instances.
	hearing = 30 * time.Millisecond
	// window is the span over which a server counts.
	window = 4 * time.Second
)

// policy is what an instance asks before it sends to a limited server.
type policy interface {
	allow(server uint32, now time.Duration) bool
	sent(server uint32, now time.Duration)
	// heard takes in a request of another instance.
	heard(server uint32, now time.Duration)
}

// leases is the policy of package throttle.
type leases struct{ *throttle.Limiter }

func (l leases) allow(server uint32, now time.Duration) bool {
	ok, _ := l.Allow(server, now)
	return ok
}
func (l leases) sent(server uint32, now time.Duration) { l.Sent(server, now) }
func (l leases) heard(uint32, time.Duration)           {}

// fewHolders is the policy of package warmup, with one holder for each request a
// second.
type fewHolders struct {
	*warmup.Limiter
	limit float64
}

func (f fewHolders) allow(server uint32, now time.Duration) bool {
	ok, _ := f.Allow(server, f.limit, now)
	return ok
}
func (f fewHolders) sent(server uint32, now time.Duration) { f.Sent(server, now) }
func (f fewHolders) heard(uint32, time.Duration)           {}

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

func (b *bucket) allow(server uint32, now time.Duration) bool {
	b.refill(server, now)
	return b.tokens[server] >= 1
}

func (b *bucket) sent(server uint32, now time.Duration) {
	b.refill(server, now)
	b.tokens[server]--
}
func (b *bucket) heard(server uint32, now time.Duration) { b.sent(server, now) }

// scene is a fleet whose every request would go to a limited server if it may.
type scene struct {
	instances, servers int
	// limit that each server names, in requests a second.
	limit float64
	// perSecond is how many requests the fleet gets.
	perSecond float64
	// halves says that each instance hears only every second other one.
	halves bool
	// hearing is how long news takes; 0 is as usual.
	hearing time.Duration
}

func ids(n int) []uint32 {
	list := make([]uint32, n)
	for i := range list {
		list[i] = 0x0a000001 + uint32(i)
	}
	return list
}

func without(list []uint32, skip int) []uint32 {
	rest := append([]uint32(nil), list[:skip]...)
	return append(rest, list[skip+1:]...)
}

func (s scene) server(k int) uint32 { return uint32(1000 + k*7919) }

func (s scene) leases() []policy {
	all := ids(s.instances)
	var p []policy
	for i, id := range all {
		l := throttle.NewLimiter(id)
		l.SetInstances(without(all, i))
		for k := range s.servers {
			l.Named(s.server(k), s.limit, 0)
		}
		p = append(p, leases{l})
	}
	return p
}

func (s scene) fewHolders() []policy {
	all := ids(s.instances)
	var p []policy
	for i, id := range all {
		l := warmup.NewLimiter(id)
		l.SetInstances(without(all, i))
		p = append(p, fewHolders{l, s.limit})
	}
	return p
}

func (s scene) buckets() []policy {
	share := 1.0
	if s.halves {
		share = 0.5
	}
	var p []policy
	for range s.instances {
		p = append(p, &bucket{s.limit, share, make(map[uint32]float64), make(map[uint32]time.Duration)})
	}
	return p
}

type news struct {
	at     time.Duration
	from   int
	server uint32
}

// play returns the most requests that a server got within a window, and the share
// of all limits that was used.
func (s scene) play(policies []policy, seed uint64) (most int, used float64) {
	const length = 20 * time.Second
	delay := max(s.hearing, hearing)
	rng := rand.New(rand.NewPCG(seed, 7))
	arrivals := make(map[uint32][]time.Duration)
	var pending []news
	total := 0
	for now := time.Duration(0); now < length; now += step {
		for len(pending) > 0 && pending[0].at <= now {
			n := pending[0]
			pending = pending[1:]
			for i, p := range policies {
				if i != n.from && (!s.halves || i%2 == n.from%2) {
					p.heard(n.server, now)
				}
			}
		}
		if rng.Float64() >= s.perSecond*step.Seconds() {
			continue
		}
		i := rng.IntN(s.instances)
		for _, k := range rng.Perm(s.servers) {
			server := s.server(k)
			if policies[i].allow(server, now) {
				policies[i].sent(server, now)
				arrivals[server] = append(arrivals[server], now)
				pending = append(pending, news{now + delay, i, server})
				total++
				break
			}
		}
	}
	return busiest(arrivals), float64(total) / (s.limit * float64(s.servers) * length.Seconds())
}

func busiest(arrivals map[uint32][]time.Duration) (most int) {
	for _, list := range arrivals {
		first := 0
		for last, at := range list {
			for at-list[first] >= window {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most
}

// allowed is how many requests a server bears within a window.
func (s scene) allowed() float64 { return 1.5*s.limit*window.Seconds() + 5 }

var scenes = map[string]scene{
	"two of fifteen servers":          {instances: 36, servers: 2, limit: 1, perSecond: 60},
	"two servers, three a second":     {instances: 36, servers: 2, limit: 3.1, perSecond: 60},
	"all servers of a small service":  {instances: 36, servers: 8, limit: 2.5, perSecond: 25},
	"half don't hear each other":      {instances: 36, servers: 2, limit: 2.5, perSecond: 60, halves: true},
	"news takes long":                 {instances: 36, servers: 2, limit: 2.5, perSecond: 60, hearing: 300 * time.Millisecond},
	"one server under a large load":   {instances: 133, servers: 1, limit: 2.5, perSecond: 680},
	"many servers under a large load": {instances: 133, servers: 33, limit: 2.5, perSecond: 680},
	"large limits":                    {instances: 133, servers: 4, limit: 20, perSecond: 680},
	"hundreds of instances":           {instances: 293, servers: 30, limit: 1, perSecond: 400},
	"few instances":                   {instances: 3, servers: 4, limit: 2.5, perSecond: 30},
	"less than one a second":          {instances: 12, servers: 4, limit: 0.5, perSecond: 60},
}

// A server in need gets more than it takes, because every instance finds it idle
// at the same moment.
func TestLimitedServersGetWhatTheyTake(t *testing.T) {
	for name, s := range scenes {
		for seed := range uint64(5) {
			most, _ := s.play(s.leases(), seed)
			must.LessEq(t, s.allowed(), float64(most), must.Sprint(name, " seed ", seed))
		}
	}
}

// What the policies cost and use.
func TestComparePolicies(t *testing.T) {
	for name, s := range scenes {
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
	s := scene{instances: 36, servers: 1, limit: 2}
	first := make(map[time.Duration]int)
	for _, p := range s.leases() {
		if ok, wait := p.(leases).Allow(s.server(0), 0); ok || wait > 0 {
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
