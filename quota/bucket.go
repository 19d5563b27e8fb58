package quota

import (
	"time"

	"foxtailspoke/config"
)

// Bucket identifies what a limit applies to: one workspace's use of one
// service.
type Bucket struct {
	Workspace string
	Service   string
}

// grant is a Grant with the period on the local clock in which it is active.
type grant struct {
	Grant
	from time.Duration
	// end is when a revoked grant stops being usable.
	end time.Duration
	// revoked reports whether this instance has lost the parts and end is set.
	revoked bool
}

func (g grant) active(at time.Duration) bool {
	return g.from <= at && (!g.revoked || at < g.end)
}

// outstandingTransfer is a transfer that this instance gave and that the asker
// may still use.
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
	// updatedAt is the time up to which level is computed.
	updatedAt time.Duration
	// lastUsed is the time of the last Take or HandleAsk.
	lastUsed time.Duration
	// nextRebalance is the earliest time of the next Rebalance ask.
	nextRebalance time.Duration
	outstanding   []outstandingTransfer
	// latestRetryAt is the latest retry time given to an asker that got too
	// little. deferrals is the number of askers deferred since the last time
	// at which no such retry time was pending.
	latestRetryAt time.Duration
	deferrals     int
}

// activeParts returns the total parts of the grants active at a time.
func activeParts(grants []grant, at time.Duration) int {
	parts := 0
	for _, g := range grants {
		if g.active(at) {
			parts += g.Parts
		}
	}
	return parts
}

// partsActiveAtBoth returns the total parts of the grants active at both
// times.
func partsActiveAtBoth(grants []grant, first, second time.Duration) int {
	parts := 0
	for _, g := range grants {
		if g.active(first) && g.active(second) {
			parts += g.Parts
		}
	}
	return parts
}

// advance updates the level to now. It stops at every time at which a grant
// becomes active or ends or an outstanding transfer expires: a bucket that was
// full until then must not gain retroactively with the larger capacity.
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

// nextCapacityChange returns the earliest change of the capacity after
// b.updatedAt, or now.
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

// scaleToParts removes the lost parts' share of the level. Otherwise tokens
// could be counted twice: an instance that was frozen refills for the whole
// time at once, during which another holder refilled the same parts as well.
func (b *bucket) scaleToParts(before, after int) {
	if after < before {
		b.level = b.level / Amount(before) * Amount(after)
	}
}

// clampToCapacity limits the level to the capacity not occupied by outstanding
// transfers.
func (b *bucket) clampToCapacity(at time.Duration, parts int) {
	b.level = max(0, min(b.level, capacity(b.limit, parts)-b.outstandingAmount(at)))
}

// outstandingAmount returns the tokens given away that may still be used. They
// keep occupying capacity here: otherwise the giver could refill while the
// asker spends the transferred burst, and the fleet would admit the burst
// twice.
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

// setLimit applies a changed limit. A higher limit adds no tokens at once; a
// lower one removes what exceeds the new capacity.
func (b *bucket) setLimit(l config.Limit, at time.Duration, parts int) {
	if b.limit == l {
		return
	}
	b.limit = l
	b.clampToCapacity(at, parts)
}
