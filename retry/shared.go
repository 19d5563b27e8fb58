package retry

import (
	"math/rand/v2"
	"time"
)

// Shared is the budget of repeats of one service over the whole fleet, as far
// as one instance hears what the others send.
type Shared struct {
	budget *Budget
	window Window
}

// Bound on the repeats to a service, over all instances.
type Bound struct {
	// Ratio is a share of the service's requests, Slack a number beside it.
	Ratio, Slack float64
	// Heard is the part of the fleet that this instance hears, itself
	// included, from 0 to 1. It uses only that part of the bound.
	Heard float64
}

const (
	// sharedUse is the part of the bound that is used. The rest covers what
	// other instances send in the moments until it is heard.
	sharedUse = 0.7
	// probeUse is the part of that up to which requests that can be repeated
	// are used to find out whether servers are well again. The rest is for
	// requests that fail for other reasons.
	probeUse = 0.6
	// mostShared bounds the attempts of one request, beside its route's bound.
	mostShared = 8
)

// NewShared returns a budget without requests. RetryAfter is the least that
// callers are told to wait.
func NewShared(retryAfter time.Duration, rng *rand.Rand) *Shared {
	s := DefaultSettings()
	s.MaxAttempts = mostShared
	s.RetryAfter = retryAfter
	return &Shared{budget: NewBudget(s, rng)}
}

// Count takes in an attempt of any instance: the first of a request, or a
// repeat.
func (s *Shared) Count(repeat bool, now time.Duration) { s.window.Count(repeat, now) }

// Budget returns what may still be repeated.
func (s *Shared) Budget(b Bound, now time.Duration) *Budget {
	use := sharedUse * b.Heard
	s.budget.Grant(s.window.Left(b.Ratio*use, b.Slack*use, now))
	return s.budget
}

// Room reports whether requests may be spent on finding out.
func (s *Shared) Room(b Bound, now time.Duration) bool {
	use := sharedUse * b.Heard
	return s.window.Used(b.Ratio*use, b.Slack*use, now) < probeUse
}
