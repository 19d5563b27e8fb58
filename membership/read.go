package membership

import (
	"math"
	"time"

	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

// never is later than any time that a clock shows.
const never = time.Duration(math.MaxInt64)

// readState is the state of the reads of the table or of the instance list:
// at most one at a time.
type readState struct {
	// id of the read in flight; 0 if there is none.
	id uint64
	// started says that there was a read; sent is when the last one started.
	started bool
	sent    time.Duration
	// next is when the next read is due for a regular reader.
	next time.Duration
	// requested asks for one read also from an instance that isn't a regular
	// reader, or before the next is due.
	requested bool
	// failures counts the reads without an answer since the last answer.
	failures int
	// answered is when the last read that was answered started.
	answered time.Duration
}

// readsTableRegularly says whether the instance reads the table regularly.
func (m *Member) readsTableRegularly() bool { return m.isWatcher() || m.IsWitness() }

// tableUnavailable says whether the last read of the table had no answer or has
// been without one for long. A watcher then asks the witnesses. Waiting for
// ReadTimeout would let the proofs of those who pull from it get so old
// that many of them read the table themselves, just when it is slow.
func (m *Member) tableUnavailable(now time.Duration) bool {
	if m.table.failures > 0 {
		return true
	}
	return m.table.id != 0 && now-m.table.sent >= m.set.HedgeAfter
}

func (m *Member) tickTable(now time.Duration) []effect.Effect {
	m.expireRead(now, &m.table)
	due := m.readsTableRegularly() && now >= m.table.next
	if m.table.id != 0 || !(due || m.requestedReadDue(now, &m.table)) {
		return nil
	}
	m.startRead(now, &m.table, m.set.PollEvery)
	read := storage.ReadRequest{Table: storage.Control, Since: m.log.Revision()}
	return []effect.Effect{effect.ReadTable{ID: m.table.id, Read: read}}
}

func (m *Member) tickList(now time.Duration) []effect.Effect {
	m.expireRead(now, &m.list)
	due := now >= m.nextListRead()
	if m.list.id != 0 || !(due || m.requestedReadDue(now, &m.list)) {
		return nil
	}
	m.startRead(now, &m.list, m.set.ListEvery)
	return []effect.Effect{effect.ReadInstances{ID: m.list.id, Since: m.dir.version}}
}

// maxListAgeIntervals is how many times ListEvery an instance may go without word of
// the list before it reads the list itself.
const maxListAgeIntervals = 5

// nextListRead returns when the next regular read of the list is due.
//
// Most instances hear of the list by their pulls. One that is a witness proves
// its revision without them, so that it must notice by itself that its list is
// old: with a list from before the others had started it would reach nobody.
// An instance without a proof doesn't read here: when the platform returns
// after all were cut off, everybody's list is old, and reads of all at once
// would drown it (see tickAlone).
func (m *Member) nextListRead() time.Duration {
	switch {
	case m.isWatcher():
		return m.list.next
	case m.dir.version == 0:
		return max(m.list.next, m.list.sent+m.set.ListEvery<<min(m.list.failures, maxListDoublings))
	}
	due := max(m.list.next, m.listReceivedAt+maxListAgeIntervals*m.set.ListEvery)
	if p := m.youngestProof(); !p.held || due >= p.start+m.set.Fresh {
		return never
	}
	return due
}

// maxListDoublings bounds the time between the reads of an instance that has
// no list yet, while they fail.
const maxListDoublings = 3

func (m *Member) startRead(now time.Duration, r *readState, every time.Duration) {
	r.id = m.nextID()
	r.started = true
	r.sent = now
	r.next = now + m.jitter(every)
	r.requested = false
	m.count.Reads++
}

func (m *Member) requestedReadDue(now time.Duration, r *readState) bool {
	return r.requested && now >= r.nextRequested()
}

// nextRequested keeps reads on demand apart, further with every failure.
func (r *readState) nextRequested() time.Duration {
	if !r.started {
		return 0
	}
	return r.sent + minReadInterval<<min(r.failures, maxBackoffDoublings)
}

const maxBackoffDoublings = 6

func (m *Member) expireRead(now time.Duration, r *readState) {
	if r.id != 0 && now-r.sent >= m.set.ReadTimeout {
		r.id = 0
		r.failures++
	}
}

func (r *readState) wake(regular bool, timeout time.Duration) time.Duration {
	switch {
	case r.id != 0:
		return r.sent + timeout
	case r.requested && regular:
		return min(r.next, r.nextRequested())
	case r.requested:
		return r.nextRequested()
	case regular:
		return r.next
	}
	return never
}

func (m *Member) wakeTable() time.Duration {
	return m.table.wake(m.readsTableRegularly(), m.set.ReadTimeout)
}

func (m *Member) wakeList() time.Duration {
	r := m.list
	r.next = m.nextListRead()
	return r.wake(true, m.set.ReadTimeout)
}

// ReadDone takes the end of a ReadTable effect; ok is false if there was no
// answer.
func (m *Member) ReadDone(now time.Duration, id uint64, c storage.Changes, ok bool) []effect.Effect {
	if id != m.table.id {
		return m.applyLateRead(now, c, ok)
	}
	m.table.id = 0
	if !ok {
		m.table.failures++
		return m.Tick(now)
	}
	if c.Revision < m.log.Revision() {
		// The platform's table went back, say to a backup. Accepted changes
		// mustn't revert: it counts as away, and the witnesses are asked.
		m.count.StaleReads++
		m.table.failures++
		return m.Tick(now)
	}
	m.table.failures = 0
	m.table.answered = m.table.sent
	m.apply(now, c)
	m.recordProof(&m.byTable, m.rules.proofStart(m.table.sent, now))
	return m.Tick(now)
}

// applyLateRead takes the rows of a read that was given up. They are as good as
// any, but the time at which the read started isn't known any more, so that
// it proves nothing.
func (m *Member) applyLateRead(now time.Duration, c storage.Changes, ok bool) []effect.Effect {
	if ok {
		m.apply(now, c)
	}
	return m.Tick(now)
}

// InstancesDone takes the end of a ReadInstances effect.
func (m *Member) InstancesDone(now time.Duration, id uint64, c storage.InstanceChanges, ok bool) []effect.Effect {
	if id == m.list.id {
		m.list.id = 0
		m.list.failures++
	}
	if ok {
		m.list.failures = 0
		m.list.answered = m.list.sent
		m.listReceivedAt = now
		m.applyList(now, c)
	}
	return m.Tick(now)
}

func (m *Member) applyList(now time.Duration, c storage.InstanceChanges) {
	if m.dir.apply(c) {
		m.updateMajority(now)
	}
}
