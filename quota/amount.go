package quota

import (
	"math"
	"time"

	"foxtailspoke/config"
)

// Amount is a number of tokens in units of 1/(60·10⁹) token: a holder of p
// parts of a limit of r tokens per second gains exactly r·p units per
// nanosecond. Integers make tokens that were split among holders add up
// exactly; floating-point thirds would not.
type Amount int64

// Token is one whole token: the right to one request.
const Token Amount = config.PartsPerShard * Amount(time.Second)

// maxTokens bounds a burst so that an Amount can't overflow.
const maxTokens = math.MaxInt64 / 4 / int64(Token)

// Tokens converts a number of tokens to an Amount, rounding down. Negative
// numbers and NaN count as 0.
func Tokens(n float64) Amount {
	if !(n > 0) {
		return 0
	}
	return Amount(min(n, float64(maxTokens)) * float64(Token))
}

// Float returns the amount in tokens, for messages and metrics.
func (a Amount) Float() float64 { return float64(a) / float64(Token) }

// capacity returns what p parts of a burst can store.
func capacity(l config.Limit, parts int) Amount {
	return Tokens(l.Burst) / config.PartsPerShard * Amount(parts)
}

// refill returns what p parts of a rate gain in a time measured on the local
// clock. The clock may run fast by the drift, so the elapsed time is divided
// by 1+drift.
func refill(l config.Limit, parts int, elapsed time.Duration, drift float64) Amount {
	if elapsed <= 0 || !(l.Rate > 0) {
		return 0
	}
	units := l.Rate * float64(parts) * float64(elapsed) / (1 + drift)
	return Amount(min(units, float64(maxTokens)*float64(Token)))
}

// timeToRefill returns how long p parts of a rate take to gain an amount, at
// least one nanosecond. It returns 0 if they never do.
func timeToRefill(l config.Limit, parts int, a Amount, drift float64) time.Duration {
	perNano := l.Rate * float64(parts)
	if !(perNano > 0) {
		return 0
	}
	nanos := math.Ceil(float64(a) * (1 + drift) / perNano)
	return time.Duration(min(max(nanos, 1), float64(maxRetryAfter)))
}

// maxRetryAfter bounds the retry delay reported to a caller.
const maxRetryAfter = 24 * time.Hour
