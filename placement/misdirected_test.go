package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/discovery"
	"foxtailspoke/health"
	"foxtailspoke/placement"
)

// misdirectedRequests sends a request every 10 ms and returns the times of those to server
// "a", which all get 421. The other servers fail most of theirs.
func misdirectedRequests(p *placement.Placer, r placement.Request, until time.Duration) (at []time.Duration) {
	rng := rand.New(rand.NewPCG(1, 1))
	r.RetryBudgetAmple = true
	for now := time.Second; now < until; now += 10 * time.Millisecond {
		c, ok := p.Choose(r, now, rng.Float64)
		if !ok {
			continue
		}
		result := health.ServerError
		switch {
		case c.Server.ID == "a":
			result = health.Misdirected
			at = append(at, now)
		case rng.Float64() < 0.15:
			result = health.OK
		}
		use(p, c.Server.ID, result, now)
	}
	return at
}

// A server has crashed and another service has its address; its entry remains for seconds.
// Guards against requests that are sent there again and again, as the rejection is quick and
// no failure.
func TestMisdirectedRequestKeepsOthersAway(t *testing.T) {
	for _, r := range []placement.Request{nonRetryable(), retryable()} {
		at := misdirectedRequests(placer("a", "b", "c", "d"), r, 11*time.Second)
		must.SliceNotEmpty(t, at)
		must.LessEq(t, 4, len(at), must.Sprint(at))
	}
}

// Another instance reports a misdirected request. Guards against one such request of each
// instance.
func TestMisdirectedRequestOfAnotherInstanceKeepsRequestsAway(t *testing.T) {
	p := placer("a", "b", "c", "d")
	p.RecordResult(placement.Hash("a"), health.Misdirected, false, time.Millisecond, serviceTime, time.Second)
	must.SliceEmpty(t, misdirectedRequests(p, retryable(), 2900*time.Millisecond))
}

// Guards against requests to a server whose address another one has, while both entries
// are listed.
func TestServerWhoseAddressAYoungerOneHasReceivesNothing(t *testing.T) {
	for _, youngerFirst := range []bool{false, true} {
		p := placer("b")
		changes := []discovery.Change{
			{Server: discovery.Server{ID: "old", Service: "s", Address: "10.0.0.2:80", DataCentre: "dc", Slots: 2, StartTimeMS: 1}, New: true},
			{Server: discovery.Server{ID: "young", Service: "t", Address: "10.0.0.2:80", DataCentre: "dc", Slots: 2, StartTimeMS: 2}, New: true},
		}
		if youngerFirst {
			changes[0], changes[1] = changes[1], changes[0]
		}
		for _, c := range changes {
			p.Apply(c, 0)
		}
		sent := simulateRequests(p, retryable(), 0, 5*time.Second)
		must.Zero(t, sent["old"])
		must.Positive(t, sent["b"])
	}
}
