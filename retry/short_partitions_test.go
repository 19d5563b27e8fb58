package retry_test

import (
	"fmt"
	"testing"
	"time"
)

// forEachLoadAndOnset is forEachLoad with failures before and from the first disruption.
func forEachLoadAndOnset(t *testing.T, run func(t *testing.T, l fleetLoad, seed uint64)) {
	t.Helper()
	forEachLoad(t, func(t *testing.T, l fleetLoad, seed uint64) {
		run(t, l, seed)
		l.failsLate = true
		run(t, l, seed)
	})
}

func separatedHalves(a, b int) bool { return (a < 18) != (b < 18) }

func separatedAll(a, b int) bool { return a != b }

// Instances are partitioned again and again, for less or hardly more than the time after
// which they notice it. Guards against reports that are lost for good, and against silence
// that counts as no retries.
func TestRetriesStayWithinTheLimitDuringShortPartitions(t *testing.T) {
	for name, separated := range map[string]func(a, b int) bool{"all": separatedAll, "halves": separatedHalves} {
		for _, p := range []struct{ length, interval time.Duration }{
			{700 * time.Millisecond, 1200 * time.Millisecond},
			{1200 * time.Millisecond, 2 * time.Second},
			{1200 * time.Millisecond, 2600 * time.Millisecond},
			{1200 * time.Millisecond, 10 * time.Second},
			{3 * time.Second, 6 * time.Second},
		} {
			t.Run(fmt.Sprintf("%s %v every %v", name, p.length, p.interval), func(t *testing.T) {
				t.Parallel()
				worst := 0.0
				forEachLoadAndOnset(t, func(t *testing.T, l fleetLoad, seed uint64) {
					sim := newFleetSimulation(l, seed)
					for _, c := range sim.instances {
						c.budgets.AssumeNoneBefore(0)
					}
					if l.failsLate {
						sim.failedShare = 0.01
					}
					sim.run(0, 10*time.Second)
					sim.failedShare = failedShare
					for at := 10 * time.Second; at < 30*time.Second; at += p.interval {
						sim.separated = separated
						sim.run(at, at+p.length)
						sim.separated = func(int, int) bool { return false }
						sim.run(at+p.length, at+p.interval)
					}
					sim.requireWithinLimit(t)
					worst = max(worst, sim.worstShare())
				})
				t.Logf("at most %.2f of the limit", worst)
			})
		}
	}
}
