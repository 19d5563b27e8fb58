package usage

import (
	"math"
	"time"
)

const (
	// reserveHorizon is the time for which tokens are reserved for more urgent requests. It must
	// exceed the delay of reports, some tens of milliseconds, by far: within it the copies of a
	// bucket differ.
	reserveHorizon = 500 * time.Millisecond
	// maxReservedShare bounds the reserve of a small burst, as a share of what the bucket holds beside
	// the token of the request. A bucket that is kept full would lose the tokens that it can't hold.
	maxReservedShare = 0.5
	// recoveredShare is the part of its burst with which a workspace no longer exceeds its rate. It
	// must be above the largest reserve, at which the bucket stays while the rate isn't enough for the
	// least urgent requests.
	recoveredShare = 0.75
	// guaranteedShare is the part of its proportional share of the rate that each rank gets at
	// least: a quarter, and a fifth more for errors of the estimated demand.
	guaranteedShare = 0.3
	// maxCredit bounds the guaranteed tokens that a rank may accumulate while the bucket is empty.
	maxCredit = 2
)

// maxReserve returns the most tokens that are reserved for any rank.
func (c *Counters) maxReserve(b *Bucket) float64 {
	inHorizon := b.limit.Rate * c.RateShare * reserveHorizon.Seconds()
	return math.Min(inHorizon, maxReservedShare*math.Max(b.limit.Burst*c.RateShare-1, 0))
}

// updateExceeding decides whether a workspace exceeds its rate. The bucket tells it without an error; a
// count of requests over some seconds would also be near the rate by chance at low rates.
func (c *Counters) updateExceeding(b *Bucket) {
	available := b.tokens - b.heldBack
	switch {
	case available < 1:
		b.exceeding = true
	case available >= math.Max(recoveredShare*b.limit.Burst*c.RateShare, 1):
		b.exceeding = false
	}
}

// reserved returns the tokens that a request of a rank leaves to more urgent ones: an equal part of
// the largest reserve for each more urgent rank in use. Parts that follow the estimated demand of each
// rank would differ between instances, and those with the lowest estimate would take almost all tokens
// of the rank for which the rate isn't enough.
func (c *Counters) reserved(b *Bucket, rank int, now time.Duration) float64 {
	if c.DisableReserve || !b.exceeding {
		return 0
	}
	all, before := b.demand.ranksInUse(rank, now)
	if before == 0 {
		return 0
	}
	return c.maxReserve(b) * float64(before) / float64(max(all-1, before, 2))
}

// Reserved returns the tokens that a request of a rank currently has to leave to more urgent
// requests of the same workspace.
func (c *Counters) Reserved(workspace uint32, rank int, now time.Duration) float64 {
	b := c.bucket(workspace)
	if b.limit.Rate <= 0 || b.demand == nil {
		return 0
	}
	c.refill(b, now)
	c.updateExceeding(b)
	return c.reserved(b, clampRank(rank), now)
}

// MaxReserved returns the tokens that the least urgent requests of a workspace currently have to
// leave to others.
func (c *Counters) MaxReserved(workspace uint32, now time.Duration) float64 {
	b := c.bucket(workspace)
	if b.demand == nil {
		return 0
	}
	least := 0
	for i, at := range b.demand.seenAt {
		if at > 0 && now-at < rankMemory {
			least = i
		}
	}
	return c.Reserved(workspace, least, now)
}

// admit decides on a request and updates the guaranteed minimum of its rank.
func (c *Counters) admit(b *Bucket, rank int, now time.Duration) (ok bool, wait time.Duration) {
	c.updateExceeding(b)
	reserved, available := c.reserved(b, rank, now), b.tokens-b.heldBack
	if reserved == 0 && available >= 1 {
		return true, 0
	}
	f := c.estimate(b, rank, now)
	credit := &b.demand.credit[rank]
	if reserved > 0 {
		*credit = math.Min(*credit+guaranteedShare*f.servedShare(), maxCredit)
	}
	if available < 1 || (available < 1+reserved && *credit < 1) {
		b.demand.refused.add(1, now)
		return false, c.retryAfter(b, rank, f, reserved, now)
	}
	*credit = math.Max(*credit-1, 0)
	return true, 0
}

func clampRank(rank int) int { return min(max(rank, 0), ranks-1) }
