package placement_test

import (
	"cmp"
	"time"
)

// sampleCoverage samples the share of healthy servers in use.
func (sim *simulation) sampleCoverage(now time.Duration) {
	if now < sim.nextSample || now < firstRequest+settlingTime {
		return
	}
	sim.nextSample = now + 100*time.Millisecond
	sim.samples++
	used, healthy := 0, 0
	for _, s := range sim.servers {
		sim.updateState(s, now)
		if !s.healthy || now-s.healthySince < 2*time.Second || s.slow || now-s.slowUntil < slowAftermath {
			continue
		}
		healthy++
		if now-s.lastRequest < cmp.Or(sim.useWindow, idleWindow) {
			used++
		}
	}
	coverage := float64(used) / float64(max(healthy, 1))
	if used > 0 && coverage < minCoverage {
		sim.lowSamples++
	}
	sim.coverageSum += coverage
	if unserved := sim.unservedShare(now); used > 0 && coverage < minCoverage && unserved > minUnservedShare && unserved < maxUnservedShare {
		sim.idleSamples++
	}
}

func (sim *simulation) coverage() float64 { return sim.coverageSum / float64(sim.samples) }
