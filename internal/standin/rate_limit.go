package standin

import "time"

// rateLimit is a token bucket whose capacity is one second's worth of tokens.
type rateLimit struct {
	tokens      float64
	refilledAt  time.Duration
	initialized bool
}

// allow takes a token from the bucket, which is refilled at a rate of perSecond,
// and reports whether there was one. If perSecond is 0, the rate is not limited.
func (l *rateLimit) allow(now time.Duration, perSecond int) bool {
	if perSecond <= 0 {
		*l = rateLimit{}
		return true
	}
	capacity := float64(perSecond)
	if !l.initialized {
		*l = rateLimit{tokens: capacity, refilledAt: now, initialized: true}
	}
	l.tokens = min(capacity, l.tokens+(now-l.refilledAt).Seconds()*capacity)
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
