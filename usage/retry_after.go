package usage

import (
	"math"
	"time"
)

const (
	// minRetryAfter is the resolution of the Retry-After header.
	minRetryAfter = 10 * time.Millisecond
	// maxRetryAfter is the longest time after which a refused caller is asked to return, unless the
	// next token takes longer than that.
	maxRetryAfter = 5 * time.Second
	// minReturnPeriod is the shortest period over which refused callers are spread if the next token
	// takes almost maxRetryAfter or longer.
	minReturnPeriod = 500 * time.Millisecond
	// goldenRatio is the step, as a part of a cycle, whose multiples are spread most evenly.
	goldenRatio = 0.618033988749895
)

// returnSchedule holds the times that refused callers were asked to return at.
type returnSchedule struct {
	// next is the next free time of each rank.
	next [ranks]time.Duration
	// phase is the part of the interval between two callers by which the first of a series is
	// delayed. Without it, all instances would give their first refused callers the same time.
	phase float64
}

// schedule returns the time until the next refused caller of a rank should return: no earlier than
// first, after those of more urgent ranks, and then one caller in each interval. After maxRetryAfter
// the times begin again from first, between those of the cycle before.
func (s *returnSchedule) schedule(rank int, first, interval, now time.Duration) time.Duration {
	period := max(maxRetryAfter-first, minReturnPeriod)
	interval = min(interval, time.Duration(goldenRatio*float64(period)))
	for _, next := range s.next[:rank] {
		s.next[rank] = max(s.next[rank], next)
	}
	wait := s.next[rank] - now
	if wait < first || wait > first+period {
		wait = first + time.Duration(s.phase*float64(interval))
		s.phase = math.Mod(s.phase+goldenRatio, 1)
	}
	s.next[rank] = now + wait + interval
	return wait
}

// retryAfter returns the time until a refused caller of a rank should return. The tokens that the
// rate leaves to the rank are shared by all instances in proportion to their requests.
func (c *Counters) retryAfter(
	b *Bucket, rank int, f fleetDemand, reserved float64, now time.Duration,
) time.Duration {
	first := max(b.timeToTokens(1+reserved, c.RateShare), minRetryAfter)
	if c.DisableReserve {
		return first
	}
	interval := maxRetryAfter
	if rate := f.remaining(); rate > 0 {
		seconds := math.Min(f.multiple/rate, maxRetryAfter.Seconds())
		interval = time.Duration(seconds * float64(time.Second))
	}
	return b.demand.returns.schedule(rank, first, interval, now)
}
