package edge

import (
	"math/rand/v2"
	"time"

	"foxtailspoke/retry"
)

// sharedRetryBudget returns the shared budget of a service.
func (s *state) sharedRetryBudget(service string) *retry.Shared {
	r, ok := s.budgets[service]
	if !ok {
		r = retry.NewShared(comeBackSoon, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		s.budgets[service] = r
	}
	return r
}

// countAttempt counts an attempt at a server.
func (s *state) countAttempt(server uint32, number uint8, now time.Duration) {
	if entry, ok := s.placer.Server(server); ok {
		s.sharedRetryBudget(entry.Service).Count(number > 1, now)
	}
}

// repeatBound is the platform's bound on repeats, as far as this instance may
// use it.
func (e *Edge) repeatBound() retry.Bound {
	b := e.settings.Bounds
	return retry.Bound{Ratio: b.RetryRatio, Slack: b.RetrySlack, Heard: e.state.usage.RateShare}
}

// retryBudget is what may still be repeated at a service.
func (e *Edge) retryBudget(service string) *retry.Budget {
	return e.state.sharedRetryBudget(service).Budget(e.repeatBound(), e.now())
}

// roomToRepeat reports whether requests may be spent on finding out.
func (e *Edge) roomToRepeat(service string) bool {
	return e.state.sharedRetryBudget(service).Room(e.repeatBound(), e.now())
}
