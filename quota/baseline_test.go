package quota

import (
	"time"

	"foxtailspoke/config"
)

const (
	// peerTime and tableTime are round trips.
	peerTime  = 3 * time.Millisecond
	tableTime = 10 * time.Millisecond
	// listLag is how long the platform's list takes to show an end.
	listLag = 10 * time.Second
)

// scheme is one way of counting a limit over a fleet of instances.
type scheme interface {
	// request asks for one token at an instance.
	request(now time.Duration, instance int) bool
	// kill ends an instance; requests don't come there any more.
	kill(now time.Duration, instance int)
	// setTableUnreachable makes the table unreachable, or reachable again.
	setTableUnreachable(away bool)
	// cost returns the table operations and the messages so far.
	cost() (operations, messages int)
}

// tokenBucket is a token bucket in floating point, for the baselines.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

func (l *tokenBucket) take(now time.Duration, rate, burst, n float64) bool {
	l.tokens = min(burst, l.tokens+rate*max(0, now-l.at).Seconds())
	l.at = max(l.at, now)
	if l.tokens < n {
		return false
	}
	l.tokens -= n
	return true
}

// schemeBase is what all schemes know of the world.
type schemeBase struct {
	limit    config.Limit
	live     []bool
	away     bool
	ops      int
	messages int
}

func newCommon(l config.Limit, instances int) schemeBase {
	live := make([]bool, instances)
	for i := range live {
		live[i] = true
	}
	return schemeBase{limit: l, live: live}
}

func (c *schemeBase) kill(_ time.Duration, i int)   { c.live[i] = false }
func (c *schemeBase) setTableUnreachable(away bool) { c.away = away }
func (c *schemeBase) cost() (int, int)              { return c.ops, c.messages }

// equalSplit gives each instance on the list the same share. The list shows
// an end after its lag; then the others' shares grow.
type equalSplit struct {
	schemeBase
	buckets  []tokenBucket
	count    int
	shrinkAt time.Duration
}

func newEqualSplit(l config.Limit, instances int) scheme {
	s := &equalSplit{schemeBase: newCommon(l, instances), buckets: make([]tokenBucket, instances), count: instances}
	for i := range s.buckets {
		s.buckets[i].tokens = l.Burst / float64(instances)
	}
	return s
}

func (s *equalSplit) kill(now time.Duration, i int) {
	s.schemeBase.kill(now, i)
	s.shrinkAt = now + listLag
}

func (s *equalSplit) request(now time.Duration, i int) bool {
	if s.shrinkAt != 0 && now >= s.shrinkAt && !s.away {
		s.count--
		s.shrinkAt = 0
	}
	n := float64(s.count)
	return s.buckets[i].take(now, s.limit.Rate/n, s.limit.Burst/n, 1)
}

// tableCounter keeps the one bucket in the table: a conditional write per
// request. Writes of the row that overlap conflict, and are tried again.
type tableCounter struct {
	schemeBase
	bucket tokenBucket
	free   time.Duration // when the row's last write has ended
}

func newTableCounter(l config.Limit, instances int) scheme {
	return &tableCounter{schemeBase: newCommon(l, instances), bucket: tokenBucket{tokens: l.Burst}}
}

func (s *tableCounter) request(now time.Duration, _ int) bool {
	const maxTries = 5
	if s.away {
		return false
	}
	// Whoever overlaps n others succeeds with its n-th try at best.
	waiting := int(max(0, s.free-now) / tableTime)
	s.ops += 1 + min(waiting, maxTries)
	if waiting >= maxTries {
		return false
	}
	s.free = max(now, s.free) + tableTime
	return s.bucket.take(s.free, s.limit.Rate, s.limit.Burst, 1)
}

// tableLease lets an instance take some tokens from the table's bucket for a
// term; what isn't used by its end is lost.
type tableLease struct {
	schemeBase
	bucket tokenBucket
	held   []float64
	until  []time.Duration
}

func newTableLease(l config.Limit, instances int) scheme {
	return &tableLease{
		schemeBase: newCommon(l, instances),
		bucket:     tokenBucket{tokens: l.Burst},
		held:       make([]float64, instances),
		until:      make([]time.Duration, instances),
	}
}

func (s *tableLease) request(now time.Duration, i int) bool {
	const term = time.Second
	if now >= s.until[i] {
		s.held[i] = 0
	}
	if s.held[i] < 1 && !s.away {
		s.ops++
		for _, batch := range []float64{max(1, float64(int(s.limit.Burst/8))), 1} {
			if s.bucket.take(now, s.limit.Rate, s.limit.Burst, batch) {
				s.held[i] += batch
				s.until[i] = now + term
				break
			}
		}
	}
	if s.held[i] < 1 {
		return false
	}
	s.held[i]--
	return true
}
