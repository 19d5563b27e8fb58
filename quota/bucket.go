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
	// lost tells that end is set.
	lost bool
}

func (g grant) active(at time.Duration) bool {
	return g.from <= at && (!g.lost || at < g.end)
}

// gift is a transfer that this instance gave and that may still be used.
type gift struct {
	to     string
	ask    uint64
	amount Amount
	until  time.Duration
}

// bucket is this instance's share of one workspace's limit for a service.
type bucket struct {
	limit config.Limit
	level Amount
	// at is the time up to which level was brought forward.
	at time.Duration
	// used is the time of the last Take or Give.
	used time.Duration
	// calm is the time until which no tokens are asked for ahead of need.
	calm  time.Duration
	gifts []gift
	// promised is the latest time named to an asker that got too little, and
	// putOffs how many askers were put off since there was none.
	promised time.Duration
	putOffs  int
}

// active returns the parts that count at a time.
func active(grants []grant, at time.Duration) int {
	parts := 0
	for _, g := range grants {
		if g.active(at) {
			parts += g.Parts
		}
	}
	return parts
}

// kept returns the parts that count at both times.
func kept(grants []grant, first, second time.Duration) int {
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
	for b.at < now {
		next := b.nextStep(now, grants)
		parts := active(grants, b.at)
		b.level += refill(b.limit, parts, next-b.at, drift)
		b.clamp(b.at, parts)
		b.lose(parts, kept(grants, b.at, next))
		b.at = next
		b.dropGifts(next)
	}
}

// nextStep returns the earliest change of the capacity after b.at, or now.
func (b *bucket) nextStep(now time.Duration, grants []grant) time.Duration {
	next := now
	for _, g := range grants {
		if g.from > b.at {
			next = min(next, g.from)
		}
		if g.lost && g.end > b.at {
			next = min(next, g.end)
		}
	}
	for _, g := range b.gifts {
		if g.until > b.at {
			next = min(next, g.until)
		}
	}
	return next
}

// lose takes the share of lost parts. Kept, their tokens could have come from
// a refill of parts that another holder refilled as well: an instance that
// was frozen counts a long time at once.
func (b *bucket) lose(before, after int) {
	if after < before {
		b.level = b.level / Amount(before) * Amount(after)
	}
}

// clamp takes what is above the capacity that gifts leave.
func (b *bucket) clamp(at time.Duration, parts int) {
	b.level = max(0, min(b.level, capacity(b.limit, parts)-b.given(at)))
}

// given returns the tokens that were given and may still be used: they keep
// their place in the capacity.
//
// Without it a burst that was handed on would be spent by the asker while
// the giver fills up again, and the fleet would admit the burst twice.
func (b *bucket) given(at time.Duration) Amount {
	var sum Amount
	for _, g := range b.gifts {
		if g.until > at {
			sum += g.amount
		}
	}
	return sum
}

func (b *bucket) dropGifts(at time.Duration) {
	kept := b.gifts[:0]
	for _, g := range b.gifts {
		if g.until > at {
			kept = append(kept, g)
		}
	}
	b.gifts = kept
}

// setLimit takes a changed limit over. A higher one adds no tokens at once,
// a lower one takes what doesn't fit any more.
func (b *bucket) setLimit(l config.Limit, at time.Duration, parts int) {
	if b.limit == l {
		return
	}
	b.limit = l
	b.clamp(at, parts)
}
