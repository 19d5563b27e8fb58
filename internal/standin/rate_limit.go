package standin

import "time"

// rateLimit is a token bucket that holds one second's worth.
type rateLimit struct {
	tokens      float64
	refilledAt  time.Duration
	initialized bool
}

// allow takes a token, at most perSecond in a second. 0 is no limit.
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
