package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/discovery"
	"foxtailspoke/health"
	"foxtailspoke/placement"
)

const (
	work = 200 * time.Millisecond
	peer = 9
)

func noJitter() float64 { return 0 }

func placer(ids ...string) *placement.Placer {
	p := placement.New()
	for _, id := range ids {
		p.Apply(discovery.Change{Server: server(id), New: true}, 0)
	}
	return p
}

func server(id string) discovery.Server {
	return discovery.Server{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", Slots: 2}
}

func order() placement.Request {
	return placement.Request{
		Service: "s", LatencyTarget: 800 * time.Millisecond, Remaining: 2 * time.Second, ServiceTime: work, SizeKB: 5, DataCentre: "dc",
	}
}

func lookup() placement.Request {
	r := order()
	r.Retryable = true
	return r
}

func use(p *placement.Placer, id string, r health.Result, now time.Duration) {
	h := placement.Hash(id)
	p.SetOutstanding(h, 0, 1, now)
	p.SetOutstanding(h, 0, 0, now)
	took := work
	if r == health.Incomplete || r == health.Mismatch {
		// Servers in spells break connections off at once.
		took = 2 * time.Millisecond
	}
	p.RecordResult(h, r, true, took, work, now)
}

func choose(t *testing.T, p *placement.Placer, r placement.Request, now time.Duration) placement.Choice {
	t.Helper()
	c, ok := p.Choose(r, now, noJitter)
	must.True(t, ok)
	return c
}

// One order was reset; the server's health report is good. Each further order
// that is sent there may be lost, so the very next one must go elsewhere, also
// at the instances that only heard of it.
func TestServerThatFailedOnceIsAvoided(t *testing.T) {
	p := placer("a", "b")
	now := time.Second
	use(p, "a", health.OK, now)
	use(p, "b", health.OK, now)
	p.RecordResult(placement.Hash("a"), health.Incomplete, true, 0, work, now)
	for range 5 {
		must.Eq(t, "b", choose(t, p, order(), now).Server.ID)
	}
	must.Greater(t, 0.6, choose(t, p, withTried(order(), "b"), now).Risk)
}

func withTried(r placement.Request, ids ...string) placement.Request {
	r.TriedServers = ids
	return r
}

// A spell of failures ends by itself and nobody says so. A server must not stay
// out of use for ever.
func TestSuspicionFades(t *testing.T) {
	p := placer("a")
	use(p, "a", health.Incomplete, time.Second)
	must.Greater(t, 0.7, choose(t, p, order(), time.Second).Risk)
	must.Less(t, 0.3, choose(t, p, order(), 20*time.Second).Risk)
}

// Load stays on servers that answered a moment ago, each with a free slot,
// before it goes to one that failed some seconds ago: there every second order
// is lost.
func TestOrdersGoWhereAnswersJustCameFrom(t *testing.T) {
	p := placer("known", "failed")
	use(p, "failed", health.Incomplete, 2*time.Second)
	now := 10 * time.Second
	use(p, "known", health.OK, now)
	use(p, "known", health.OK, now)
	p.SetOutstanding(placement.Hash("known"), peer, 1, now)
	must.Eq(t, "known", choose(t, p, order(), now).Server.ID)
}

// A server that answered everything so far resets a connection. That is how
// spells of failures begin, and the next orders would be lost as well; whole
// answers that report a failure come from healthy servers too.
func TestOneResetIsTakenForASpell(t *testing.T) {
	for result, most := range map[health.Result]float64{health.Incomplete: 1, health.ServerError: 0.25} {
		p := placer("a")
		now := 10 * time.Second
		for range 20 {
			use(p, "a", health.OK, now)
		}
		now += 300 * time.Millisecond
		use(p, "a", result, now)
		risk := choose(t, p, order(), now).Risk
		must.Less(t, most, risk)
		must.Eq(t, result == health.Incomplete, risk > 0.5, must.Sprint(result, risk))
	}
}

// Slots are few and shared by all instances. What others have outstanding
// counts as much as the own work.
func TestWorkOfOtherInstancesCounts(t *testing.T) {
	p := placer("a", "b")
	now := time.Second
	for range 3 {
		use(p, "a", health.OK, now)
		use(p, "b", health.OK, now)
	}
	p.SetOutstanding(placement.Hash("a"), peer, 6, now)
	must.Eq(t, "b", choose(t, p, order(), now).Server.ID)
	p.RemoveInstance(peer)
	p.SetOutstanding(placement.Hash("b"), peer, 6, now)
	must.Eq(t, "a", choose(t, p, order(), now).Server.ID)
}

// The last word of an instance about its work got lost. Its count must not
// keep the server out of use for ever.
func TestOldCountsOfOthersAreDropped(t *testing.T) {
	p := placer("a")
	p.SetOutstanding(placement.Hash("a"), peer, 5, time.Second)
	must.Eq(t, 5, choose(t, p, order(), 2*time.Second).Outstanding)
	must.Eq(t, 0, choose(t, p, order(), 8*time.Second).Outstanding)
}

// A short request stands behind long ones. Taking the wait for that of its own
// kind sent ten short requests behind the same lookups.
func TestWaitIsThatOfTheRequestsBefore(t *testing.T) {
	p := placer("a")
	now := time.Second
	for range 200 {
		use(p, "a", health.OK, now)
	}
	p.SetOutstanding(placement.Hash("a"), peer, 9, now)
	short := order()
	short.ServiceTime = 3 * time.Millisecond
	must.Between(t, 3*work, choose(t, p, short, now).ExpectedLatency, 5*work)
}

func TestDrainingAndGoneServersGetNothing(t *testing.T) {
	p := placer("a")
	draining := server("a")
	draining.Draining = true
	p.Apply(discovery.Change{Server: draining}, 0)
	_, ok := p.Choose(order(), 0, noJitter)
	must.False(t, ok)
	p.Apply(discovery.Change{Server: server("a"), New: true}, 0)
	choose(t, p, order(), 0)
	p.Apply(discovery.Change{Server: server("a"), Removed: true}, 0)
	_, ok = p.Choose(order(), 0, noJitter)
	must.False(t, ok)
}

func TestServerThatWasTriedIsLeftOut(t *testing.T) {
	p := placer("a")
	_, ok := p.Choose(withTried(order(), "a"), 0, noJitter)
	must.False(t, ok)
}

// A server that restarts under its id has nothing to do with the failures of
// its former process.
func TestRestartedServerBeginsAnew(t *testing.T) {
	p := placer("a")
	use(p, "a", health.Incomplete, time.Second)
	p.Apply(discovery.Change{Server: server("a"), New: true}, time.Second)
	must.Less(t, 0.3, choose(t, p, order(), time.Second).Risk)
}

// The path between this instance and one server is cut; all others reach it and
// say that it answers. What they say must not send this instance's next orders
// into the cut, and its failures must not keep the others away.
func TestCutPathIsThisInstancesOwnMatter(t *testing.T) {
	here, there := placer("a", "b"), placer("a", "b")
	h, now := placement.Hash("a"), 10*time.Second
	for range 2 {
		here.RecordResult(h, health.ConnectFailed, true, 0, work, now)
		there.RecordResult(h, health.ConnectFailed, false, 0, work, now)
	}
	for range 20 {
		here.RecordResult(h, health.OK, false, work, work, now)
		there.RecordResult(h, health.OK, true, work, work, now)
	}
	must.Greater(t, 0.5, choose(t, here, withTried(order(), "b"), now).Risk)
	must.Less(t, 0.05, choose(t, there, withTried(order(), "b"), now).Risk)
}

// The own data centre comes first, but not at the price of failing or waiting.
func TestOwnDataCentreFirst(t *testing.T) {
	p := placement.New()
	far := server("far")
	far.DataCentre = "other"
	p.Apply(discovery.Change{Server: far, New: true}, 0)
	p.Apply(discovery.Change{Server: server("near"), New: true}, 0)
	now := time.Second
	use(p, "far", health.OK, now)
	use(p, "near", health.OK, now)
	must.Eq(t, "near", choose(t, p, order(), now).Server.ID)
	p.SetOutstanding(placement.Hash("near"), peer, 8, now)
	must.Eq(t, "far", choose(t, p, order(), now).Server.ID)
	p.SetOutstanding(placement.Hash("near"), peer, 0, now)
	p.RecordResult(placement.Hash("near"), health.Incomplete, true, 0, work, now)
	must.Eq(t, "far", choose(t, p, order(), now).Server.ID)
}

func TestWarmingServerIsTakenForSlow(t *testing.T) {
	p := placement.New()
	warm := server("warm")
	warm.WarmUp = 3 * time.Second
	p.Apply(discovery.Change{Server: warm, New: true}, 0)
	must.Eq(t, 2*work, choose(t, p, order(), time.Second).ExpectedLatency)
	must.Eq(t, work, choose(t, p, order(), 4*time.Second).ExpectedLatency)
}

func TestSlowServerIsExpectedToBeSlow(t *testing.T) {
	p := placer("slow", "fast")
	now := time.Second
	for range 10 {
		use(p, "fast", health.OK, now)
		use(p, "slow", health.OK, now)
		p.RecordResult(placement.Hash("slow"), health.OK, true, 6*work, work, now)
	}
	must.Eq(t, "fast", choose(t, p, lookup(), now).Server.ID)
	must.Greater(t, 3*work, choose(t, p, withTried(lookup(), "fast"), now).ExpectedLatency)
}

func TestHashesOfIDsDiffer(t *testing.T) {
	seen := make(map[uint32]bool)
	for i := range 24000 {
		seen[placement.Hash(fmt.Sprintf("i-%08x", i*2654435761))] = true
	}
	must.Greater(t, 23990, len(seen))
}
