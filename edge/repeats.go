package edge

import (
	"math/rand/v2"
	"time"

	"foxtailspoke/retry"
)

// repeats is what the fleet, as far as it is heard, has sent to one service.
type repeats struct {
	budget *retry.Budget
	window retry.Window
}

// repeatsUse is the part of the platform's bound on repeats that is used. The
// rest covers what other instances send in the moments until it is heard.
const repeatsUse = 0.7

// probeUse is the part of that up to which requests that can be repeated are
// used to find out whether servers are well again. The rest is for requests
// that fail for other reasons.
const probeUse = 0.6

// repeatsOf returns the count of a service.
func (s *state) repeatsOf(service string) *repeats {
	r, ok := s.budgets[service]
	if !ok {
		settings := retry.DefaultSettings()
		settings.MaxAttempts = maxRunning
		settings.RetryAfter = comeBackSoon
		r = &repeats{budget: retry.NewBudget(settings, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
		s.budgets[service] = r
	}
	return r
}

// repeatsAt counts an attempt at a server.
func (s *state) repeatsAt(server uint32, number uint8, now time.Duration) {
	if service, ok := s.placer.ServiceOf(server); ok {
		s.repeatsOf(service).window.Count(number > 1, now)
	}
}

// retryBudget is what may still be repeated at a service. The bound holds for
// the whole fleet; an instance that hears only a part of it uses that part.
func (e *Edge) retryBudget(service string) *retry.Budget {
	r := e.state.repeatsOf(service)
	b := e.settings.Bounds
	use := repeatsUse * e.state.usage.Share
	r.budget.Grant(r.window.Left(b.RetryRatio*use, b.RetrySlack*use, e.now()))
	return r.budget
}

// roomToRepeat reports whether requests may be spent on finding out.
func (e *Edge) roomToRepeat(service string) bool {
	b := e.settings.Bounds
	use := repeatsUse * e.state.usage.Share
	return e.state.repeatsOf(service).window.Used(b.RetryRatio*use, b.RetrySlack*use, e.now()) < probeUse
}
