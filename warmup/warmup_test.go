package warmup_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/ratesim"
	"foxtailspoke/warmup"
)

// holderPolicy is the policy of package warmup.
type holderPolicy struct {
	*warmup.Limiter
	rate float64
}

func (l holderPolicy) Allow(server uint32, now time.Duration) bool {
	ok, _ := l.Limiter.Allow(server, l.rate, now)
	return ok
}
func (l holderPolicy) RecordPeerSent(uint32, time.Duration) {}

// sharedCount is the policy to compare with: an instance sends while the requests
// of the last second that it knows of are fewer than the rate of the server times
// the share of the fleet that it receives messages from.
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

// scenario is a fleet in which every request goes to a cold server if allowed.
type scenario struct{ ratesim.Scenario }

func (s scenario) holderPolicies() []ratesim.Policy {
	return s.NewFleet(func(self uint32, others []uint32) ratesim.Policy {
		l := warmup.NewLimiter(self)
		l.SetInstances(others)
		return holderPolicy{l, s.ServerRate}
	})
}

func (s scenario) sharedCounts() []ratesim.Policy {
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

// run simulates three seconds and counts requests in windows of one second.
func (s scenario) run(fleet []ratesim.Policy, seed uint64) (peak int, used float64) {
	s.Duration, s.Window = 3*time.Second, time.Second
	return s.Run(fleet, seed)
}

var scenarios = map[string]ratesim.Scenario{
	"a data centre returns":       {Instances: 99, Servers: 24, ServerRate: 7.5, RequestRate: 350},
	"one server joins under load": {Instances: 99, Servers: 1, ServerRate: 7.5, RequestRate: 350},
	"fleet partitioned in halves": {Instances: 99, Servers: 24, ServerRate: 7.5, RequestRate: 350, Partitioned: true},
	"all instances restarted":     {Instances: 99, Servers: 47, ServerRate: 7.5, RequestRate: 900, Isolated: true},
	"two requests per second":     {Instances: 36, Servers: 8, ServerRate: 2, RequestRate: 60},
	"two per second, partitioned": {Instances: 36, Servers: 8, ServerRate: 2, RequestRate: 60, Partitioned: true},
	"few instances":               {Instances: 3, Servers: 4, ServerRate: 7.5, RequestRate: 100},
	"less than one per second":    {Instances: 12, Servers: 4, ServerRate: 0.5, RequestRate: 60},
}

// Every instance finds a cold server idle at the same moment. The fleet must not
// send it more requests within a second than it can handle.
func TestColdServersStayWithinTheirRate(t *testing.T) {
	for name, params := range scenarios {
		s := scenario{params}
		for seed := range uint64(5) {
			peak, _ := s.run(s.holderPolicies(), seed)
			must.LessEq(t, max(s.ServerRate, 1), float64(peak), must.Sprint(name, " seed ", seed))
		}
	}
}

// Logs the peak rate and utilization of both policies; see docs/design/shifted.md.
func TestComparePolicies(t *testing.T) {
	for name, params := range scenarios {
		s := scenario{params}
		peak, used := s.run(s.holderPolicies(), 1)
		countPeak, countUsed := s.run(s.sharedCounts(), 1)
		t.Logf("%-28s rate %.1f: holders peak %d, utilization %.2f; shared count peak %d, utilization %.2f",
			name, s.ServerRate, peak, used, countPeak, countUsed)
	}
}

// An instance that has just started and doesn't know the other instances yet must
// not use all shares.
func TestNothingIsAllowedUntilTheFleetIsKnown(t *testing.T) {
	l := warmup.NewLimiter(1)
	ok, _ := l.Allow(9, 5, 0)
	must.False(t, ok)
	l.SetInstances(nil)
	ok, _ = l.Allow(9, 5, 0)
	must.True(t, ok)
}

func TestHolderWaitsBetweenRequests(t *testing.T) {
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
