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
	r.RetryBudgetAmple = true
	must.Eq(t, "failed", choose(t, p, r, now).Server.ID)
	must.Eq(t, "hot", choose(t, p, withTried(r, "another"), now).Server.ID)
	p.RecordResult(placement.Hash("failed"), health.Timeout, true, 5*work, work, now-1500*time.Millisecond)
	must.Eq(t, "hot", choose(t, p, r, now).Server.ID)
}

// A server resets a connection, and then another instance, whose path to it is
// cut, gets none at all. Lookups here go on finding out whether it is well
// again; if this instance's own path is cut, each would wait in vain.
func TestOthersCutPathsDontKeepLookupsFromProbing(t *testing.T) {
	r := lookup()
	r.RetryBudgetAmple = true
	for own, chosen := range map[bool]string{false: "failed", true: "hot"} {
		p := placer("hot", "failed")
		now := 10 * time.Second
		use(p, "failed", health.Incomplete, now-2*time.Second)
		p.RecordResult(placement.Hash("failed"), health.ConnectFailed, own, 0, 0, now-1500*time.Millisecond)
		use(p, "hot", health.OK, now)
		use(p, "hot", health.OK, now)
		must.Eq(t, chosen, choose(t, p, r, now).Server.ID, must.Sprint("own ", own))
	}
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

// A fifth of the instances stands still. Their callers' requests go unserved and
// nobody tells; healthy servers must not stay idle meanwhile, nor for ever.
func TestSilentInstancesBringIdleServersIntoUse(t *testing.T) {
	p := placer("hot", "idle")
	now := 20 * time.Second
	use(p, "idle", health.Incomplete, now-3*time.Second)
	use(p, "hot", health.OK, now)
	use(p, "hot", health.OK, now)
	must.Eq(t, "hot", choose(t, p, order(), now).Server.ID)
	p.RecordInstanceLoss(now)
	must.Eq(t, "idle", choose(t, p, order(), now).Server.ID)
	now += 6 * time.Second
	use(p, "hot", health.OK, now)
	must.Eq(t, "hot", choose(t, p, order(), now).Server.ID)
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
		p.RecordOutcome("s", i >= 3, now)
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
			p.RecordOutcome("s", false, now)
			continue
		}
		c, ok := p.Choose(lookup(), now, rng.Float64)
		must.True(t, ok)
		use(p, c.Server.ID, health.OK, now)
		p.RecordOutcome("s", true, now)
		if again[c.Server.ID] {
			found[c.Server.ID] = true
			sent++
		}
	}
	must.Greater(t, 0.7, float64(len(found))/float64(len(again)), must.Sprint(sent, " requests"))
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
		p.RecordOutcome("s", rng.Float64() > 0.11, now)
		p.RecordOutcome("s", rng.Float64() > 0.11, now)
		if slices.Contains(again, c.Server.ID) {
			found[c.Server.ID] = true
		}
	}
	must.GreaterEq(t, 2, len(found))
}
