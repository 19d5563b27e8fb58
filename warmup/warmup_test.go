package warmup_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/warmup"
)

const (
	step = time.Millisecond
	// hearing is how long the news of a request takes to the other instances.
	hearing = 30 * time.Millisecond
)

// policy is what an instance asks before it sends to a cold server.
type policy interface {
	allow(server uint32, now time.Duration) bool
	sent(server uint32, now time.Duration)
	// heard takes in a request of another instance.
	heard(server uint32, now time.Duration)
}

// leases is the policy of package warmup.
type leases struct {
	*warmup.Limiter
	rate float64
}

func (l leases) allow(server uint32, now time.Duration) bool {
	ok, _ := l.Allow(server, l.rate, now)
	return ok
}
func (l leases) sent(server uint32, now time.Duration) { l.Sent(server, now) }
func (l leases) heard(uint32, time.Duration)           {}

// sharedCount is the policy to compare with: an instance sends while it has
// heard of fewer requests in the last second than the server bears, times the
// share of the fleet that it hears.
type sharedCount struct {
	rate float64
	log  map[uint32][]time.Duration
}

func (s sharedCount) allow(server uint32, now time.Duration) bool {
	recent := 0
	for _, at := range s.log[server] {
		if now-at < time.Second {
			recent++
		}
	}
	return float64(recent)+1 <= s.rate
}

func (s sharedCount) sent(server uint32, now time.Duration) {
	s.log[server] = append(s.log[server], now)
}
func (s sharedCount) heard(server uint32, now time.Duration) { s.sent(server, now) }

// scene is a fleet whose every request would go to a cold server if it may.
type scene struct {
	instances, servers int
	// bears is what a cold server bears, in requests a second.
	bears float64
	// perSecond is how many requests the fleet gets.
	perSecond float64
	// halves says that each instance hears only every second other one.
	halves bool
	// alone says that nobody hears anybody and only the list of instances is known.
	alone bool
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

func (s scene) leases() []policy {
	all := ids(s.instances)
	var p []policy
	for i, id := range all {
		l := warmup.NewLimiter(id)
		l.SetInstances(without(all, i))
		p = append(p, leases{l, s.bears})
	}
	return p
}

func (s scene) sharedCounts() []policy {
	rate := s.bears
	switch {
	case s.halves:
		rate /= 2
	case s.alone:
		rate /= float64(s.instances)
	}
	var p []policy
	for range s.instances {
		p = append(p, sharedCount{rate, make(map[uint32][]time.Duration)})
	}
	return p
}

type news struct {
	at     time.Duration
	from   int
	server uint32
}

// play returns the most requests that a server got within a second, and the
// share of what all servers bear that was used.
func (s scene) play(policies []policy, seed uint64) (most int, used float64) {
	const length = 3 * time.Second
	rng := rand.New(rand.NewPCG(seed, 2))
	arrivals := make(map[uint32][]time.Duration)
	var pending []news
	total := 0
	for now := time.Duration(0); now < length; now += step {
		for len(pending) > 0 && pending[0].at <= now {
			n := pending[0]
			pending = pending[1:]
			for i, p := range policies {
				if i != n.from && !s.alone && (!s.halves || i%2 == n.from%2) {
					p.heard(n.server, now)
				}
			}
		}
		if rng.Float64() >= s.perSecond*step.Seconds() {
			continue
		}
		i := rng.IntN(s.instances)
		for _, k := range rng.Perm(s.servers) {
			server := uint32(1000 + k*7919)
			if policies[i].allow(server, now) {
				policies[i].sent(server, now)
				arrivals[server] = append(arrivals[server], now)
				pending = append(pending, news{now + hearing, i, server})
				total++
				break
			}
		}
	}
	return busiest(arrivals), float64(total) / (s.bears * float64(s.servers) * length.Seconds())
}

func busiest(arrivals map[uint32][]time.Duration) (most int) {
	for _, list := range arrivals {
		first := 0
		for last, at := range list {
			for at-list[first] >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most
}

var scenes = map[string]scene{
	"a data centre returns":       {instances: 99, servers: 24, bears: 7.5, perSecond: 350},
	"one server joins under load": {instances: 99, servers: 1, bears: 7.5, perSecond: 350},
	"half don't hear each other":  {instances: 99, servers: 24, bears: 7.5, perSecond: 350, halves: true},
	"all were just killed":        {instances: 99, servers: 47, bears: 7.5, perSecond: 900, alone: true},
	"servers bear two a second":   {instances: 36, servers: 8, bears: 2, perSecond: 60},
	"two a second, half unheard":  {instances: 36, servers: 8, bears: 2, perSecond: 60, halves: true},
	"few instances":               {instances: 3, servers: 4, bears: 7.5, perSecond: 100},
	"less than one a second":      {instances: 12, servers: 4, bears: 0.5, perSecond: 60},
}

// A cold server gets more requests within a second than it bears and breaks
// down, because every instance finds it idle at the same moment.
func TestColdServersGetWhatTheyBear(t *testing.T) {
	for name, s := range scenes {
		for seed := range uint64(5) {
			most, _ := s.play(s.leases(), seed)
			must.LessEq(t, max(s.bears, 1), float64(most), must.Sprint(name, " seed ", seed))
		}
	}
}

// What the two policies cost and use; see docs/design/shifted.md.
func TestComparePolicies(t *testing.T) {
	for name, s := range scenes {
		most, used := s.play(s.leases(), 1)
		countMost, countUsed := s.play(s.sharedCounts(), 1)
		t.Logf("%-28s bears %.1f: leases most %d, used %.2f; shared count most %d, used %.2f",
			name, s.bears, most, used, countMost, countUsed)
	}
}

// An instance that has just started and doesn't know the others yet must not
// take all shares.
func TestNothingIsAllowedUntilTheFleetIsKnown(t *testing.T) {
	l := warmup.NewLimiter(1)
	ok, _ := l.Allow(9, 5, 0)
	must.False(t, ok)
	l.SetInstances(nil)
	ok, _ = l.Allow(9, 5, 0)
	must.True(t, ok)
}

func TestHolderWaitsForItsNextShare(t *testing.T) {
	l := warmup.NewLimiter(1)
	l.SetInstances(nil)
	ok, _ := l.Allow(9, 1, 0)
	must.True(t, ok)
	l.Sent(9, 0)
	ok, wait := l.Allow(9, 1, 300*time.Millisecond)
	must.False(t, ok)
	must.Eq(t, 750*time.Millisecond, wait)
	ok, _ = l.Allow(9, 1, 1050*time.Millisecond)
	must.True(t, ok)
}
