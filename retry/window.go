package retry

import "time"

// Window counts requests and repeats of one service over the time in which a
// bound on repeats is counted.
//
// Load pattern: a service fails a part of everything, and each instance alone
// has too few requests for a share of its own to amount to one repeat. Counting
// over the fleet lets the instance that needs a repeat have it, while all
// together stay below the bound.
type Window struct {
	seconds [windowSeconds]tally
}

type tally struct {
	second            int64
	requests, repeats int
}

// windowSeconds is the time that counts, as the platform bounds it. A second
// that has begun counts whole, so that the window is rather too long.
const windowSeconds = 11

// Count takes in an attempt: the first of a request, or a repeat.
func (w *Window) Count(repeat bool, now time.Duration) {
	t := w.at(now)
	if repeat {
		t.repeats++
	} else {
		t.requests++
	}
}

func (w *Window) at(now time.Duration) *tally {
	second := int64(now / time.Second)
	t := &w.seconds[second%windowSeconds]
	if t.second != second {
		*t = tally{second: second}
	}
	return t
}

// Remaining is how many repeats the bound still allows: a share of the requests and
// a number beside it.
func (w *Window) Remaining(ratio, slack float64, now time.Duration) float64 {
	allowed, repeats := w.sums(ratio, slack, now)
	return allowed - repeats
}

// UsedShare is the part of the bound that is used up.
func (w *Window) UsedShare(ratio, slack float64, now time.Duration) float64 {
	allowed, repeats := w.sums(ratio, slack, now)
	if allowed <= 0 {
		return 1
	}
	return repeats / allowed
}

func (w *Window) sums(ratio, slack float64, now time.Duration) (allowed, repeated float64) {
	oldest := int64(now/time.Second) - windowSeconds
	requests, repeats := 0, 0
	for _, t := range w.seconds {
		if t.second > oldest {
			requests += t.requests
			repeats += t.repeats
		}
	}
	return ratio*float64(requests) + slack, float64(repeats)
}

// SetTokens sets what the budget holds, in place of what it earned itself.
func (b *Budget) SetTokens(tokens float64) { b.tokens = max(tokens, 0) }
