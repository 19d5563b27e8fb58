package quota

import (
	"math"
	"time"

	"foxtailspoke/config"
)

// Amount is a number of tokens in units so small that a holder of p parts of
// a limit of r tokens a second gains exactly r·p units every nanosecond.
// Integers make a token that was split among holders whole again when it is
// put together; sums of floating-point thirds would not.
type Amount int64

// Token is one whole token: the right to one request.
const Token Amount = config.PartsPerShard * Amount(time.Second)

// maxTokens bounds a burst so that an Amount can't overflow.
const maxTokens = math.MaxInt64 / 4 / int64(Token)

// Tokens converts a number of tokens, rounded down. Negative numbers and
// values that aren't a number count as 0.
func Tokens(n float64) Amount {
	if !(n > 0) {
		return 0
	}
	return Amount(min(n, float64(maxTokens)) * float64(Token))
}

// Float returns the amount in tokens, for messages and metrics.
func (a Amount) Float() float64 { return float64(a) / float64(Token) }

// capacity is what p parts of a burst can store.
func capacity(l config.Limit, parts int) Amount {
	return Tokens(l.Burst) / config.PartsPerShard * Amount(parts)
}

// refill is what p parts of a rate gain in a time on the own clock. The
// clock may run fast by the drift, so the time counts for less.
func refill(l config.Limit, parts int, elapsed time.Duration, drift float64) Amount {
	if elapsed <= 0 || !(l.Rate > 0) {
		return 0
	}
	units := l.Rate * float64(parts) * float64(elapsed) / (1 + drift)
	return Amount(min(units, float64(maxTokens)*float64(Token)))
}

// timeToRefill is how long p parts of a rate need to gain an amount, at least a
// nanosecond; 0 if they never do.
func timeToRefill(l config.Limit, parts int, a Amount, drift float64) time.Duration {
	perNano := l.Rate * float64(parts)
	if !(perNano > 0) {
		return 0
	}
	nanos := math.Ceil(float64(a) * (1 + drift) / perNano)
	return time.Duration(min(max(nanos, 1), float64(maxRetryAfter)))
}

// maxRetryAfter bounds the waiting times that a caller is told.
const maxRetryAfter = 24 * time.Hour
