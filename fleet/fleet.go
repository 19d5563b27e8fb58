// Package fleet keeps which other instances there are, which of them live, and
// which of their messages were taken in already.
//
// Idea: every message of an instance is a sign of life; it sends a heartbeat if
// it has nothing else to say. Who is silent for some heartbeats is taken for
// gone, and counts again with its next message. Instances introduce themselves
// to each other; a newcomer gets the roster of whoever it greets, and the
// platform's list only tells of those that were out of reach then.
//
// Decisions are pure: time is passed in.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"foxtailspoke/relay"
)

const (
	// HeartbeatInterval is the longest silence of a living instance.
	HeartbeatInterval = 400 * time.Millisecond
	// aliveFor is the silence after which an instance is taken for gone: three
	// heartbeats, so that two lost datagrams don't do it. It leaves callers'
	// addresses well within the two seconds that they keep an answer.
	aliveFor = 1300 * time.Millisecond
	// earlySequence is the number of a message up to which an instance has only
	// just started: it speaks some five times before callers come.
	earlySequence = 20
	// unheardFor is the time after its last message for which an instance is left
	// alone: two heartbeats.
	unheardFor = 2 * HeartbeatInterval
	// rememberFor is how long a silent instance counts that isn't listed.
	rememberFor = 10 * time.Second
)

// Instance is another instance.
type Instance struct {
	relay.Member
	// Leaving says that callers must not be sent there.
	Leaving bool
	// LastHeard is when it last spoke; when it became known, if it never did.
	LastHeard time.Duration
	// AliveSinceStart says that it has been heard since its start without a pause.
	AliveSinceStart bool
	// Listed in the store.
	Listed bool

	// spoke is when its latest message was heard.
	spoke    time.Duration
	epoch    uint32
	sequence uint32
	// window marks which of the 64 messages before sequence were taken in.
	window uint64
}

// MarkSeen reports whether a message is new, and marks it, and whether it is the
// first since a start of the instance. The same message may arrive from two
// relays, or late.
func (m *Instance) MarkSeen(epoch, sequence uint32) (fresh, restarted bool) {
	if epoch != m.epoch {
		m.epoch, m.sequence, m.window = epoch, sequence, 1
		m.AliveSinceStart = sequence <= earlySequence
		return true, true
	}
	if ahead := int64(sequence) - int64(m.sequence); ahead > 0 {
		m.window = m.window<<min(ahead, 64) | 1
		m.sequence = sequence
		return true, false
	}
	behind := m.sequence - sequence
	if behind >= 64 || m.window&(1<<behind) != 0 {
		return false, false
	}
	m.window |= 1 << behind
	return true, false
}

// IsLatest reports whether no newer message of the instance was taken in.
func (m *Instance) IsLatest(sequence uint32) bool { return sequence == m.sequence }

// Fleet is all other instances that are known. It isn't safe for concurrent use.
type Fleet struct {
	all map[uint32]*Instance
}

// New returns a fleet without instances.
func New() *Fleet { return &Fleet{all: make(map[uint32]*Instance)} }

// All returns the instances by their numbers.
func (f *Fleet) All() map[uint32]*Instance { return f.all }

// Members returns the instances as relays see them.
func (f *Fleet) Members() []relay.Member {
	list := make([]relay.Member, 0, len(f.all))
	for _, m := range f.all {
		list = append(list, m.Member)
	}
	return list
}

// GetOrAdd makes an instance known of which only the address is known, and returns
// it.
func (f *Fleet) GetOrAdd(id uint32, now time.Duration) *Instance {
	m, ok := f.all[id]
	if !ok {
		m = &Instance{Member: relay.Member{ID: id}, LastHeard: now, spoke: now - time.Hour}
		f.all[id] = m
	}
	return m
}

// MarkAlive takes in a sign of life, and reports whether there was none before.
func (f *Fleet) MarkAlive(id uint32, now time.Duration) (m *Instance, returned bool) {
	m = f.GetOrAdd(id, now)
	m.LastHeard = now
	returned = !m.Alive
	m.Alive = true
	return m, returned
}

// ExpireSilent finds out who has fallen silent, and drops those that are forgotten.
func (f *Fleet) ExpireSilent(now time.Duration) (fell []*Instance) {
	for id, m := range f.all {
		if m.Alive && now-m.LastHeard > aliveFor {
			m.Alive = false
			m.AliveSinceStart = false
			fell = append(fell, m)
		}
		if !m.Alive && !m.Listed && now-m.LastHeard > rememberFor {
			delete(f.all, id)
		}
	}
	return fell
}

// AliveShare is the share of the instances that are heard, the own one included.
func (f *Fleet) AliveShare() float64 {
	all, heard := 1, 1
	for _, m := range f.all {
		all++
		if m.Alive {
			heard++
		}
	}
	return float64(heard) / float64(all)
}

// AliveSinceStartShare is the share of the instances that are heard since they have started, the
// own one included: of those that started together with this one, as long as it
// has just started itself.
func (f *Fleet) AliveSinceStartShare() float64 {
	fresh := 1
	for _, m := range f.all {
		if m.Alive && m.AliveSinceStart {
			fresh++
		}
	}
	return float64(fresh) / float64(len(f.all)+1)
}

// unheard returns some instances from which no message of their own came lately,
// whatever others say of them, or whose data centre isn't known; each turn names
// others. They are worth greeting:
// after a cut both sides take each other for gone and neither would write to the
// other, and two newcomers may each know only a part of the fleet.
func (f *Fleet) unheard(most int, turn uint32, now time.Duration) []uint32 {
	var ids []uint32
	for id, m := range f.all {
		if !m.Alive || m.DataCentre == "" || now-m.spoke > unheardFor {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b uint32) int { return cmp.Compare(relay.Hash(a^turn), relay.Hash(b^turn)) })
	return ids[:min(most, len(ids))]
}

// Isolated reports that no other instance is heard.
func (f *Fleet) Isolated() bool {
	for _, m := range f.all {
		if m.Alive {
			return false
		}
	}
	return true
}

// Rank is the place of an instance among the living ones, 0 the first, in an
// order that is the same for all. Those with a slow link come last.
func (f *Fleet) Rank(self relay.Member) int {
	if self.SlowLink {
		return len(f.all)
	}
	own, rank := relay.Hash(self.ID), 0
	for id, m := range f.all {
		if m.Alive && !m.Leaving && !m.SlowLink && relay.Hash(id) < own {
			rank++
		}
	}
	return rank
}
