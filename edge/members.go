package edge

import (
	"log/slog"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/placement"
)

const (
	// beatEvery is the longest silence of a living instance. Every message is
	// a sign of life; a beat is sent only if nothing else was.
	beatEvery = 400 * time.Millisecond
	// aliveFor is the silence after which an instance is taken for gone:
	// three beats, so that two lost datagrams don't do it. It leaves callers'
	// addresses well within the two seconds that they keep an answer.
	aliveFor = 1300 * time.Millisecond
	// introduceEvery is how often a beat tells the data centre, for those who
	// missed the first.
	introduceEvery = 2 * time.Second
	// earlySequence is the number of a message up to which an instance has only
	// just started: it speaks some five times before callers come.
	earlySequence = 20
	// manySilent is the share of instances whose silence at one moment means
	// that callers' requests go unserved unheard. One instance that is stopped
	// or killed is less at any size.
	manySilent = 0.05
	// rememberFor is how long an instance counts that has no row in the
	// store: one that has just started, or whose row was removed.
	rememberFor = 10 * time.Second
)

// member is another instance.
type member struct {
	id         uint32
	dataCentre string
	epoch      uint32
	sequence   uint32
	// window marks which of the 64 messages before sequence were taken in.
	window  uint64
	heard   time.Duration
	alive   bool
	leaving bool
	// slow link; see slowBelow.
	slow bool
	// fromStart says that it has been heard since its start without a pause.
	fromStart bool
	// listed in the store.
	listed bool
}

// fresh reports whether a message of the member is new, and marks it. The same
// message may arrive directly and handed on, or late.
func (m *member) fresh(epoch, sequence uint32) bool {
	if epoch != m.epoch {
		m.epoch, m.sequence, m.window = epoch, sequence, 1
		m.fromStart = sequence <= earlySequence
		return true
	}
	if ahead := int64(sequence) - int64(m.sequence); ahead > 0 {
		m.window = m.window<<min(ahead, 64) | 1
		m.sequence = sequence
		return true
	}
	behind := m.sequence - sequence
	if behind >= 64 || m.window&(1<<behind) != 0 {
		return false
	}
	m.window |= 1 << behind
	return true
}

// latest reports whether no newer message of the member was taken in.
func (m *member) latest(sequence uint32) bool { return sequence == m.sequence }

// touch takes in a sign of life.
func (e *Edge) touch(id uint32, now time.Duration) *member {
	m, ok := e.state.members[id]
	if !ok {
		m = &member{id: id}
		e.state.members[id] = m
	}
	m.heard = now
	if !m.alive {
		m.alive = true
		e.reckonShare()
		event.PeerHeard.Log(e.log, slog.String("peer", address(id, 0).Addr().String()))
	}
	return m
}

// checkMembers finds out who has fallen silent.
func (e *Edge) checkMembers(now time.Duration) {
	fell := 0
	for id, m := range e.state.members {
		if m.alive && now-m.heard > aliveFor {
			m.alive = false
			m.fromStart = false
			fell++
			e.state.usage.Forget(id)
			e.state.placer.Forget(id)
			event.PeerSilent.Log(e.log, slog.String("peer", address(id, 0).Addr().String()),
				slog.Duration("silence", now-m.heard))
		}
		if !m.alive && !m.listed && now-m.heard > rememberFor {
			delete(e.state.members, id)
		}
	}
	if float64(fell) > manySilent*float64(len(e.state.members)) {
		e.state.placer.Disturbed(now)
	}
	e.reckonShare()
}

// reckonShare sets the part of each workspace's rate that this instance may
// count on: that of the instances it hears.
func (e *Edge) reckonShare() {
	all, heard := 1, 1
	for _, m := range e.state.members {
		all++
		if m.alive {
			heard++
		}
	}
	e.state.usage.Share = float64(heard) / float64(all)
}

// slowBelow is the bandwidth in Mbit/s below which an instance leaves to others
// what goes out once for each neighbour: handing messages on, 30 Mbit/s at 133
// instances and 1,240 requests a second, and telling what the store said. On a
// link of 10 Mbit/s 40% of all messages were lost.
const slowBelow = 80

func (e *Edge) slowLink() bool {
	return e.settings.LinkMbps > 0 && e.settings.LinkMbps < slowBelow
}

// rank is the place of this instance among the living ones, 0 the first.
// Those with a slow link come last.
func (e *Edge) rank() int {
	if e.slowLink() {
		return len(e.state.members)
	}
	own, rank := mix(e.self), 0
	for id, m := range e.state.members {
		if m.alive && !m.leaving && !m.slow && mix(id) < own {
			rank++
		}
	}
	return rank
}

// neighbours are all known instances of the own data centre, silent ones as
// well: they must hear of this one to hear it again.
func (e *Edge) neighbours() []uint32 {
	var ids []uint32
	for id, m := range e.state.members {
		if m.dataCentre == e.settings.DataCentre || m.dataCentre == "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// delegates returns, for every other data centre, the instances that hand
// messages on there: one, or more for messages that must not be lost.
func (e *Edge) delegates(each int) []uint32 {
	best := make(map[string][]uint32)
	for id, m := range e.state.members {
		if m.dataCentre == e.settings.DataCentre || m.dataCentre == "" {
			continue
		}
		best[m.dataCentre] = e.insertDelegate(best[m.dataCentre], id, each)
	}
	var ids []uint32
	for _, list := range best {
		ids = append(ids, list...)
	}
	return ids
}

// insertDelegate keeps the first ones in order: living before silent, fast links
// before slow ones, then by a hash that is the same for all instances of a data centre, so that what a
// delegate hands on comes together in few datagrams.
func (e *Edge) insertDelegate(list []uint32, id uint32, most int) []uint32 {
	list = append(list, id)
	for i := len(list) - 1; i > 0 && e.delegateBefore(list[i], list[i-1]); i-- {
		list[i], list[i-1] = list[i-1], list[i]
	}
	return list[:min(len(list), most)]
}

func (e *Edge) delegateBefore(a, b uint32) bool {
	ma, mb := e.state.members[a], e.state.members[b]
	aWell, bWell := ma.alive && !ma.leaving, mb.alive && !mb.leaving
	if aWell != bWell {
		return aWell
	}
	if ma.slow != mb.slow {
		return mb.slow
	}
	own := placement.Hash(e.settings.DataCentre)
	return mix(a^own) < mix(b^own)
}

// mix spreads addresses, which differ in few bits, over all numbers.
func mix(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}
