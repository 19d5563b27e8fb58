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
	// runs holds the present run and some former ones, latest first.
	runs []run
}

// maxRuns is the number of runs of an instance whose messages are told apart. Messages of a
// run are on their way for far less than the time of that many restarts.
const maxRuns = 4

// runTakeover is the time without a message of the present run after which another known
// run counts as the present one.
const runTakeover = directSilenceTimeout

// run is what was received of one run of an instance.
type run struct {
	epoch, sequence uint32
	// seenWindow has a bit for each of the last 64 sequence numbers up to
	// sequence, set if the message was received.
	seenWindow uint64
	// advancedAt is when sequence last changed.
	advancedAt time.Duration
}

// Receipt classifies a message.
type Receipt struct {
	// New means that the message was not received before.
	New bool
	// Restarted means that it is the first one of a run.
	Restarted bool
	// Former means that it is one of a former run. It is forwarded, but says nothing about the
	// instance.
	Former bool
}

// MarkSeen marks a message as received. The same message may arrive through two relays, or
// late, also after messages of a later run.
func (m *Instance) MarkSeen(epoch, sequence uint32, now time.Duration) Receipt {
	i := slices.IndexFunc(m.runs, func(r run) bool { return r.epoch == epoch })
	if i < 0 {
		m.runs = slices.Insert(m.runs, 0, run{epoch, sequence, 1, now})
		m.runs = m.runs[:min(len(m.runs), maxRuns)]
		m.AliveSinceStart = sequence <= maxStartupSequence
		return Receipt{New: true, Restarted: true}
	}
	isNew, ahead := m.runs[i].markSeen(sequence, now)
	if i == 0 {
		return Receipt{New: isNew}
	}
	if !ahead || now-m.runs[0].advancedAt <= runTakeover {
		return Receipt{New: isNew, Former: true}
	}
	// The message that made the other run the present one was late.
	m.runs[0], m.runs[i] = m.runs[i], m.runs[0]
	return Receipt{New: true, Restarted: true}
}

// markSeen reports whether the message is new, and whether it is the latest of the run.
func (r *run) markSeen(sequence uint32, now time.Duration) (isNew, latest bool) {
	if ahead := int64(sequence) - int64(r.sequence); ahead > 0 {
		r.seenWindow = r.seenWindow<<min(ahead, 64) | 1
		r.sequence, r.advancedAt = sequence, now
		return true, true
	}
	behind := r.sequence - sequence
	if behind >= 64 || r.seenWindow&(1<<behind) != 0 {
		return false, false
	}
	r.seenWindow |= 1 << behind
	return true, false
}

// IsLatest reports whether no newer message of the present run has been received.
func (m *Instance) IsLatest(sequence uint32) bool {
	return len(m.runs) > 0 && sequence == m.runs[0].sequence
}

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
