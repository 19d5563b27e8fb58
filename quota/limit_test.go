package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

// limitChange is a limit that applies to a reference bucket from a given time
// on.
type limitChange struct {
	at    time.Duration
	limit config.Limit
}

// excess replays admissions on a single bucket with the whole limit and
// returns by how many tokens they exceed it. A stream without excess admits at
// most burst + rate·w in every window w.
//
// Raising the burst adds the difference; lowering it removes the tokens above
// it.
func excess(admitted []admission, limits []limitChange) float64 {
	level, worst := limits[0].limit.Burst, 0.0
	at, l := time.Duration(0), limits[0].limit
	advance := func(to time.Duration) {
		level = min(l.Burst, level+l.Rate*(to-at).Seconds())
		at = to
	}
	next := 1
	for _, a := range admitted {
		for ; next < len(limits) && limits[next].at <= a.at; next++ {
			advance(limits[next].at)
			raise := limits[next].limit.Burst - l.Burst
			l = limits[next].limit
			level = min(l.Burst, level+max(0, raise))
		}
		advance(a.at)
		level -= a.tokens
		worst = max(worst, -level)
	}
	return worst
}

// limitsInForce returns the limits that instances may apply: the larger of the
// old and the new one until no token of the old one can be used.
func (f *fleet) limitsInForce() []limitChange {
	slow := 1 + f.settings.Drift
	end := time.Duration(float64(freshTime+f.settings.TransferTime) * slow)
	var changes []limitChange
	at := func(t time.Duration) config.Limit {
		var l config.Limit
		for i, r := range f.rows {
			if r.written <= t && (i+1 == len(f.rows) || f.rows[i+1].written+end > t) {
				l.Rate, l.Burst = max(l.Rate, r.limit.Rate), max(l.Burst, r.limit.Burst)
			}
		}
		return l
	}
	for _, r := range f.rows {
		changes = append(changes, limitChange{at: r.written}, limitChange{at: r.written + end})
	}
	sortChanges(changes)
	for i := range changes {
		changes[i].limit = at(changes[i].at)
	}
	return changes
}

// largest returns a constant limit that no limit of the history exceeds.
func largest(changes []limitChange) []limitChange {
	var l config.Limit
	for _, c := range changes {
		l.Rate, l.Burst = max(l.Rate, c.limit.Rate), max(l.Burst, c.limit.Burst)
	}
	return []limitChange{{limit: l}}
}

// testSettings returns settings with a clock drift large enough to expose an
// error in its handling.
func testSettings(seed uint64) Settings {
	drift := []float64{0, 0.05, 0.3}[seed%3]
	return Settings{TransferTime: 250 * time.Millisecond, Drift: drift, IdleTime: time.Second}
}

// Guards against admitting more than a plan allows under faults. One workspace
// floods a fleet. Meanwhile holders are frozen, replaced and cut off from the
// table or in one direction from each other; asks and transfers are lost,
// delayed and duplicated; parts move, and the plan's limit goes up and down.
// In every window, the fleet must admit no more than a single bucket with the
// plan's limit.
func TestRandomFaultsKeepTheLimit(t *testing.T) {
	const tolerance = 1e-6
	limits := []config.Limit{
		{Rate: 400, Burst: 60},
		{Rate: 10, Burst: 60},
		{Rate: 4, Burst: 2},
		{Rate: 40, Burst: 60},
	}
	admitted, failedSeeds := 0, []uint64(nil)
	for seed := range uint64(*seeds) {
		f := newFleet(seed, testSettings(seed), 5, limits[seed/3%4])
		f.run(25*time.Second, f.randomProfile())
		changes := f.limitsInForce()
		over := max(excess(f.admitted, changes), excess(f.admitted, largest(changes)))
		if over > tolerance {
			failedSeeds = append(failedSeeds, seed)
			t.Logf("seed %d: %.3f tokens over the limit", seed, over)
		}
		admitted += len(f.admitted)
	}
	t.Logf("%d histories, %d admissions, %d failed", *seeds, admitted, len(failedSeeds))
	must.SliceEmpty(t, failedSeeds)
	must.Positive(t, admitted)
}
