// Package fleet tracks the other instances, their liveness and which of their
// messages have been received already.
//
// Every message of an instance proves that it is alive; an instance with
// nothing else to send sends heartbeats. An instance that is silent for some
// heartbeat intervals is considered dead until its next message. Instances
// announce themselves to each other, and a new instance receives the member
// list of each instance that it joins; the list in the store only adds those
// that were unreachable at that time.
//
// The package does no I/O and reads no clock: time is passed in.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"foxtailspoke/relay"
)

const (
	// HeartbeatInterval is the longest time between two messages of a live
	// instance.
	HeartbeatInterval = 400 * time.Millisecond
	// silenceTimeout is the silence after which an instance is considered dead:
	// three heartbeats, so that two lost datagrams do not suffice. It removes
	// an instance from the addresses given to callers well within the two
	// seconds for which they cache them.
	silenceTimeout = 1300 * time.Millisecond
	// overdueAfter is the silence after which an instance is overdue: the longest time between
	// two heartbeats, which are sent at ticks, and the delay of a relay.
	overdueAfter = HeartbeatInterval + TickInterval
	// maxStartupSequence is the highest sequence number of an instance that has
	// only just started: it sends some five messages before callers arrive.
	maxStartupSequence = 20
	// directSilenceTimeout is the time since the last message of an instance
	// itself after which it is sent joins and others' reports of it are used:
	// two heartbeats.
	directSilenceTimeout = 2 * HeartbeatInterval
	// unlistedRetention is the time for which a dead instance that is not
	// listed in the store is kept.
	unlistedRetention = 10 * time.Second
)

// Instance is the state of another instance.
type Instance struct {
	relay.Member
	// Leaving reports that the instance must not receive callers.
	Leaving bool
	// Partitioned reports that the instance fails to connect to any backend server.
	Partitioned bool
	// LastHeard is the time of the last sign of life; if there was none, the
	// time at which the instance became known.
	LastHeard time.Duration
	// AliveSinceStart reports that the instance has been heard without
	// interruption since its start.
	AliveSinceStart bool
	// Listed reports that the store lists the instance.
	Listed bool

	// lastMessage is when its latest message was received.
	lastMessage time.Duration
	epoch       uint32
	sequence    uint32
	// seenWindow has a bit for each of the last 64 sequence numbers up to
	// sequence, set if the message was received.
	seenWindow uint64
}

// MarkSeen marks a message as received. It reports whether the message is new,
// and whether it is the first since a start of the instance. The same message
// may arrive through two relays, or late.
func (m *Instance) MarkSeen(epoch, sequence uint32) (isNew, restarted bool) {
	if epoch != m.epoch {
		m.epoch, m.sequence, m.seenWindow = epoch, sequence, 1
		m.AliveSinceStart = sequence <= maxStartupSequence
		return true, true
	}
	if ahead := int64(sequence) - int64(m.sequence); ahead > 0 {
		m.seenWindow = m.seenWindow<<min(ahead, 64) | 1
		m.sequence = sequence
		return true, false
	}
	behind := m.sequence - sequence
	if behind >= 64 || m.seenWindow&(1<<behind) != 0 {
		return false, false
	}
	m.seenWindow |= 1 << behind
	return true, false
}

// IsLatest reports whether no newer message of the instance has been received.
func (m *Instance) IsLatest(sequence uint32) bool { return sequence == m.sequence }

// Fleet holds all other known instances. It is not safe for concurrent use.
type Fleet struct {
	instances map[uint32]*Instance
}

// New returns an empty fleet.
func New() *Fleet { return &Fleet{instances: make(map[uint32]*Instance)} }

// All returns the instances by ID.
func (f *Fleet) All() map[uint32]*Instance { return f.instances }

// Members returns the instances in the form that package relay uses.
func (f *Fleet) Members() []relay.Member {
	list := make([]relay.Member, 0, len(f.instances))
	for _, m := range f.instances {
		list = append(list, m.Member)
	}
	return list
}

// GetOrAdd returns an instance, and adds it if it is unknown.
func (f *Fleet) GetOrAdd(id uint32, now time.Duration) *Instance {
	m, ok := f.instances[id]
	if !ok {
		m = &Instance{Member: relay.Member{ID: id}, LastHeard: now, lastMessage: now - time.Hour}
		f.instances[id] = m
	}
	return m
}

// MarkAlive records a sign of life, and reports whether the instance was not
// alive before.
func (f *Fleet) MarkAlive(id uint32, now time.Duration) (m *Instance, newlyAlive bool) {
	m = f.GetOrAdd(id, now)
	m.LastHeard = now
	newlyAlive = !m.Alive
	m.Alive = true
	return m, newlyAlive
}

// ExpireSilent marks silent instances as dead and returns them, and removes
// unlisted ones that have been dead for long.
func (f *Fleet) ExpireSilent(now time.Duration) (silenced []*Instance) {
	for id, m := range f.instances {
		if m.Alive && now-m.LastHeard > silenceTimeout {
			m.Alive = false
			m.AliveSinceStart = false
			silenced = append(silenced, m)
		}
		if !m.Alive && !m.Listed && now-m.LastHeard > unlistedRetention {
			delete(f.instances, id)
		}
	}
	return silenced
}

// AliveShare returns the share of instances that are alive, this one included.
func (f *Fleet) AliveShare() float64 {
	all, alive := 1, 1
	for _, m := range f.instances {
		all++
		if m.Alive {
			alive++
		}
	}
	return float64(alive) / float64(all)
}

// Contact describes how recently messages of the other instances were received.
type Contact struct {
	// OnTimeShare is the share of instances that aren't overdue, this one included.
	OnTimeShare float64
	// MeanSilence is the mean time since the last message of each instance that is alive, 0
	// for this one.
	MeanSilence time.Duration
}

// Contact returns how recently messages of the other instances were received.
func (f *Fleet) Contact(now time.Duration) Contact {
	onTime, alive, sum := 1, 1, time.Duration(0)
	for _, m := range f.instances {
		if !m.Alive {
			continue
		}
		alive++
		sum += now - m.LastHeard
		if now-m.LastHeard <= overdueAfter {
			onTime++
		}
	}
	return Contact{OnTimeShare: float64(onTime) / float64(len(f.instances)+1), MeanSilence: sum / time.Duration(alive)}
}

// AliveSinceStartShare returns the share of instances that have been alive
// without interruption since their start, this one included. While this
// instance has just started, these are the instances that started together with
// it.
func (f *Fleet) AliveSinceStartShare() float64 {
	count := 1
	for _, m := range f.instances {
		if m.Alive && m.AliveSinceStart {
			count++
		}
	}
	return float64(count) / float64(len(f.instances)+1)
}

// joinCandidates returns some instances to send a join to: those whose own
// messages have not been received lately, whatever others report of them, and
// those whose data centre is unknown. Each turn selects others. After a
// partition both sides consider each other dead and neither would write to the
// other, and two new instances may each know only a part of the fleet.
func (f *Fleet) joinCandidates(limit int, turn uint32, now time.Duration) []uint32 {
	var ids []uint32
	for id, m := range f.instances {
		if !m.Alive || m.DataCentre == "" || now-m.lastMessage > directSilenceTimeout {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b uint32) int { return cmp.Compare(relay.Hash(a^turn), relay.Hash(b^turn)) })
	return ids[:min(limit, len(ids))]
}

// Isolated reports whether no other instance is alive.
func (f *Fleet) Isolated() bool {
	for _, m := range f.instances {
		if m.Alive {
			return false
		}
	}
	return true
}

// Rank returns the position of an instance among the live ones, starting at 0,
// in an order that is the same on all instances. Instances with a slow link
// come last.
func (f *Fleet) Rank(self relay.Member) int {
	if self.SlowLink {
		return len(f.instances)
	}
	own, rank := relay.Hash(self.ID), 0
	for id, m := range f.instances {
		if m.Alive && !m.Leaving && !m.SlowLink && relay.Hash(id) < own {
			rank++
		}
	}
	return rank
}
