package warmup_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/ratesim"
	"foxtailspoke/warmup"
)

// leases is the policy of package warmup.
type leases struct {
	*warmup.Limiter
	rate float64
}

func (l leases) Allow(server uint32, now time.Duration) bool {
	ok, _ := l.Limiter.Allow(server, l.rate, now)
	return ok
}
func (l leases) RecordPeerSent(uint32, time.Duration) {}

// sharedCount is the policy to compare with: an instance sends while it has
// heard of fewer requests in the last second than the server bears, times the
// share of the fleet that it hears.
type sharedCount struct {
	rate float64
	log  map[uint32][]time.Duration
}

func (s sharedCount) Allow(server uint32, now time.Duration) bool {
	recent := 0
	for _, at := range s.log[server] {
		if now-at < time.Second {
			recent++
		}
	}
	return float64(recent)+1 <= s.rate
}

func (s sharedCount) RecordSent(server uint32, now time.Duration) {
	s.log[server] = append(s.log[server], now)
}
func (s sharedCount) RecordPeerSent(server uint32, now time.Duration) { s.RecordSent(server, now) }

// scene is a fleet whose every request would go to a cold server if it may.
type scene struct{ ratesim.Scenario }

func (s scene) leases() []ratesim.Policy {
	return s.NewFleet(func(self uint32, others []uint32) ratesim.Policy {
		l := warmup.NewLimiter(self)
		l.SetInstances(others)
		return leases{l, s.ServerRate}
	})
}

func (s scene) sharedCounts() []ratesim.Policy {
	rate := s.ServerRate
	switch {
	case s.Partitioned:
		rate /= 2
	case s.Isolated:
		rate /= float64(s.Instances)
	}
	return s.NewFleet(func(uint32, []uint32) ratesim.Policy {
		return sharedCount{rate, make(map[uint32][]time.Duration)}
	})
}

// play plays a scene for three seconds and counts what comes within one.
func (s scene) play(fleet []ratesim.Policy, seed uint64) (most int, used float64) {
	s.Duration, s.Window = 3*time.Second, time.Second
	return s.Run(fleet, seed)
}

var scenes = map[string]ratesim.Scenario{
	"a data centre returns":       {Instances: 99, Servers: 24, ServerRate: 7.5, RequestRate: 350},
	"one server joins under load": {Instances: 99, Servers: 1, ServerRate: 7.5, RequestRate: 350},
	"half don't hear each other":  {Instances: 99, Servers: 24, ServerRate: 7.5, RequestRate: 350, Partitioned: true},
	"all were just killed":        {Instances: 99, Servers: 47, ServerRate: 7.5, RequestRate: 900, Isolated: true},
	"servers bear two a second":   {Instances: 36, Servers: 8, ServerRate: 2, RequestRate: 60},
	"two a second, half unheard":  {Instances: 36, Servers: 8, ServerRate: 2, RequestRate: 60, Partitioned: true},
	"few instances":               {Instances: 3, Servers: 4, ServerRate: 7.5, RequestRate: 100},
	"less than one a second":      {Instances: 12, Servers: 4, ServerRate: 0.5, RequestRate: 60},
}

// A cold server gets more requests within a second than it bears and breaks
// down, because every instance finds it idle at the same moment.
func TestColdServersGetWhatTheyBear(t *testing.T) {
	for name, drawn := range scenes {
		s := scene{drawn}
		for seed := range uint64(5) {
			most, _ := s.play(s.leases(), seed)
			must.LessEq(t, max(s.ServerRate, 1), float64(most), must.Sprint(name, " seed ", seed))
		}
	}
}

// What the two policies cost and use; see docs/design/shifted.md.
func TestComparePolicies(t *testing.T) {
	for name, drawn := range scenes {
		s := scene{drawn}
		most, used := s.play(s.leases(), 1)
		countMost, countUsed := s.play(s.sharedCounts(), 1)
		t.Logf("%-28s bears %.1f: leases most %d, used %.2f; shared count most %d, used %.2f",
			name, s.ServerRate, most, used, countMost, countUsed)
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
	l.RecordSent(9, 0)
	ok, wait := l.Allow(9, 1, 300*time.Millisecond)
	must.False(t, ok)
	must.Eq(t, 750*time.Millisecond, wait)
	ok, _ = l.Allow(9, 1, 1050*time.Millisecond)
	must.True(t, ok)
}
