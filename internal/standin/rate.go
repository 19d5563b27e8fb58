package standin

import "time"

// rateLimit is a token bucket that holds one second's worth.
type rateLimit struct {
	tokens float64
	at     time.Duration
	begun  bool
}

// allow takes a token, at most perSecond in a second. 0 is no limit.
func (l *rateLimit) allow(now time.Duration, perSecond int) bool {
	if perSecond <= 0 {
		*l = rateLimit{}
		return true
	}
	limit := float64(perSecond)
	if !l.begun {
		*l = rateLimit{tokens: limit, at: now, begun: true}
	}
	l.tokens = min(limit, l.tokens+(now-l.at).Seconds()*limit)
	l.at = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
