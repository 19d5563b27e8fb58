package quota

import (
	"maps"
	"slices"
	"time"

	"foxtailspoke/config"
)

// Decision is what one instance can say about a request's tokens.
type Decision struct {
	Admitted bool
	// Missing is what lacks here. Other holders may have it.
	Missing Amount
	// RetryAfter is when the tokens will be there if nobody else uses them;
	// 0 if they never will be.
	RetryAfter time.Duration
}

// Holder has one instance's tokens: its own buckets of the shards that it
// holds parts of, and what other holders gave it.
//
// Take and Give must only be called while the instance's configuration is
// fresh (package membership), and with the limits of that configuration.
type Holder struct {
	self     string
	settings Settings
	shards   map[string]*shard
	// shardCount is given to ShardOf.
	shardCount int

	// asks are ordered by id.
	asks    []*pendingAsk
	lastAskID uint64
	// unsentSettlements has the settlements to send.
	unsentSettlements []Settlement
	// targetRotation counts the calls of Peers.
	targetRotation int
	// shortages has the holders that have too little to give.
	shortages map[Bucket]map[string]shortage
}

// shard is what this instance holds of one shard.
type shard struct {
	grants  []grant
	buckets map[Bucket]*bucket
	// evictedLastUse is the latest use of a bucket that was forgotten. An unknown
	// bucket may be one of these and counts as empty at that time.
	evictedLastUse time.Duration
	// hasEvicted tells that lost is set.
	hasEvicted bool
}

// NewHolder returns the tokens of an instance that holds nothing yet. The
// number of shards must be the same on all instances.
func NewHolder(self string, shards int, s Settings) *Holder {
	return &Holder{
		self:       self,
		settings:   s,
		shards:     map[string]*shard{},
		shardCount: shards,
		shortages:      map[Bucket]map[string]shortage{},
	}
}

// SetGrants replaces the entries of a shard's row that this instance may
// use. To be called whenever the instance learns another row, at once, and
// when an entry's write has come in force.
//
// A new entry starts empty, and only after the time in which tokens that
// the former holders gave may still be used. Fewer parts take their share
// of the tokens along.
func (h *Holder) SetGrants(now time.Duration, name string, grants []Grant) {
	h.SetGrantsWithGrace(now, name, grants, now)
}

// SetGrantsWithGrace is SetGrants for a new row, where the parts that it takes
// away may be used for a little longer: until the end of the time for which
// the instance was fresh by the row before. Nobody else uses them before that,
// because the new row comes in force later still, and stopping at once would
// leave these parts unused in between.
func (h *Holder) SetGrantsWithGrace(now time.Duration, name string, grants []Grant, until time.Duration) {
	s := h.shards[name]
	if s == nil {
		if len(grants) == 0 {
			return
		}
		s = &shard{buckets: map[Bucket]*bucket{}}
		h.shards[name] = s
	}
	next := s.mergeGrants(grants, now+h.settings.settleTime())
	next = append(next, s.revokedGrants(now, grants, until)...)
	s.setGrants(now, next, h.settings.Drift)
	if len(next) == 0 {
		delete(h.shards, name)
	}
}

// mergeGrants returns the new grants; those known before keep their times and
// never gain parts.
func (s *shard) mergeGrants(grants []Grant, from time.Duration) []grant {
	var next []grant
	for _, g := range grants {
		known, ok := s.findGrant(g.Since)
		if !ok {
			next = append(next, grant{Grant: g, from: from})
			continue
		}
		known.Parts = min(known.Parts, g.Parts)
		next = append(next, known)
	}
	return next
}

// findGrant returns the grant of an entry as it was before.
func (s *shard) findGrant(since uint64) (grant, bool) {
	for _, g := range s.grants {
		if g.Since == since && !g.revoked {
			return g, true
		}
	}
	return grant{}, false
}

// revokedGrants returns what was lost before and still counts, and what the new
// grants lack.
func (s *shard) revokedGrants(now time.Duration, grants []Grant, until time.Duration) []grant {
	var lost []grant
	for _, g := range s.grants {
		if g.revoked {
			lost = append(lost, g)
			continue
		}
		i := slices.IndexFunc(grants, func(n Grant) bool { return n.Since == g.Since })
		if i >= 0 {
			g.Parts -= min(g.Parts, grants[i].Parts)
		}
		g.revoked, g.end = true, until
		lost = append(lost, g)
	}
	return slices.DeleteFunc(lost, func(g grant) bool { return g.end <= now || g.Parts == 0 })
}

// setGrants puts new grants in place.
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
// that other holders gave, which run out soon, then its own.
func (h *Holder) Take(now time.Duration, b Bucket, l config.Limit, n Amount) Decision {
	h.expireAsks(now)
	received := h.receivedAmount(b)
	own, parts := h.bucket(now, b, l)
	has := received
	if own != nil {
		has += own.level
	}
	if has < n {
		return h.refusal(l, parts, n, n-has)
	}
	rest := n - h.spendReceived(b, min(n, received))
	if own != nil {
		own.level -= rest
		own.lastUsed = now
	}
	return Decision{Admitted: true}
}

// refusal estimates when the missing tokens will be there. A holder whose own
// share can never store as much has to wait for the others as well.
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

// bucket returns the own share of a bucket at a time with the parts that
// count, or nil if there is none.
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

// newBucket returns a bucket that was empty when the first grant began to
// count, or when it may last have been used before it was forgotten.
func (s *shard) newBucket(l config.Limit) *bucket {
	start := s.grants[0].from
	for _, g := range s.grants {
		start = min(start, g.from)
	}
	if s.hasEvicted {
		start = max(start, s.evictedLastUse)
	}
	return &bucket{limit: l, updatedAt: start, lastUsed: start}
}

// EvictIdle drops the buckets that would be full by now even if their last use
// had emptied them, to be called about once a minute. It bounds the memory
// by the buckets in use.
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

// BucketCount returns how many buckets are kept, for metrics.
func (h *Holder) BucketCount() int {
	n := 0
	for _, s := range h.shards {
		n += len(s.buckets)
	}
	return n
}
