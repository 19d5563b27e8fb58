package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// When a service sheds more than half of its requests, every other request needs a
// retry. The retries of any 10 s must stay below the part of the platform's limit
// that is used; the rest covers retries of other instances that haven't been
// reported yet.
func TestRetriesStayBelowTheLimit(t *testing.T) {
	const ratio, slack = 0.14, 150.0
	f := NewFleetBudget(time.Second, nil)
	limit := Limit{Ratio: ratio / limitShare, Slack: slack / limitShare, Coverage: FullCoverage()}
	var retries []time.Duration
	requests := 0
	for now := time.Duration(0); now < 30*time.Second; now += 2 * time.Millisecond {
		f.Count(false, now)
		requests++
		if f.Budget(limit, now).take() {
			f.Count(true, now)
			retries = append(retries, now)
		}
	}
	first, most := 0, 0
	for last, at := range retries {
		for at-retries[first] >= 10*time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	must.LessEq(t, ratio*500*11+slack, float64(most))
	must.Greater(t, 500, most)
}

func TestWindowDropsOldCounts(t *testing.T) {
	var w Window
	for range 10 {
		w.Count(true, time.Second)
	}
	_, retries := w.totals(5 * time.Second)
	must.Eq(t, 10, retries)
	_, retries = w.totals(20 * time.Second)
	must.Zero(t, retries)
}
