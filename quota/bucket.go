package quota

import (
	"time"

	"foxtailspoke/config"
)

// Bucket names what a limit counts: one workspace's use of one service.
type Bucket struct {
	Workspace string
	Service   string
}

// grant is a Grant with the times on the own clock between which it counts.
type grant struct {
	Grant
	from time.Duration
	// end is set for parts that this instance has lost, but may use until
	// then.
	end time.Duration
	// revoked tells that end is set.
	revoked bool
}

func (g grant) active(at time.Duration) bool {
	return g.from <= at && (!g.revoked || at < g.end)
}

// outstandingTransfer is a transfer that this instance gave and that may still be used.
type outstandingTransfer struct {
	to     string
	ask    uint64
	amount Amount
	until  time.Duration
}

// bucket is this instance's share of one workspace's limit for a service.
type bucket struct {
	limit config.Limit
	level Amount
	// updatedAt is the time up to which level was brought forward.
	updatedAt time.Duration
	// lastUsed is the time of the last Take or Give.
	lastUsed time.Duration
	// nextRebalance is the time until which no tokens are asked for ahead of need.
	nextRebalance  time.Duration
	outstanding []outstandingTransfer
	// latestRetryAt is the latest time named to an asker that got too little, and
	// putOffs how many askers were put off since there was none.
	latestRetryAt time.Duration
	deferrals  int
}

// activeParts returns the parts that count at a time.
func activeParts(grants []grant, at time.Duration) int {
	parts := 0
	for _, g := range grants {
		if g.active(at) {
			parts += g.Parts
		}
	}
	return parts
}

// partsActiveAtBoth returns the parts that count at both times.
func partsActiveAtBoth(grants []grant, first, second time.Duration) int {
	parts := 0
	for _, g := range grants {
		if g.active(first) && g.active(second) {
			parts += g.Parts
		}
	}
	return parts
}

// advance brings the level forward to now. It stops at every time at which
// a grant begins or ends to count or a gift ends: a bucket that was full until then
// must not gain afterwards for the time before.
func (b *bucket) advance(now time.Duration, grants []grant, drift float64) {
	for b.updatedAt < now {
		next := b.nextCapacityChange(now, grants)
		parts := activeParts(grants, b.updatedAt)
		b.level += refill(b.limit, parts, next-b.updatedAt, drift)
		b.clampToCapacity(b.updatedAt, parts)
		b.scaleToParts(parts, partsActiveAtBoth(grants, b.updatedAt, next))
		b.updatedAt = next
		b.expireOutstanding(next)
	}
}

// nextCapacityChange returns the earliest change of the capacity after b.at, or now.
func (b *bucket) nextCapacityChange(now time.Duration, grants []grant) time.Duration {
	next := now
	for _, g := range grants {
		if g.from > b.updatedAt {
			next = min(next, g.from)
		}
		if g.revoked && g.end > b.updatedAt {
			next = min(next, g.end)
		}
	}
	for _, g := range b.outstanding {
		if g.until > b.updatedAt {
			next = min(next, g.until)
		}
	}
	return next
}

// scaleToParts takes the share of lost parts. Kept, their tokens could have come from
// a refill of parts that another holder refilled as well: an instance that
// was frozen counts a long time at once.
func (b *bucket) scaleToParts(before, after int) {
	if after < before {
		b.level = b.level / Amount(before) * Amount(after)
	}
}

// clampToCapacity takes what is above the capacity that gifts leave.
func (b *bucket) clampToCapacity(at time.Duration, parts int) {
	b.level = max(0, min(b.level, capacity(b.limit, parts)-b.outstandingAmount(at)))
}

// outstandingAmount returns the tokens that were outstandingAmount and may still be used: they keep
// their place in the capacity.
//
// Without it a burst that was handed on would be spent by the asker while
// the giver fills up again, and the fleet would admit the burst twice.
func (b *bucket) outstandingAmount(at time.Duration) Amount {
	var sum Amount
	for _, g := range b.outstanding {
		if g.until > at {
			sum += g.amount
		}
	}
	return sum
}

func (b *bucket) expireOutstanding(at time.Duration) {
	kept := b.outstanding[:0]
	for _, g := range b.outstanding {
		if g.until > at {
			kept = append(kept, g)
		}
	}
	b.outstanding = kept
}

// setLimit takes a changed limit over. A higher one adds no tokens at once,
// a lower one takes what doesn't fit any more.
func (b *bucket) setLimit(l config.Limit, at time.Duration, parts int) {
	if b.limit == l {
		return
	}
	b.limit = l
	b.clampToCapacity(at, parts)
}
