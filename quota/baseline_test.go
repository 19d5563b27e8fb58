package quota

import (
	"time"

	"foxtailspoke/config"
)

const (
	// peerTime and tableTime are round-trip times.
	peerTime  = 3 * time.Millisecond
	tableTime = 10 * time.Millisecond
	// listLag is the delay until the platform's list shows that an instance
	// has ended.
	listLag = 10 * time.Second
)

// scheme is a way of enforcing a limit over a fleet of instances.
type scheme interface {
	// request requests one token at an instance and reports whether it is
	// admitted.
	request(now time.Duration, instance int) bool
	// kill ends an instance. It gets no more requests.
	kill(now time.Duration, instance int)
	// setTableUnreachable sets whether the table is unreachable.
	setTableUnreachable(unreachable bool)
	// cost returns the number of table operations and messages so far.
	cost() (operations, messages int)
}

// tokenBucket is a floating-point token bucket for the baselines.
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

// schemeBase is the state common to all schemes.
type schemeBase struct {
	limit            config.Limit
	live             []bool
	tableUnreachable bool
	ops              int
	messages         int
}

func newSchemeBase(l config.Limit, instances int) schemeBase {
	live := make([]bool, instances)
	for i := range live {
		live[i] = true
	}
	return schemeBase{limit: l, live: live}
}

func (c *schemeBase) kill(_ time.Duration, i int)          { c.live[i] = false }
func (c *schemeBase) setTableUnreachable(unreachable bool) { c.tableUnreachable = unreachable }
func (c *schemeBase) cost() (int, int)                     { return c.ops, c.messages }

// equalSplit gives each instance on the platform's list the same share. When
// an instance ends, the others' shares grow once the list shows it.
type equalSplit struct {
	schemeBase
	buckets  []tokenBucket
	count    int
	shrinkAt time.Duration
}

func newEqualSplit(l config.Limit, instances int) scheme {
	s := &equalSplit{schemeBase: newSchemeBase(l, instances), buckets: make([]tokenBucket, instances), count: instances}
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
	if s.shrinkAt != 0 && now >= s.shrinkAt && !s.tableUnreachable {
		s.count--
		s.shrinkAt = 0
	}
	n := float64(s.count)
	return s.buckets[i].take(now, s.limit.Rate/n, s.limit.Burst/n, 1)
}

// tableCounter keeps a single bucket in the table, with a conditional write
// per request. Overlapping writes of the row conflict and are retried.
type tableCounter struct {
	schemeBase
	bucket       tokenBucket
	lastWriteEnd time.Duration // when the row's last write ends
}

func newTableCounter(l config.Limit, instances int) scheme {
	return &tableCounter{schemeBase: newSchemeBase(l, instances), bucket: tokenBucket{tokens: l.Burst}}
}

func (s *tableCounter) request(now time.Duration, _ int) bool {
	const maxTries = 5
	if s.tableUnreachable {
		return false
	}
	// A writer that overlaps n others succeeds with its n-th retry at the
	// earliest.
	waiting := int(max(0, s.lastWriteEnd-now) / tableTime)
	s.ops += 1 + min(waiting, maxTries)
	if waiting >= maxTries {
		return false
	}
	s.lastWriteEnd = max(now, s.lastWriteEnd) + tableTime
	return s.bucket.take(s.lastWriteEnd, s.limit.Rate, s.limit.Burst, 1)
}

// tableLease leases some tokens from the table's bucket to an instance for a
// term. Tokens unused at its end are lost.
type tableLease struct {
	schemeBase
	bucket tokenBucket
	held   []float64
	until  []time.Duration
}

func newTableLease(l config.Limit, instances int) scheme {
	return &tableLease{
		schemeBase: newSchemeBase(l, instances),
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
	if s.held[i] < 1 && !s.tableUnreachable {
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
