package retry

import (
	"math/rand/v2"
	"time"
)

// giveUpHalfLife is the half-life of the count of recent give-ups.
const giveUpHalfLife = 5 * time.Second

// Budget is a token bucket that limits the retries and hedges sent to one
// service by one instance.
//
// Without it, a service on which every request fails would get each request
// MaxAttempts times, which keeps it from recovering. Each request adds Share
// tokens and each further attempt costs one, so the load stays below 1+Share
// times the number of requests, plus Reserve once.
type Budget struct {
	settings Settings
	rng      *rand.Rand
	tokens   float64
	// recentGiveUps is the exponentially decaying count of requests that were
	// given up, as of recentGiveUpsAt.
	recentGiveUps   float64
	recentGiveUpsAt time.Duration
}

// NewBudget returns a budget that holds Reserve tokens.
func NewBudget(s Settings, rng *rand.Rand) *Budget {
	return &Budget{settings: s, rng: rng, tokens: s.Reserve}
}

// RecordRequest adds the tokens that a request earns. Call it once per request,
// before the first attempt.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.tokens+b.settings.Share, b.settings.Reserve)
}

func (b *Budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// hedgeReserve is the number of tokens that hedges leave for retries: a failed
// request needs its second attempt more than a late one.
const hedgeReserve = 2

func (b *Budget) takeHedge() bool {
	return b.tokens >= 1+hedgeReserve && b.take()
}

// retryAfter returns the Retry-After time for a request that is given up. It
// grows with the number of recent give-ups and is jittered, so that callers
// don't come back at the same time, and is at least minimum.
func (b *Budget) retryAfter(now, minimum time.Duration) time.Duration {
	b.recentGiveUps = decay(b.recentGiveUps, now-b.recentGiveUpsAt, giveUpHalfLife) + 1
	b.recentGiveUpsAt = now
	wait := time.Duration(float64(minimum) * (1 + b.recentGiveUps/10) * (0.75 + b.rng.Float64()/2))
	return min(max(wait, minimum), b.settings.MaxRetryAfter)
}
