package quota

import (
	"fmt"
	"slices"
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
	// setAway makes the table unreachable, or reachable again.
	setAway(away bool)
	// cost returns the table operations and the messages so far.
	cost() (operations, messages int)
}

// level is a token bucket in floating point, for the baselines.
type level struct {
	tokens float64
	at     time.Duration
}

func (l *level) take(now time.Duration, rate, burst, n float64) bool {
	l.tokens = min(burst, l.tokens+rate*max(0, now-l.at).Seconds())
	l.at = max(l.at, now)
	if l.tokens < n {
		return false
	}
	l.tokens -= n
	return true
}

// common is what all schemes know of the world.
type common struct {
	limit    config.Limit
	live     []bool
	away     bool
	ops      int
	messages int
}

func newCommon(l config.Limit, instances int) common {
	live := make([]bool, instances)
	for i := range live {
		live[i] = true
	}
	return common{limit: l, live: live}
}

func (c *common) kill(_ time.Duration, i int) { c.live[i] = false }
func (c *common) setAway(away bool)           { c.away = away }
func (c *common) cost() (int, int)            { return c.ops, c.messages }

// equalSplit gives each instance on the list the same share. The list shows
// an end after its lag; then the others' shares grow.
type equalSplit struct {
	common
	buckets  []level
	count    int
	shrinkAt time.Duration
}

func newEqualSplit(l config.Limit, instances int) scheme {
	s := &equalSplit{common: newCommon(l, instances), buckets: make([]level, instances), count: instances}
	for i := range s.buckets {
		s.buckets[i].tokens = l.Burst / float64(instances)
	}
	return s
}

func (s *equalSplit) kill(now time.Duration, i int) {
	s.common.kill(now, i)
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
	common
	bucket level
	free   time.Duration // when the row's last write has ended
}

func newTableCounter(l config.Limit, instances int) scheme {
	return &tableCounter{common: newCommon(l, instances), bucket: level{tokens: l.Burst}}
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
	common
	bucket level
	held   []float64
	until  []time.Duration
}

func newTableLease(l config.Limit, instances int) scheme {
	return &tableLease{
		common: newCommon(l, instances),
		bucket: level{tokens: l.Burst},
		held:   make([]float64, instances),
		until:  make([]time.Duration, instances),
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

// parts is the scheme of this package.
type parts struct {
	common
	holders int
	// asked is the row with the holders before, until the new one is granted.
	asked   config.Shard
	row     config.Shard
	nodes   []*Holder
	version uint64
	moveAt  time.Duration
	startAt time.Duration
	bucket  Bucket
}

func newParts(l config.Limit, instances int) scheme {
	return newPartsOf(l, instances, HolderCount([]config.Limit{l}, 8))
}

// newThreeHolders has a row made for larger bursts.
func newThreeHolders(l config.Limit, instances int) scheme { return newPartsOf(l, instances, 3) }

func newPartsOf(l config.Limit, instances, holders int) scheme {
	s := &parts{
		common:  newCommon(l, instances),
		holders: holders,
		bucket:  Bucket{Workspace: "w", Service: "s"},
	}
	for i := range instances {
		s.nodes = append(s.nodes, NewHolder(instanceID(i), 1, DefaultSettings()))
	}
	s.assign()
	s.grant(-time.Hour)
	return s
}

func instanceID(i int) string { return fmt.Sprintf("i%d", i) }

func (s *parts) assign() {
	var candidates []Candidate
	for i, live := range s.live {
		c := Candidate{ID: instanceID(i), DataCentre: fmt.Sprint(i % 3)}
		if !live {
			c.State = Unreachable
		}
		candidates = append(candidates, c)
	}
	s.version++
	s.ops++
	s.row, _ = Assign("0", s.row, candidates, s.holders, s.version)
}

// grant lets the holders know the row, which is in force.
func (s *parts) grant(now time.Duration) {
	for i, n := range s.nodes {
		n.SetGrants(now, "0", Grants(s.row, instanceID(i), func(uint64) bool { return true }))
	}
}

// kill has the parts moved: two seconds until the holder counts as
// unreachable, three and a little until the write is in force.
func (s *parts) kill(now time.Duration, i int) {
	s.common.kill(now, i)
	s.moveAt = now + 2*time.Second
}

// leave is a planned stop of a holder. It hears of the new row after half a
// second; with drain it goes on while it is fresh by the row before.
func (s *parts) leave(now time.Duration, i int, drain bool) {
	const heard, fresh = 500 * time.Millisecond, 3 * time.Second
	before := s.row
	s.live[i] = false
	s.assign()
	s.live[i] = true
	until := now + heard
	if drain {
		until = now + fresh
		s.asked = WithFormer(s.row, before)
	}
	s.nodes[i].SetGrantsUntil(now, "0", nil, until)
	s.startAt = now + fresh
}

func (s *parts) askRow() config.Shard {
	if len(s.asked.Holders) > 0 && s.startAt != 0 {
		return s.asked
	}
	return s.row
}

func (s *parts) move(now time.Duration) {
	if s.moveAt != 0 && now >= s.moveAt && !s.away {
		s.assign()
		s.startAt = max(now, s.moveAt) + 3*time.Second
		s.moveAt = 0
	}
	if s.startAt != 0 && now >= s.startAt {
		s.grant(now)
		s.startAt = 0
	}
}

func (s *parts) request(now time.Duration, i int) bool {
	s.move(now)
	n := s.nodes[i]
	search := NewSearch(s.bucket, Token)
	step := n.Next(now, search, s.askRow(), s.limit)
	for step.To != "" {
		now = s.exchange(now, i, step.To, step.Ask)
		step = n.Next(now, search, s.askRow(), s.limit)
	}
	s.balance(now, i)
	for _, due := range s.nodes[i].Settlements() {
		s.messages++
		if j := s.index(due.To); s.live[j] {
			s.nodes[j].Settle(now+peerTime/2, s.limit, due)
		}
	}
	return step.Admitted
}

// exchange is one ask with its answer. It returns the time after it.
func (s *parts) exchange(now time.Duration, i int, id string, a Ask) time.Duration {
	s.messages++
	j := s.index(id)
	if !s.live[j] {
		s.nodes[i].Lost(now, a.ID)
		return now
	}
	t := s.nodes[j].Give(now+peerTime/2, s.limit, a)
	s.nodes[i].Accept(now+peerTime, s.limit, t)
	if a.Want > 0 {
		s.balance(now+peerTime/2, j)
	}
	return now + peerTime
}

func (s *parts) index(id string) int {
	return slices.IndexFunc(s.nodes, func(n *Holder) bool { return n.self == id })
}

func (s *parts) balance(now time.Duration, i int) {
	if id, a, ok := s.nodes[i].Balance(now, s.askRow(), s.bucket, s.limit); ok {
		s.exchange(now, i, id, a)
	}
}

// holder returns an instance that holds parts, or one that doesn't.
func (s *parts) holder(holds bool) int {
	for i := range s.nodes {
		if s.live[i] && (Parts(s.row)[instanceID(i)] > 0) == holds {
			return i
		}
	}
	return 0
}
