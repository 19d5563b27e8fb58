package quota

import (
	"fmt"
	"slices"
	"time"

	"foxtailspoke/config"
)

// partsScheme is the scheme implemented by this package.
type partsScheme struct {
	schemeBase
	holders int
	// rowWithPrevious is the row including the previous holders, for use until
	// the new row is granted.
	rowWithPrevious config.Shard
	row             config.Shard
	nodes           []*Holder
	version         uint64
	moveAt          time.Duration
	startAt         time.Duration
	bucket          Bucket
}

func newParts(l config.Limit, instances int) scheme {
	return newPartsWithHolders(l, instances, HolderCount([]config.Limit{l}, 8))
}

// newThreeHolders always uses three holders, a number meant for larger bursts.
func newThreeHolders(l config.Limit, instances int) scheme {
	return newPartsWithHolders(l, instances, 3)
}

func newPartsWithHolders(l config.Limit, instances, holders int) scheme {
	s := &partsScheme{
		schemeBase: newSchemeBase(l, instances),
		holders:    holders,
		bucket:     Bucket{Workspace: "w", Service: "s"},
	}
	for i := range instances {
		s.nodes = append(s.nodes, NewHolder(instanceID(i), 1, DefaultSettings()))
	}
	s.assign()
	s.grant(-time.Hour)
	return s
}

func instanceID(i int) string { return fmt.Sprintf("i%d", i) }

func (s *partsScheme) assign() {
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

// grant applies the row to all holders as in force.
func (s *partsScheme) grant(now time.Duration) {
	for i, n := range s.nodes {
		n.SetGrants(now, "0", Grants(s.row, instanceID(i), func(uint64) bool { return true }))
	}
}

// kill ends a holder and schedules the move of its parts: 2 s until the holder
// counts as unreachable, and about 3 s more until the write is in force.
func (s *partsScheme) kill(now time.Duration, i int) {
	s.schemeBase.kill(now, i)
	s.moveAt = now + 2*time.Second
}

// leave is a planned stop of a holder. It learns of the new row after
// noticeDelay. With drain, it keeps using its parts while it is fresh by the
// previous row.
func (s *partsScheme) leave(now time.Duration, i int, drain bool) {
	const noticeDelay, fresh = 500 * time.Millisecond, 3 * time.Second
	before := s.row
	s.live[i] = false
	s.assign()
	s.live[i] = true
	until := now + noticeDelay
	if drain {
		until = now + fresh
		s.rowWithPrevious = WithPreviousHolders(s.row, before)
	}
	s.nodes[i].SetGrantsWithGrace(now, "0", nil, until)
	s.startAt = now + fresh
}

func (s *partsScheme) askRow() config.Shard {
	if len(s.rowWithPrevious.Holders) > 0 && s.startAt != 0 {
		return s.rowWithPrevious
	}
	return s.row
}

func (s *partsScheme) move(now time.Duration) {
	if s.moveAt != 0 && now >= s.moveAt && !s.tableUnreachable {
		s.assign()
		s.startAt = max(now, s.moveAt) + 3*time.Second
		s.moveAt = 0
	}
	if s.startAt != 0 && now >= s.startAt {
		s.grant(now)
		s.startAt = 0
	}
}

func (s *partsScheme) request(now time.Duration, i int) bool {
	s.move(now)
	n := s.nodes[i]
	search := NewSearch(s.bucket, Token)
	step := n.Next(now, search, s.askRow(), s.limit)
	for step.To != "" {
		now = s.exchange(now, i, step.To, step.Ask)
		step = n.Next(now, search, s.askRow(), s.limit)
	}
	s.balance(now, i)
	for _, due := range s.nodes[i].DrainSettlements() {
		s.messages++
		if j := s.index(due.To); s.live[j] {
			s.nodes[j].HandleSettlement(now+peerTime/2, s.limit, due)
		}
	}
	return step.Admitted
}

// exchange simulates one ask and its answer, and returns the time afterwards.
func (s *partsScheme) exchange(now time.Duration, i int, id string, a Ask) time.Duration {
	s.messages++
	j := s.index(id)
	if !s.live[j] {
		s.nodes[i].AskFailed(now, a.ID)
		return now
	}
	t := s.nodes[j].HandleAsk(now+peerTime/2, s.limit, a)
	s.nodes[i].HandleTransfer(now+peerTime, s.limit, t)
	if a.Want > 0 {
		s.balance(now+peerTime/2, j)
	}
	return now + peerTime
}

func (s *partsScheme) index(id string) int {
	return slices.IndexFunc(s.nodes, func(n *Holder) bool { return n.self == id })
}

func (s *partsScheme) balance(now time.Duration, i int) {
	if id, a, ok := s.nodes[i].Rebalance(now, s.askRow(), s.bucket, s.limit); ok {
		s.exchange(now, i, id, a)
	}
}

// holder returns a live instance that holds parts, or one that doesn't.
func (s *partsScheme) holder(holds bool) int {
	for i := range s.nodes {
		if s.live[i] && (PartsByInstance(s.row)[instanceID(i)] > 0) == holds {
			return i
		}
	}
	return 0
}
