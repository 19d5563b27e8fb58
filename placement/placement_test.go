package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
		Service: "s", Aim: 800 * time.Millisecond, Left: 2 * time.Second, Work: work, KB: 5, DataCentre: "dc",
	}
}

func lookup() placement.Request {
	r := order()
	r.Repeatable = true
	return r
}

func use(p *placement.Placer, id string, r health.Result, now time.Duration) {
	h := placement.Hash(id)
	p.Outstanding(h, 0, 1, now)
	p.Outstanding(h, 0, 0, now)
	took := work
	if r == health.Incomplete || r == health.Mismatch {
		// Servers in spells break connections off at once.
		took = 2 * time.Millisecond
	}
	p.Learn(h, r, true, took, work, now)
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
	p.Learn(placement.Hash("a"), health.Incomplete, true, 0, work, now)
	for range 5 {
		must.Eq(t, "b", choose(t, p, order(), now).Server.ID)
	}
	must.Greater(t, 0.6, choose(t, p, withTried(order(), "b"), now).Risk)
}

func withTried(r placement.Request, ids ...string) placement.Request {
	r.Tried = ids
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
	p.Outstanding(placement.Hash("known"), peer, 1, now)
	must.Eq(t, "known", choose(t, p, order(), now).Server.ID)
}

// A server that answered and then got nothing for two seconds is probably well.
// Left alone it would be unknown ten seconds later, and an order in four lost
// on it when the load needs it.
func TestProbablyHealthyServersStayInUse(t *testing.T) {
	p := placer("hot", "rested")
	now := 10 * time.Second
	use(p, "rested", health.OK, now-2*time.Second)
	use(p, "hot", health.OK, now)
	use(p, "hot", health.OK, now)
	must.Eq(t, "rested", choose(t, p, order(), now).Server.ID)
	use(p, "rested", health.OK, now)
	use(p, "hot", health.OK, now)
	use(p, "hot", health.OK, now)
	must.Eq(t, "hot", choose(t, p, order(), now+500*time.Millisecond).Server.ID)
}

// A server that gets no requests becomes due at the same moment for all
// instances. If all of them sent there at once, all of it would be lost in a
// spell; of a hundred requests that come right then, a few may try.
func TestFewInstancesTryTheSameServerTogether(t *testing.T) {
	p := placer("hot", "rested")
	now := 10 * time.Second
	for range 5 {
		use(p, "rested", health.OK, now-1130*time.Millisecond)
	}
	use(p, "hot", health.OK, now)
	use(p, "hot", health.OK, now)
	rng, tried := rand.New(rand.NewPCG(1, 1)), 0
	for range 100 {
		if c, _ := p.Choose(order(), now, rng.Float64); c.Server.ID == "rested" {
			tried++
		}
	}
	must.Between(t, 1, tried, 20)
}

// A server reset connections a moment ago. A lookup that would only be repeated
// finds out whether it is well again; an order doesn't, nor does a lookup that
// has failed once already, or one while repeats are scarce.
func TestLookupsProbeServersThatReset(t *testing.T) {
	p := placer("hot", "failed")
	now := 10 * time.Second
	use(p, "failed", health.Incomplete, now-2*time.Second)
	use(p, "hot", health.OK, now)
	use(p, "hot", health.OK, now)
	must.Eq(t, "hot", choose(t, p, order(), now).Server.ID)
	must.Eq(t, "hot", choose(t, p, lookup(), now).Server.ID)
	r := lookup()
	r.RoomToRepeat = true
	must.Eq(t, "failed", choose(t, p, r, now).Server.ID)
	must.Eq(t, "hot", choose(t, p, withTried(r, "another"), now).Server.ID)
	p.Learn(placement.Hash("failed"), health.Timeout, true, 5*work, work, now-1500*time.Millisecond)
	must.Eq(t, "hot", choose(t, p, r, now).Server.ID)
}

// A server resets a connection, and then another instance, whose path to it is
// cut, gets none at all. Lookups here go on finding out whether it is well
// again; if this instance's own path is cut, each would wait in vain.
func TestOthersCutPathsDontKeepLookupsFromProbing(t *testing.T) {
	r := lookup()
	r.RoomToRepeat = true
	for own, chosen := range map[bool]string{false: "failed", true: "hot"} {
		p := placer("hot", "failed")
		now := 10 * time.Second
		use(p, "failed", health.Incomplete, now-2*time.Second)
		p.Learn(placement.Hash("failed"), health.ConnectFailed, own, 0, 0, now-1500*time.Millisecond)
		use(p, "hot", health.OK, now)
		use(p, "hot", health.OK, now)
		must.Eq(t, chosen, choose(t, p, r, now).Server.ID, must.Sprint("own ", own))
	}
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
	p.Outstanding(placement.Hash("a"), peer, 6, now)
	must.Eq(t, "b", choose(t, p, order(), now).Server.ID)
	p.Forget(peer)
	p.Outstanding(placement.Hash("b"), peer, 6, now)
	must.Eq(t, "a", choose(t, p, order(), now).Server.ID)
}

// The last word of an instance about its work got lost. Its count must not
// keep the server out of use for ever.
func TestOldCountsOfOthersAreDropped(t *testing.T) {
	p := placer("a")
	p.Outstanding(placement.Hash("a"), peer, 5, time.Second)
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
	p.Outstanding(placement.Hash("a"), peer, 9, now)
	short := order()
	short.Work = 3 * time.Millisecond
	must.Between(t, 3*work, choose(t, p, short, now).Expected, 5*work)
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
	p.Apply(discovery.Change{Server: server("a"), Gone: true}, 0)
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

// All instances were down and have just started. Nothing is known of any
// server, and what went unserved meanwhile isn't remembered. Without the spread
// the first server to answer would get all requests.
func TestAfterAStartAllServersGetRequests(t *testing.T) {
	p := placer("a", "b", "c", "d")
	seen := make(map[string]bool)
	for i := range 4 {
		now := time.Duration(i+1) * 20 * time.Millisecond
		id := choose(t, p, order(), now).Server.ID
		seen[id] = true
		use(p, id, health.OK, now)
	}
	must.MapLen(t, 4, seen)
}

// The path between this instance and one server is cut; all others reach it and
// say that it answers. What they say must not send this instance's next orders
// into the cut, and its failures must not keep the others away.
func TestCutPathIsThisInstancesOwnMatter(t *testing.T) {
	here, there := placer("a", "b"), placer("a", "b")
	h, now := placement.Hash("a"), 10*time.Second
	for range 2 {
		here.Learn(h, health.ConnectFailed, true, 0, work, now)
		there.Learn(h, health.ConnectFailed, false, 0, work, now)
	}
	for range 20 {
		here.Learn(h, health.OK, false, work, work, now)
		there.Learn(h, health.OK, true, work, work, now)
	}
	must.Greater(t, 0.5, choose(t, here, withTried(order(), "b"), now).Risk)
	must.Less(t, 0.05, choose(t, there, withTried(order(), "b"), now).Risk)
}

// A fifth of the instances stands still. Their callers' requests go unserved and
// nobody tells; healthy servers must not stay idle meanwhile, nor for ever.
func TestSilentInstancesBringIdleServersIntoUse(t *testing.T) {
	p := placer("hot", "idle")
	now := 20 * time.Second
	use(p, "idle", health.Incomplete, now-3*time.Second)
	use(p, "hot", health.OK, now)
	use(p, "hot", health.OK, now)
	must.Eq(t, "hot", choose(t, p, order(), now).Server.ID)
	p.Disturbed(now)
	must.Eq(t, "idle", choose(t, p, order(), now).Server.ID)
	now += 6 * time.Second
	use(p, "hot", health.OK, now)
	must.Eq(t, "hot", choose(t, p, order(), now).Server.ID)
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
	p.Outstanding(placement.Hash("near"), peer, 8, now)
	must.Eq(t, "far", choose(t, p, order(), now).Server.ID)
	p.Outstanding(placement.Hash("near"), peer, 0, now)
	p.Learn(placement.Hash("near"), health.Incomplete, true, 0, work, now)
	must.Eq(t, "far", choose(t, p, order(), now).Server.ID)
}

// Servers were added. They answer nobody yet, so nothing speaks for them; with
// the load on known servers they would stay idle for good.
func TestNewcomerGetsARequestSoon(t *testing.T) {
	p := placer("old")
	for range 5 {
		use(p, "old", health.OK, 10*time.Second)
	}
	p.Apply(discovery.Change{Server: server("new"), New: true}, 10*time.Second)
	must.Eq(t, "old", choose(t, p, order(), 10*time.Second).Server.ID)
	now := 11 * time.Second
	use(p, "old", health.OK, now)
	must.Eq(t, "new", choose(t, p, order(), now).Server.ID)
	use(p, "new", health.Incomplete, now)
	must.Eq(t, "old", choose(t, p, order(), now).Server.ID)
}

// More than a tenth of a service's requests goes unserved while healthy servers
// are out of use. They must get requests within a second or two; one that has
// just failed must not.
func TestUnservedRequestsBringIdleServersIntoUse(t *testing.T) {
	p := placer("hot", "idle", "failed")
	now := 10 * time.Second
	use(p, "idle", health.OK, now-3*time.Second)
	use(p, "failed", health.Incomplete, now-time.Second)
	for i := range 20 {
		use(p, "hot", health.OK, now)
		p.Served("s", i >= 3, now)
	}
	must.Eq(t, "idle", choose(t, p, order(), now).Server.ID)
	use(p, "idle", health.OK, now)
	must.Eq(t, "hot", choose(t, p, order(), now).Server.ID)
	now += time.Second
	use(p, "hot", health.OK, now)
	use(p, "idle", health.OK, now)
	must.Eq(t, "failed", choose(t, p, order(), now).Server.ID)
}

// Workspaces over their rate have a quarter of the lookups refused. A fourth of the
// servers come out of spells together, while what may be repeated is used up and
// nothing probes them. As the rest is more than enough of all servers in use,
// nobody looked for them, though they were the ones to count.
func TestUnservedLookupsReachServersThatAreWellAgain(t *testing.T) {
	var all []string
	for i := range 96 {
		all = append(all, fmt.Sprintf("i-%02d", i))
	}
	p := placer(all...)
	again := make(map[string]bool)
	begin := 20 * time.Second
	for i, id := range all {
		if i%4 > 0 {
			use(p, id, health.OK, begin)
			continue
		}
		again[id] = true
		for range 2 {
			use(p, id, health.Incomplete, begin-2*time.Second)
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	found, sent := make(map[string]bool), 0
	for now := begin; now < begin+2*time.Second; now += 4 * time.Millisecond {
		if rng.Float64() < 0.25 {
			p.Served("s", false, now)
			continue
		}
		c, ok := p.Choose(lookup(), now, rng.Float64)
		must.True(t, ok)
		use(p, c.Server.ID, health.OK, now)
		p.Served("s", true, now)
		if again[c.Server.ID] {
			found[c.Server.ID] = true
			sent++
		}
	}
	must.Greater(t, 0.7, float64(len(found))/float64(len(again)), must.Sprint(sent, " requests"))
}

func TestWarmingServerIsTakenForSlow(t *testing.T) {
	p := placement.New()
	warm := server("warm")
	warm.WarmUp = 3 * time.Second
	p.Apply(discovery.Change{Server: warm, New: true}, 0)
	must.Eq(t, 2*work, choose(t, p, order(), time.Second).Expected)
	must.Eq(t, work, choose(t, p, order(), 4*time.Second).Expected)
}

func TestSlowServerIsExpectedToBeSlow(t *testing.T) {
	p := placer("slow", "fast")
	now := time.Second
	for range 10 {
		use(p, "fast", health.OK, now)
		use(p, "slow", health.OK, now)
		p.Learn(placement.Hash("slow"), health.OK, true, 6*work, work, now)
	}
	must.Eq(t, "fast", choose(t, p, lookup(), now).Server.ID)
	must.Greater(t, 3*work, choose(t, p, withTried(lookup(), "fast"), now).Expected)
}

func TestHashesOfIDsDiffer(t *testing.T) {
	seen := make(map[uint32]bool)
	for i := range 24000 {
		seen[placement.Hash(fmt.Sprintf("i-%08x", i*2654435761))] = true
	}
	must.Greater(t, 23990, len(seen))
}

// More than half of the servers are in spells and were tried a moment ago, and a
// tenth of the orders is lost. Of the few that are well again, half are out of use.
// Counted among all servers in use, those that had just failed made up for them.
func TestUnservedOrdersReachServersThatAreWellAgain(t *testing.T) {
	var all []string
	for i := range 15 {
		all = append(all, fmt.Sprintf("i-%02d", i))
	}
	p := placer(all...)
	begin := 20 * time.Second
	again := all[:3]
	for i, id := range all {
		switch {
		case i < 3:
			use(p, id, health.Incomplete, begin-4*time.Second)
		case i < 6:
			use(p, id, health.OK, begin)
		default:
			use(p, id, health.Incomplete, begin-300*time.Millisecond)
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	found := make(map[string]bool)
	for now := begin; now < begin+1200*time.Millisecond; now += 25 * time.Millisecond {
		c, ok := p.Choose(order(), now, rng.Float64)
		must.True(t, ok)
		use(p, c.Server.ID, health.OK, now)
		p.Served("s", rng.Float64() > 0.11, now)
		p.Served("s", rng.Float64() > 0.11, now)
		if slices.Contains(again, c.Server.ID) {
			found[c.Server.ID] = true
		}
	}
	must.GreaterEq(t, 2, len(found))
}
