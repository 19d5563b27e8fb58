package usage

import (
	"math"
	"time"
)

// adoptionWindow is the time after the start of a bucket in which the content of another instance's
// copy is adopted. An instance asks others 0.25 s after its start, and again 0.5 s later if one fails.
const adoptionWindow = 2 * time.Second

// Levels returns the contents of the buckets that aren't full, for instances that have just started.
// It leaves out those that are new here, too.
func (c *Counters) Levels(now time.Duration) map[uint32]float64 {
	levels := make(map[uint32]float64)
	for workspace, b := range c.buckets {
		if b.limit.Rate <= 0 || (!b.adopted && now-b.limitedAt < adoptionWindow) {
			continue
		}
		c.refill(b, now)
		if level := b.tokens - b.heldBack; level < b.limit.Burst*c.RateShare {
			levels[workspace] = level
		}
	}
	return levels
}

// Spent holds by workspace how many tokens this instance's copies were charged for since its start.
type Spent map[uint32]uint64

// Spent returns what the copies were charged for until now.
func (c *Counters) Spent() Spent {
	spent := make(Spent, len(c.buckets))
	for workspace, b := range c.buckets {
		spent[workspace] = b.admitted + b.charged
	}
	return spent
}

// Adopt replaces the contents of new buckets by those of an instance that has run longer. All copies
// are refilled and charged equally, so a difference between them lasts for as long as the workspace
// exceeds its rate, and the instances with the lower copies refuse almost all of its requests. The
// copies of instances that ran on were refilled while the others were down; new ones hold initial
// tokens instead, which they no longer need.
//
// before is what this instance's copies were charged for when it asked for the levels. What was charged
// since then is taken off, as the levels may not include it. Adopt returns the number of replaced
// contents.
func (c *Counters) Adopt(levels map[uint32]float64, before Spent, now time.Duration) (count int) {
	for workspace, level := range levels {
		b, ok := c.buckets[workspace]
		if !ok || b.limit.Rate <= 0 || b.adopted || now-b.limitedAt >= adoptionWindow {
			continue
		}
		c.refill(b, now)
		capacity := math.Max(b.limit.Burst*c.RateShare, 1)
		since := b.admitted + b.charged - before[workspace]
		b.tokens = math.Min(level, capacity) + b.heldBack - float64(since)
		b.granted, b.adopted = 1, true
		count++
	}
	return count
}
