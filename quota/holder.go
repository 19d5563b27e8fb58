package quota

import (
	"maps"
	"slices"
	"time"

	"foxtailspoke/config"
)

// Decision is the result of Take.
type Decision struct {
	Admitted bool
	// Missing is the amount that this instance lacks. Other holders may have
	// it.
	Missing Amount
	// RetryAfter is the time until the tokens are available if nobody else
	// uses them, or 0 if they never will be.
	RetryAfter time.Duration
}

// Holder manages one instance's tokens: its local buckets of the shards that
// it holds parts of, and the tokens received from other holders.
//
// Take and HandleAsk must only be called while the instance's configuration is
// fresh (package membership), and with the limits of that configuration.
type Holder struct {
	self     string
	settings Settings
	shards   map[string]*shard
	// shardCount is the number of shards for ShardOf.
	shardCount int

	// asks are ordered by ID.
	asks              []*pendingAsk
	lastAskID         uint64
	unsentSettlements []Settlement
	// targetRotation counts the calls of AskTargets, to vary the first target.
	targetRotation int
	// shortages has the holders that reported too few tokens, by bucket and
	// instance.
	shortages map[Bucket]map[string]shortage
}

// shard is this instance's share of one shard.
type shard struct {
	grants  []grant
	buckets map[Bucket]*bucket
	// evictedLastUse is the latest use of an evicted bucket. An unknown bucket
	// may be one of these, so it counts as empty at that time.
	evictedLastUse time.Duration
	// hasEvicted reports whether evictedLastUse is set.
	hasEvicted bool
}

// NewHolder returns a Holder without grants. The number of shards must be the
// same on all instances.
func NewHolder(self string, shards int, s Settings) *Holder {
	return &Holder{
		self:       self,
		settings:   s,
		shards:     map[string]*shard{},
		shardCount: shards,
		shortages:  map[Bucket]map[string]shortage{},
	}
}

// SetGrants replaces the entries of a shard's row that this instance may use.
// Call it as soon as the instance learns a new row, and when an entry's write
// takes effect.
//
// A new entry starts empty, and only after the time in which tokens given by
// the former holders may still be used. An entry of the shard's first row starts
// full and at once: it has no former holders. If parts are removed, their share
// of the tokens is removed too.
func (h *Holder) SetGrants(now time.Duration, name string, grants []Grant) {
	h.SetGrantsWithGrace(now, name, grants, now)
}

// SetGrantsWithGrace is SetGrants for a new row, with a grace period for the
// parts that the row takes away: they may be used until the given time, at
// which the instance stops being fresh by the previous row. Nobody else uses
// them before that, because the new row takes effect later still. Without the
// grace period these parts would be unused in between.
func (h *Holder) SetGrantsWithGrace(now time.Duration, name string, grants []Grant, until time.Duration) {
	s := h.shards[name]
	if s == nil {
		if len(grants) == 0 {
			return
		}
		s = &shard{buckets: map[Bucket]*bucket{}}
		h.shards[name] = s
	}
	next := s.mergeGrants(grants, now, h.settings.settleTime())
	next = append(next, s.revokedGrants(now, grants, until)...)
	s.setGrants(now, next, h.settings.Drift)
	if len(next) == 0 {
		delete(h.shards, name)
	}
}

// mergeGrants returns the new grants. Those known before keep their times and
// never gain parts.
func (s *shard) mergeGrants(grants []Grant, now, settleTime time.Duration) []grant {
	var next []grant
	for _, g := range grants {
		known, ok := s.findGrant(g.Since)
		if !ok {
			from := now
			if g.Since != firstRow {
				from += settleTime
			}
			next = append(next, grant{Grant: g, from: from})
			continue
		}
		known.Parts = min(known.Parts, g.Parts)
		next = append(next, known)
	}
	return next
}

// findGrant returns the existing unrevoked grant of an entry.
func (s *shard) findGrant(since uint64) (grant, bool) {
	for _, g := range s.grants {
		if g.Since == since && !g.revoked {
			return g, true
		}
	}
	return grant{}, false
}

// revokedGrants returns the revoked grants that are still active, and the
// parts that the new grants lack.
func (s *shard) revokedGrants(now time.Duration, grants []Grant, until time.Duration) []grant {
	var revoked []grant
	for _, g := range s.grants {
		if g.revoked {
			revoked = append(revoked, g)
			continue
		}
		i := slices.IndexFunc(grants, func(n Grant) bool { return n.Since == g.Since })
		if i >= 0 {
			g.Parts -= min(g.Parts, grants[i].Parts)
		}
		g.revoked, g.end = true, until
		revoked = append(revoked, g)
	}
	return slices.DeleteFunc(revoked, func(g grant) bool { return g.end <= now || g.Parts == 0 })
}

// setGrants replaces the grants and adjusts the buckets to the change of
// capacity.
func (s *shard) setGrants(now time.Duration, next []grant, drift float64) {
	before := activeParts(s.grants, now)
	after := activeParts(next, now)
	for _, b := range s.buckets {
		b.advance(now, s.grants, drift)
		b.scaleToParts(before, after)
		b.clampToCapacity(now, after)
	}
	s.grants = next
}

// Take takes n tokens for a request if this instance has them: first those
// received from other holders, which expire soon, then its own.
func (h *Holder) Take(now time.Duration, b Bucket, l config.Limit, n Amount) Decision {
	h.expireAsks(now)
	received := h.receivedAmount(b)
	own, parts := h.bucket(now, b, l)
	available := received
	if own != nil {
		available += own.level
	}
	if available < n {
		return h.refusal(l, parts, n, n-available)
	}
	rest := n - h.spendReceived(b, min(n, received))
	if own != nil {
		own.level -= rest
		own.lastUsed = now
	}
	return Decision{Admitted: true}
}

// refusal returns a negative Decision with an estimate of when the missing
// tokens will be available. If the local share can never store that many, the
// estimate uses the refill of all parts.
func (h *Holder) refusal(l config.Limit, parts int, n, missing Amount) Decision {
	d := Decision{Missing: missing}
	switch {
	case Tokens(l.Burst) < n:
		return d
	case capacity(l, parts) < n:
		parts = config.PartsPerShard
	}
	d.RetryAfter = timeToRefill(l, parts, missing, h.settings.Drift)
	return d
}

// bucket returns the local share of a bucket, updated to now, and its active
// parts. It returns nil if there are none.
func (h *Holder) bucket(now time.Duration, b Bucket, l config.Limit) (*bucket, int) {
	s := h.shards[ShardOf(b.Workspace, h.shardCount)]
	if s == nil {
		return nil, 0
	}
	parts := activeParts(s.grants, now)
	if parts == 0 {
		return nil, 0
	}
	own := s.buckets[b]
	if own == nil {
		own = s.newBucket(l)
		s.buckets[b] = own
	}
	own.advance(now, s.grants, h.settings.Drift)
	own.setLimit(l, now, parts)
	return own, parts
}

// newBucket returns a bucket that had the tokens of the first row's parts when
// the first grant became active, or was empty at the last use of any evicted
// bucket if that is later.
func (s *shard) newBucket(l config.Limit) *bucket {
	start, unused := s.grants[0].from, 0
	for _, g := range s.grants {
		start = min(start, g.from)
		if g.Since == firstRow {
			unused += g.Parts
		}
	}
	level := capacity(l, unused)
	if s.hasEvicted {
		start, level = max(start, s.evictedLastUse), 0
	}
	return &bucket{limit: l, level: level, updatedAt: start, lastUsed: start}
}

// EvictIdle removes the buckets that would be full by now even if their last
// use had emptied them. Call it about once a minute. It bounds the memory by
// the number of buckets in use.
func (h *Holder) EvictIdle(now time.Duration) {
	h.expireAsks(now)
	for name, s := range h.shards {
		s.evictIdle(now, h.settings)
		ended := func(g grant) bool { return g.revoked && g.end <= now }
		s.setGrants(now, slices.DeleteFunc(slices.Clone(s.grants), ended), h.settings.Drift)
		if len(s.grants) == 0 {
			delete(h.shards, name)
		}
	}
	for b, known := range h.shortages {
		maps.DeleteFunc(known, func(_ string, s shortage) bool { return s.until <= now })
		if len(known) == 0 {
			delete(h.shortages, b)
		}
	}
}

func (s *shard) evictIdle(now time.Duration, settings Settings) {
	parts := activeParts(s.grants, now)
	for key, b := range s.buckets {
		b.advance(now, s.grants, settings.Drift)
		idle := now - b.lastUsed
		full := refill(b.limit, parts, idle, settings.Drift) >= capacity(b.limit, parts)
		if idle < settings.IdleTime || !full || len(b.outstanding) > 0 {
			continue
		}
		if !s.hasEvicted || b.lastUsed > s.evictedLastUse {
			s.evictedLastUse, s.hasEvicted = b.lastUsed, true
		}
		delete(s.buckets, key)
	}
}

// Available returns the tokens that this instance has for a bucket now.
func (h *Holder) Available(now time.Duration, b Bucket, l config.Limit) Amount {
	level := h.receivedAmount(b)
	if own, _ := h.bucket(now, b, l); own != nil {
		level += own.level
	}
	return level
}

// BucketCount returns the number of buckets in memory, for metrics.
func (h *Holder) BucketCount() int {
	n := 0
	for _, s := range h.shards {
		n += len(s.buckets)
	}
	return n
}
