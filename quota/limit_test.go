package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

// limitChange is a limit that a reference bucket has from a time on.
type limitChange struct {
	at    time.Duration
	limit config.Limit
}

// excess replays admissions on one bucket of the whole limit, as if there
// were a single instance, and returns by how many tokens they exceed it. A
// stream that fits admits at most burst + rate·w over every window w.
//
// A raised burst adds the difference, a lowered one takes what is above.
func excess(admitted []admission, limits []limitChange) float64 {
	level, worst := limits[0].limit.Burst, 0.0
	at, l := time.Duration(0), limits[0].limit
	forward := func(to time.Duration) {
		level = min(l.Burst, level+l.Rate*(to-at).Seconds())
		at = to
	}
	next := 1
	for _, a := range admitted {
		for ; next < len(limits) && limits[next].at <= a.at; next++ {
			forward(limits[next].at)
			raise := limits[next].limit.Burst - l.Burst
			l = limits[next].limit
			level = min(l.Burst, level+max(0, raise))
		}
		forward(a.at)
		level -= a.tokens
		worst = max(worst, -level)
	}
	return worst
}

// limitsInForce returns the limits by which instances may count: the larger
// of the old and the new one until nobody can use a token of the old one.
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

// largest is a constant limit that no limit of the history exceeds.
func largest(changes []limitChange) []limitChange {
	var l config.Limit
	for _, c := range changes {
		l.Rate, l.Burst = max(l.Rate, c.limit.Rate), max(l.Burst, c.limit.Burst)
	}
	return []limitChange{{limit: l}}
}

// testSettings have clocks bad enough for an error of the drift to show.
func testSettings(seed uint64) Settings {
	drift := []float64{0, 0.05, 0.3}[seed%3]
	return Settings{TransferTime: 250 * time.Millisecond, Drift: drift, IdleTime: time.Second}
}

// One workspace floods a fleet from which it may have a rate and a burst.
// Holders are frozen, killed, replaced and cut off in one direction; asks and
// transfers are lost, late and repeated; parts move and the plan goes up and
// down meanwhile. The callers together never get more than the plan allows,
// over any window, counted as one bucket would.
func TestRandomFaultsKeepTheLimit(t *testing.T) {
	const tolerance = 1e-6
	limits := []config.Limit{
		{Rate: 400, Burst: 60},
		{Rate: 10, Burst: 60},
		{Rate: 4, Burst: 2},
		{Rate: 40, Burst: 60},
	}
	admitted, red := 0, []uint64(nil)
	for seed := range uint64(*seeds) {
		f := newFleet(seed, testSettings(seed), 5, limits[seed/3%4])
		f.run(25*time.Second, f.randomProfile())
		changes := f.limitsInForce()
		over := max(excess(f.admitted, changes), excess(f.admitted, largest(changes)))
		if over > tolerance {
			red = append(red, seed)
			t.Logf("seed %d: %.3f tokens too many", seed, over)
		}
		admitted += len(f.admitted)
	}
	t.Logf("%d histories, %d admissions, %d red", *seeds, admitted, len(red))
	must.SliceEmpty(t, red)
	must.Positive(t, admitted)
}
