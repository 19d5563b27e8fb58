package edge

import (
	"math/rand/v2"
	"time"

	"foxtailspoke/retry"
)

// sharedRetryBudget returns the retry budget of a service, which the fleet shares.
func (s *state) sharedRetryBudget(service string) *retry.FleetBudget {
	r, ok := s.budgets[service]
	if !ok {
		r = retry.NewFleetBudget(retryAfterShort, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		s.budgets[service] = r
	}
	return r
}

// countAttempt counts an attempt at a server against the budget of its service.
func (s *state) countAttempt(server uint32, number uint8, now time.Duration) {
	if entry, ok := s.placer.Server(server); ok {
		s.sharedRetryBudget(entry.Service).Count(number > 1, now)
	}
}

// retryBound returns this instance's share of the platform's bound on retries.
func (e *Edge) retryBound() retry.Limit {
	b := e.settings.Bounds
	return retry.Limit{Ratio: b.RetryRatio, Slack: b.RetrySlack, Coverage: e.state.usage.RateShare}
}

// retryBudget returns the remaining retry budget of a service.
func (e *Edge) retryBudget(service string) *retry.Budget {
	return e.state.sharedRetryBudget(service).Budget(e.retryBound(), e.now())
}

// hasRetryBudget reports whether the budget allows requests that probe uncertain
// servers, since a failed one needs a retry.
func (e *Edge) hasRetryBudget(service string) bool {
	return e.state.sharedRetryBudget(service).MayProbe(e.retryBound(), e.now())
}
