package retry

import (
	"math/rand/v2"
	"time"
)

// pressureHalfLife is how fast the memory of refused second attempts fades.
const pressureHalfLife = 5 * time.Second

// Budget pays for the second attempts of one service at one instance.
//
// Without it, a service on which every request fails would get each request
// MaxAttempts times, which keeps it from recovering. Every request earns
// Share of a second attempt, so that the load stays below 1+Share times the
// requests, plus Reserve once.
type Budget struct {
	settings Settings
	rng      *rand.Rand
	tokens   float64
	// pressure is the fading count of requests that were given up.
	pressure float64
	at       time.Duration
}

// NewBudget returns a budget that holds its reserve.
func NewBudget(s Settings, rng *rand.Rand) *Budget {
	return &Budget{settings: s, rng: rng, tokens: s.Reserve}
}

// RecordRequest counts a caller's request, before its first attempt.
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

// hedgeReserve is what hedges leave for retries: a failed request needs its
// second attempt more than a late one.
const hedgeReserve = 2

func (b *Budget) takeHedge() bool {
	return b.tokens >= 1+hedgeReserve && b.take()
}

// retryAfter spreads the callers' returns: the more requests were given up
// lately, the later, and each at another moment; none sooner than least.
func (b *Budget) retryAfter(now, least time.Duration) time.Duration {
	b.pressure = fade(b.pressure, now-b.at, pressureHalfLife) + 1
	b.at = now
	wait := time.Duration(float64(least) * (1 + b.pressure/10) * (0.75 + b.rng.Float64()/2))
	return min(max(wait, least), b.settings.MaxRetryAfter)
}
