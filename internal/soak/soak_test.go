package soak_test

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seedCount     = flag.Int("soak.seeds", 1, "number of seeds")
	faultPeriod    = flag.Duration("soak.for", 8*time.Second, "time under faults for each seed")
	instanceCount = flag.Int("soak.instances", 5, "instances of the fleet")
)

// regressionSeeds are the seeds that ever failed, each with its cause.
var regressionSeeds = map[uint64]string{
	118:  "instances that knew the configuration and no servers took themselves for ready",
	9142: "no fault of the fleet: lookups were sent with a key that was given while the store was away, 40 ms after its return",
	9000: "two kills of all within a window gave the limited workspace half of the tolerance each",
}

// Instances are killed, stopped, paused and restarted in overlapping series,
// and the store fails, is slow, and forgets, while callers go on. What they and
// the backend servers see must keep the promises: no order runs twice, a
// refusal that says "not run" is true, an answer belongs to its request, a key
// that was taken away stops, a leaving server gets nothing new, one that names a
// limit no more than that; and once the faults end, everybody is served again. In
// drills the store comes back from a copy.
func TestSoak(t *testing.T) {
	binary := buildEdge(t)
	for seed := range regressionSeeds {
		runSeed(t, binary, seed, false)
	}
	for i := range *seedCount {
		runSeed(t, binary, *firstSeed+uint64(i), true)
	}
}

// runSeed plays a seed. Drills are a series of faults of their own beside the others:
// seeds that were found without them stay as they were.
func runSeed(t *testing.T, binary string, seed uint64, restoresAndLimits bool) {
	t.Helper()
	c := newCluster(t, binary, seed)
	defer c.shutdown()
	c.start()
	if restoresAndLimits {
		backends := c.backends[:serverCount:serverCount]
		c.wg.Go(func() { c.injectRestoresAndLimits(backends, seed, *faultPeriod) })
	}
	c.injectFaults(*faultPeriod)
	c.verifyRecovery()
	for _, violation := range c.checkRequests() {
		t.Errorf("seed %d: %s", seed, violation)
	}
	served, refused, failed := c.outcomeCounts()
	t.Logf("seed %d: %d drills of the store, %d limits named", seed, c.restoreCount, c.limitCount)
	t.Logf("seed %d: %d served, %d refused, %d failed", seed, served, refused, failed)
	must.Positive(t, served)
	if t.Failed() {
		t.Logf("seed %d: logs in %s", seed, c.saveLogs())
		t.FailNow()
	}
}
