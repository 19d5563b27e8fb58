package placement_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/placement"
)

func TestAdmitRejectsRequestsThatCantBeServedInTime(t *testing.T) {
	r := nonRetryable()
	r.Remaining = time.Second
	soon := placement.Choice{ExpectedLatency: 300 * time.Millisecond}
	late := placement.Choice{ExpectedLatency: 800 * time.Millisecond}
	ok, _ := placement.Admit(soon, r, 0, 0)
	must.True(t, ok)
	ok, _ = placement.Admit(late, r, 0, 0)
	must.True(t, ok)
	ok, wait := placement.Admit(late, r, 3, 0)
	must.False(t, ok)
	must.Between(t, 100*time.Millisecond, wait, 3*time.Second)
	ok, wait = placement.Admit(placement.Choice{ExpectedLatency: time.Minute}, r, 0, 1)
	must.False(t, ok)
	must.LessEq(t, 3*time.Second, wait)
}
