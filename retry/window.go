package retry

import (
	"math"
	"time"
)

// Window counts requests and retries of one service in the sliding window over
// which the limit on retries applies.
//
// When a service fails some of its requests, a single instance may have too few
// requests for its own share of the limit to amount to one retry. Counting
// across the fleet lets the instance that needs a retry send it, while all
// instances together stay below the limit.
type Window struct {
	buckets [windowSeconds]windowBucket
}

type windowBucket struct {
	second            int64
	requests, retries int
}

// windowSeconds is the length of the window. The platform limits retries over
// 10 s; the current second counts as a whole one, so the window errs on the
// long side.
const windowSeconds = 11

// Count records an attempt: the first one of a request, or a retry.
func (w *Window) Count(retry bool, now time.Duration) {
	t := w.bucketAt(now)
	if retry {
		t.retries++
	} else {
		t.requests++
	}
}

func (w *Window) bucketAt(now time.Duration) *windowBucket {
	second := secondOf(now)
	t := &w.buckets[(second%windowSeconds+windowSeconds)%windowSeconds]
	if t.second != second {
		*t = windowBucket{second: second}
	}
	return t
}

// counts returns the attempts of each second in the window.
func (w *Window) counts(now time.Duration) []Count {
	oldest := secondOf(now) - windowSeconds
	var counts []Count
	for _, b := range w.buckets {
		if b.second > oldest && b.requests+b.retries > 0 {
			middle := time.Duration(b.second)*time.Second + time.Second/2
			counts = append(counts, Count{Age: max(now-middle, 0), Requests: b.requests, Retries: b.retries})
		}
	}
	return counts
}

// add adds the counts of another instance, whose seconds begin at other times. An attempt is
// counted for up to half a second longer or shorter than there.
func (w *Window) add(counts []Count, now time.Duration) {
	for _, c := range counts {
		if c.Age < 0 || c.Age >= window {
			continue
		}
		b := w.bucketAt(now - c.Age)
		b.requests += c.Requests
		b.retries += c.Retries
	}
}

// secondOf returns the number of a second, which is negative before the clock's
// origin.
func secondOf(t time.Duration) int64 { return int64(math.Floor(t.Seconds())) }

func (w *Window) totals(now time.Duration) (requests, retries int) {
	oldest := secondOf(now) - windowSeconds
	for _, t := range w.buckets {
		if t.second > oldest {
			requests += t.requests
			retries += t.retries
		}
	}
	return requests, retries
}

// SetTokens replaces the tokens that the budget earned from its own requests.
func (b *Budget) SetTokens(tokens float64) { b.tokens = max(tokens, 0) }
