package placement_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/health"
	"foxtailspoke/placement"
)

// A server answered slowly for a while and received no requests since. It must be tried
// again although others are known to be fast.
func TestServerThatWasSlowIsTriedAgain(t *testing.T) {
	p := placer("fast", "slow")
	now := 10 * time.Second
	h := placement.Hash("slow")
	for range 8 {
		use(p, "slow", health.OK, now)
		p.RecordResult(h, health.OK, true, 6*serviceTime, serviceTime, now)
	}
	tried := false
	for end := now + 5*time.Second; now < end && !tried; now += 100 * time.Millisecond {
		use(p, "fast", health.OK, now)
		tried = choose(t, p, nonRetryable(), now).Server.ID == "slow"
	}
	must.True(t, tried)
}
