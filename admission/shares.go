package admission

import "time"

const (
	// targetUtilization is the number of outstanding requests for each slot that admission
	// aims at. Above 1, a slot that becomes free finds a request waiting; servers whose queue
	// is as long as their slots reject from 2 on, and some reach that earlier, as instances
	// choose servers by figures that are 20 ms old.
	targetUtilization = 1.4
	// toleratedRejections is the share of the attempts that full servers may reject before
	// the admitted requests are bounded by those that passed, plus this share of them: with
	// none more than passed, each rejection would lower the share further.
	toleratedRejections = 0.05
	// maxGrowth bounds what is admitted relative to what passed the servers.
	maxGrowth = 4.0
	// sharesMaxAge is the age at which shares are computed again.
	sharesMaxAge = 20 * time.Millisecond

	// minRetryAfter and maxRetryAfter bound the Retry-After.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// shares are the shares of the requests that are admitted, overall and of each priority.
type shares struct {
	total float64
	ranks [maxRanks]float64
}

var everything = shares{total: 1, ranks: [maxRanks]float64{1, 1, 1, 1, 1, 1, 1, 1}}

// computeShares returns the shares by the counts of the window.
func computeShares(t sums) shares {
	demand := float64(t.totalDemand())
	if demand == 0 || t.passed == 0 {
		return everything
	}
	total := float64(t.passed) * t.growth() / demand
	if total >= 1 {
		return everything
	}
	return divide(total, t.demand)
}

// growth returns how many requests are to be admitted for each attempt that passed the
// servers.
func (t sums) growth() float64 {
	growth := maxGrowth
	if u := t.meanUtilization(); u > 0 {
		growth = min(growth, targetUtilization/u)
	}
	if r := t.rejectedShare(true); r > 0 {
		growth = min(growth, max(1+toleratedRejections, toleratedRejections/r))
	}
	return growth
}

// divide returns the shares of the priorities for an overall one: each gets its minimum, and
// what remains goes to the priorities in order.
func divide(total float64, demand [maxRanks]int) shares {
	s := shares{total: total}
	minimum := minShareOfRank * total
	left := 0.0
	for _, n := range demand {
		left += (total - minimum) * float64(n)
	}
	for rank, n := range demand {
		extra := 1 - minimum
		if n > 0 {
			extra = min(extra, left/float64(n))
			left -= extra * float64(n)
		} else if left <= 0 {
			extra = 0
		}
		s.ranks[rank] = minimum + extra
	}
	return s
}

// retryAfterFor returns the Retry-After of a rejected request. Requests rejected within a
// window take the servers the returned longest time to handle; the callers return
// spread over it.
func retryAfterFor(share, random float64) time.Duration {
	longest := maxRetryAfter
	if share > 0 {
		longest = min(time.Duration(float64(windowLength)*(1-share)/share), maxRetryAfter)
	}
	longest = max(longest, time.Second)
	return minRetryAfter + time.Duration(random*float64(longest-minRetryAfter))
}
