package edge

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/health"
	"foxtailspoke/placement"
	"foxtailspoke/retry"
	"foxtailspoke/routing"
)

// Many requests of one instance fail at the same moment, for instance when a path is cut.
// Guards against decisions that all see the same remaining budget, because a retry
// counts only once it is sent.
func TestRetriesDecidedAtOnceShareTheBudget(t *testing.T) {
	e := newIdleInstance(t)
	e.state.budgets.AssumeNoneBefore(e.now())
	allowed := e.retryAllowance("s").Allowed
	must.Greater(t, 10, allowed)
	c := &call{service: "s", route: &routing.Route{MaxAttempts: 3, Kind: routing.Idempotent}, deadline: e.now() + time.Second}
	retries := 0
	for range 100 {
		a := &attempt{result: health.ConnectFailed, choice: placement.Choice{}}
		if e.decideRetry(c, a, 1, 0, false).Action == retry.Retry {
			retries++
		}
	}
	must.LessEq(t, allowed, float64(retries))
}
