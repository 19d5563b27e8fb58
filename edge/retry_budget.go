package edge

import (
	"math/rand/v2"
	"time"

	"foxtailspoke/retry"
)

// newRetryBudgets returns the retry budgets of an instance that has just started.
func newRetryBudgets() *retry.FleetBudgets {
	return retry.NewFleetBudgets(retryAfterShort, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// countAttempt counts an attempt at a server against the budget of its service.
func (s *state) countAttempt(server uint32, number uint8, now time.Duration) {
	if entry, ok := s.placer.Server(server); ok {
		s.budgets.Service(entry.Service).Count(number > 1, now)
	}
}

// retryBound returns this instance's share of the platform's bound on retries.
func (e *Edge) retryBound() retry.Limit {
	b := e.settings.Bounds
	return retry.Limit{Ratio: b.RetryRatio, Slack: b.RetrySlack, Coverage: e.state.budgets.Coverage()}
}

// retryBudget returns the remaining retry budget of a service.
func (e *Edge) retryBudget(service string) *retry.Budget {
	now := e.now()
	return e.state.budgets.Service(service).Budget(e.retryBound(), now)
}

// retryAllowance returns the state of the retry budget of a service.
func (e *Edge) retryAllowance(service string) retry.Allowance {
	now := e.now()
	return e.state.budgets.Service(service).Allowance(e.retryBound(), now)
}

// hasRetryBudget reports whether the budget allows requests that probe uncertain
// servers, since a failed one needs a retry.
func (e *Edge) hasRetryBudget(service string) bool {
	now := e.now()
	return e.state.budgets.Service(service).MayProbe(e.retryBound(), now)
}
