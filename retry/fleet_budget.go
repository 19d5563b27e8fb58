package retry

import (
	"math/rand/v2"
	"time"
)

// FleetBudget is the retry budget of one service across the fleet, as seen by
// one instance from the attempts that the other instances report.
type FleetBudget struct {
	budget *Budget
	window Window
	// sent holds the totals of this instance, which last changed at sentAt.
	sent   Totals
	sentAt time.Duration
}

// Limit bounds the retries to a service across all instances.
type Limit struct {
	// Up to Ratio times the service's requests, plus Slack, may be retried.
	Ratio, Slack float64
	// Coverage of the attempts that this instance counts. The instance uses only
	// that share of the limit.
	Coverage Coverage
	// Silence is the mean time since the last message of each other instance.
	Silence time.Duration
}

// usable returns the ratio and the slack that this instance may use.
func (l Limit) usable() (ratio, slack float64) {
	return l.Ratio * limitShare * l.Coverage.Current, l.Slack * l.Coverage.slackShare()
}

const (
	// limitShare is the share of the limit that is used. The rest covers
	// retries of other instances that haven't been reported yet.
	limitShare = 0.7
	// unseenRetriesPerRequest is the number of retries that are assumed for each request that
	// the other instances may have received since their last messages.
	unseenRetriesPerRequest = 1.0
	// probeShare is the share of the usable limit up to which idempotent
	// requests may probe whether servers have recovered. The rest is kept for
	// requests that fail for other reasons.
	probeShare = 0.6
	// MaxFleetAttempts bounds the attempts of one request, in addition to the
	// limit of its route.
	MaxFleetAttempts = 8
)

// NewFleetBudget returns a budget without requests. The parameter retryAfter is
// the shortest Retry-After time sent to callers.
func NewFleetBudget(retryAfter time.Duration, rng *rand.Rand) *FleetBudget {
	s := DefaultSettings()
	s.MaxAttempts = MaxFleetAttempts
	s.RetryAfter = retryAfter
	return &FleetBudget{budget: NewBudget(s, rng)}
}

// Count records an attempt of this instance: the first one of a request, or a retry.
func (f *FleetBudget) Count(retry bool, now time.Duration) {
	f.window.Count(retry, now)
	f.sentAt = now
	if retry {
		f.sent.Retries++
	} else {
		f.sent.Requests++
	}
}

// Budget returns the budget, with the number of retries that the limit still
// allows.
func (f *FleetBudget) Budget(l Limit, now time.Duration) *Budget {
	a := f.Allowance(l, now)
	f.budget.SetTokens(a.Allowed - float64(a.Retries))
	return f.budget
}

// MayProbe reports whether requests may be used to probe whether servers have
// recovered.
func (f *FleetBudget) MayProbe(l Limit, now time.Duration) bool {
	a := f.Allowance(l, now)
	return float64(a.Retries) < probeShare*a.Allowed
}

// Allowance is the state of a retry budget.
type Allowance struct {
	// Requests and Retries are counted over the window of the limit.
	Requests, Retries int
	// Allowed is the number of retries that this instance would allow there, less those
	// that others may have sent since their last messages.
	Allowed float64
	// Coverage is the share of the fleet whose attempts are counted now.
	Coverage float64
}

// Allowance returns the state of the budget.
func (f *FleetBudget) Allowance(l Limit, now time.Duration) Allowance {
	ratio, slack := l.usable()
	requests, retries := f.window.totals(now)
	unseen := unseenRetriesPerRequest * float64(requests) * float64(l.Silence) / float64(window)
	return Allowance{Requests: requests, Retries: retries, Allowed: ratio*float64(requests) + slack - unseen, Coverage: l.Coverage.Current}
}
