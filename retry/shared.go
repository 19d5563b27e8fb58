package retry

import (
	"math/rand/v2"
	"time"
)

// FleetBudget is the budget of repeats of one service over the whole fleet, as far
// as one instance hears what the others send.
type FleetBudget struct {
	budget *Budget
	window Window
}

// Limit on the repeats to a service, over all instances.
type Limit struct {
	// Ratio is a share of the service's requests, Slack a number beside it.
	Ratio, Slack float64
	// Coverage is the part of the fleet that this instance hears, itself
	// included, from 0 to 1. It uses only that part of the bound.
	Coverage float64
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

// NewFleetBudget returns a budget without requests. RetryAfter is the least that
// callers are told to wait.
func NewFleetBudget(retryAfter time.Duration, rng *rand.Rand) *FleetBudget {
	s := DefaultSettings()
	s.MaxAttempts = mostShared
	s.RetryAfter = retryAfter
	return &FleetBudget{budget: NewBudget(s, rng)}
}

// Count takes in an attempt of any instance: the first of a request, or a
// repeat.
func (s *FleetBudget) Count(repeat bool, now time.Duration) { s.window.Count(repeat, now) }

// Budget returns what may still be repeated.
func (s *FleetBudget) Budget(b Limit, now time.Duration) *Budget {
	use := sharedUse * b.Coverage
	s.budget.SetTokens(s.window.Remaining(b.Ratio*use, b.Slack*use, now))
	return s.budget
}

// MayProbe reports whether requests may be spent on finding out.
func (s *FleetBudget) MayProbe(b Limit, now time.Duration) bool {
	use := sharedUse * b.Coverage
	return s.window.UsedShare(b.Ratio*use, b.Slack*use, now) < probeUse
}
