package retry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Instances adopt each other's counts again and again. Guards against counts that become
// younger each time: requests would earn retries for longer than the window.
func TestAdoptedCountsKeepTheirAge(t *testing.T) {
	a, b := newBudgets(1), newBudgets(3)
	a.AssumeNoneBefore(0)
	for range 100 {
		a.Service(service).Count(false, 500*time.Millisecond)
	}
	now := time.Second
	for ; now < 9*time.Second; now += 300 * time.Millisecond {
		b = newBudgets(uint32(now.Milliseconds()))
		b.SetCoverage(1, now)
		must.True(t, b.Adopt(a.History(now), now))
		requireCounts(t, b, 100, 0, now)
		a = b
	}
	requireCounts(t, b, 0, 0, 13*time.Second)
}
