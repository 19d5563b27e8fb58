package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/discovery"
	"foxtailspoke/health"
	"foxtailspoke/placement"
	"foxtailspoke/throttle"
	"foxtailspoke/warmup"
)

const warming = 3 * time.Second

// places returns a placer with servers in data centres; cold ones bear two
// requests a second.
func places(dcs map[string]string) *placement.Placer {
	p := placement.New()
	l := warmup.NewLimiter(1)
	l.SetInstances(nil)
	p.SetWarmUpLimiter(l)
	p.SetWarmUp("s", placement.WarmUp{Duration: warming, Rate: 2})
	for id, dc := range dcs {
		s := server(id)
		s.DataCentre = dc
		p.Apply(discovery.Change{Server: s, New: true}, 0)
	}
	return p
}

// sentTo places requests every few milliseconds and counts them by server.
func sentTo(p *placement.Placer, r placement.Request, from, until time.Duration) map[string]int {
	rng := rand.New(rand.NewPCG(1, 1))
	sent := make(map[string]int)
	for now := from; now < until; now += 5 * time.Millisecond {
		c, ok := p.Choose(r, now, rng.Float64)
		if !ok {
			sent["refused"]++
			continue
		}
		p.RecordSent(c.Server.ID, r, now)
		sent[c.Server.ID]++
		use(p, c.Server.ID, health.OK, now)
	}
	return sent
}

// A data centre is evacuated while its servers are due for a probe, a keep-alive
// request or an early one as newcomers, and while much goes unserved: none of
// these may send there.
func TestNothingGoesToAnEvacuatedDataCentre(t *testing.T) {
	for _, r := range []placement.Request{order(), lookup()} {
		p := places(map[string]string{"a": "dc", "b": "dc", "c": "away", "new": "away"})
		use(p, "c", health.OK, 0)
		p.UpdateEvacuations([]string{"away"}, nil, time.Second)
		for range 100 {
			p.RecordOutcome("s", false, time.Second)
		}
		r.RetryBudgetAmple = true
		sent := sentTo(p, r, time.Second, 6*time.Second)
		must.Zero(t, sent["c"]+sent["new"])
		must.Positive(t, sent["a"])
		must.Positive(t, sent["b"])
	}
}

func TestObstacles(t *testing.T) {
	p := places(map[string]string{"a": "dc", "b": "away"})
	r := order()
	r.TriedServers = []string{"a", "b"}
	o, _ := p.ExclusionReason(r, 0)
	must.Eq(t, placement.DrainingOrTried, o)
	r = order()
	r.AllowedDataCentres = map[string]bool{"other": true}
	_, ok := p.Choose(r, 0, noJitter)
	must.False(t, ok)
	o, _ = p.ExclusionReason(r, 0)
	must.Eq(t, placement.RegionNotAllowed, o)
	p.UpdateEvacuations([]string{"dc", "away"}, nil, 0)
	_, ok = p.Choose(order(), 0, noJitter)
	must.False(t, ok)
	o, _ = p.ExclusionReason(order(), 0)
	must.Eq(t, placement.Evacuated, o)
	p.UpdateEvacuations(nil, []string{"dc", "away"}, 0)
	sentTo(p, order(), 0, 20*time.Millisecond)
	o, wait := p.ExclusionReason(order(), 20*time.Millisecond)
	must.Eq(t, placement.Cold, o)
	must.Positive(t, wait)
	must.LessEq(t, time.Second, wait)
}

// A data centre is taken back. Its servers have turned cold, and say so only with
// their next heartbeats; by then they would have broken down.
func TestServersOfADataCentreThatReturnsAreCold(t *testing.T) {
	p := places(map[string]string{"a": "dc", "b": "away"})
	p.UpdateEvacuations([]string{"away"}, nil, time.Second)
	p.UpdateEvacuations(nil, []string{"away"}, 5*time.Second)
	for s := range 3 {
		from := 5*time.Second + time.Duration(s)*time.Second
		must.LessEq(t, 2, sentTo(p, lookup(), from, from+time.Second)["b"])
	}
	r := lookup()
	r.AllowedDataCentres = map[string]bool{"away": true}
	must.Greater(t, 2, sentTo(p, r, 9*time.Second, 10*time.Second)["b"])
}

// A server ends and starts again under the entry that it had. Requests that are
// sent as soon as it accepts connections meet a cold server that nobody told of.
func TestServerThatWasAbsentIsCold(t *testing.T) {
	p := places(map[string]string{"a": "dc", "b": "dc"})
	use(p, "b", health.OK, 0)
	p.RecordResult(placement.Hash("b"), health.ConnectFailed, false, 0, 0, 2*time.Second)
	use(p, "b", health.OK, 4*time.Second)
	for s := range 3 {
		from := 4*time.Second + time.Duration(s)*time.Second
		must.LessEq(t, 2, sentTo(p, lookup(), from, from+time.Second)["b"])
	}
}

// One instance loses its path to a busy server. The others must not take it for
// one that has started anew.
func TestServerThatOthersReachIsNotAbsent(t *testing.T) {
	p := places(map[string]string{"a": "dc"})
	use(p, "a", health.OK, time.Second)
	p.RecordResult(placement.Hash("a"), health.ConnectFailed, false, 0, 0, 1500*time.Millisecond)
	must.Zero(t, sentTo(p, lookup(), 1500*time.Millisecond, 3*time.Second)["refused"])
}

// An entry tells of a warm-up, and a later one, written before the server turned
// cold, doesn't.
func TestAnEntryDoesNotShortenAWarmUp(t *testing.T) {
	p := places(map[string]string{"a": "dc"})
	s := server("a")
	s.WarmUp = warming
	p.Apply(discovery.Change{Server: s}, time.Second)
	p.Apply(discovery.Change{Server: server("a")}, 1500*time.Millisecond)
	must.LessEq(t, 2, sentTo(p, lookup(), 2*time.Second, 3*time.Second)["a"])
}

// Instances know nothing of the others yet and all see the same idle, cold
// server: each that took the whole of what it bears would break it.
func TestColdServersGetNothingUntilTheFleetIsKnown(t *testing.T) {
	p := places(map[string]string{"a": "dc"})
	p.SetWarmUpLimiter(warmup.NewLimiter(1))
	s := server("a")
	s.WarmUp = warming
	p.Apply(discovery.Change{Server: s}, 0)
	must.Zero(t, sentTo(p, lookup(), 0, time.Second)["a"])
}

// A server that names a limit is idle, due for a probe and wanted while much goes
// unserved: none of these may send it more than its limit.
func TestServerGetsNoMoreThanItNames(t *testing.T) {
	for _, r := range []placement.Request{order(), lookup()} {
		p := places(map[string]string{"a": "dc", "limited": "dc"})
		l := throttle.NewLimiter(1)
		l.SetInstances(nil)
		p.SetRateLimiter(l)
		use(p, "limited", health.OK, time.Second)
		l.SetLimit(placement.Hash("limited"), 2, time.Second)
		for range 100 {
			p.RecordOutcome("s", false, time.Second)
		}
		sent := sentTo(p, r, time.Second, 11*time.Second)
		must.Between(t, 1, sent["limited"], 20)
		must.Zero(t, sent["refused"])
	}
}

// All servers name a limit. A request that none of them may get is refused at once,
// with the time after which this instance may send one again.
func TestRequestAboveAllLimitsIsRefusedWithATime(t *testing.T) {
	p := places(map[string]string{"a": "dc"})
	l := throttle.NewLimiter(1)
	l.SetInstances(nil)
	p.SetRateLimiter(l)
	l.SetLimit(placement.Hash("a"), 2, time.Second)
	p.RecordSent("a", order(), time.Second)
	_, ok := p.Choose(order(), 1200*time.Millisecond, func() float64 { return 0 })
	must.False(t, ok)
	obstacle, wait := p.ExclusionReason(order(), 1200*time.Millisecond)
	must.Eq(t, placement.RateLimited, obstacle)
	must.Eq(t, 300*time.Millisecond, wait)
}
