package retry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/retry"
)

// Instances adopt each other's counts again and again. Guards against counts that become
// younger each time: requests would earn retries for longer than the window.
func TestAdoptedCountsKeepTheirAge(t *testing.T) {
	a, b := retry.NewFleetBudgets(time.Second, nil), retry.NewFleetBudgets(time.Second, nil)
	a.AssumeNoneBefore(0)
	for range 100 {
		a.Service("s").Count(false, 500*time.Millisecond)
	}
	for now := time.Second; now < 9*time.Second; now += 300 * time.Millisecond {
		b = retry.NewFleetBudgets(time.Second, nil)
		b.SetCoverage(1, now)
		must.True(t, b.Adopt(a.History(now), now))
		must.Eq(t, 100, b.Service("s").Allowance(retry.Limit{Coverage: retry.FullCoverage()}, now).Requests)
		a = b
	}
	must.Zero(t, b.Service("s").Allowance(retry.Limit{Coverage: retry.FullCoverage()}, 13*time.Second).Requests)
}
