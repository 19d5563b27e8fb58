package freshness_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/freshness"
)

// A process is stopped for three seconds. The stall must be detected once, and not at the
// first call.
func TestStallIsDetectedOnce(t *testing.T) {
	var d freshness.StallDetector
	now := 10 * time.Second
	must.Zero(t, d.Advance(now))
	for range 5 {
		now += 200 * ms
		must.Zero(t, d.Advance(now))
	}
	now += 3 * time.Second
	must.Eq(t, 3*time.Second, d.Advance(now))
	must.Zero(t, d.Advance(now+ms))
}
