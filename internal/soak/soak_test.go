package soak_test

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seeds     = flag.Int("soak.seeds", 1, "number of seeds")
	length    = flag.Duration("soak.for", 8*time.Second, "time under faults for each seed")
	processes = flag.Int("soak.instances", 5, "instances of the fleet")
)

// regressions are the seeds that ever failed, each with its cause.
var regressions = map[uint64]string{
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
	binary := build(t)
	for seed := range regressions {
		run(t, binary, seed, false)
	}
	for i := range *seeds {
		run(t, binary, *firstSeed+uint64(i), true)
	}
}

// run plays a seed. Drills are a series of faults of their own beside the others:
// seeds that were found without them stay as they were.
func run(t *testing.T, binary string, seed uint64, drills bool) {
	t.Helper()
	w := newWorld(t, binary, seed)
	defer w.end()
	w.start()
	if drills {
		backs := w.backs[:servers:servers]
		w.wg.Go(func() { w.drills(backs, seed, *length) })
	}
	w.underFaults(*length)
	w.recovered()
	for _, fault := range w.check() {
		t.Errorf("seed %d: %s", seed, fault)
	}
	served, refused, failed := w.counts()
	t.Logf("seed %d: %d drills of the store, %d limits named", seed, w.restores, w.limits)
	t.Logf("seed %d: %d served, %d refused, %d failed", seed, served, refused, failed)
	must.Positive(t, served)
	if t.Failed() {
		t.Logf("seed %d: logs in %s", seed, w.keepLogs())
		t.FailNow()
	}
}
