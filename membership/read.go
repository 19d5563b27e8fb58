package membership

import (
	"math"
	"time"

	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

// never is the wake time of a timer that isn't set.
const never = time.Duration(math.MaxInt64)

// readState is the state of the reads of the table or of the instance list.
// At most one read of each is in flight.
type readState struct {
	// id of the read in flight; 0 if there is none.
	id uint64
	// started is set once a read was sent; sent is when the last one was.
	started bool
	sent    time.Duration
	// next is when the next periodic read is due.
	next time.Duration
	// requested asks for one read before the next periodic one, or on an
	// instance that doesn't read periodically.
	requested bool
	// failures counts consecutive reads without a usable answer.
	failures int
	// answered is when the last successful read was sent.
	answered time.Duration
}

// readsTableRegularly says whether the instance reads the table periodically:
// watchers and witnesses do.
func (m *Member) readsTableRegularly() bool { return m.isWatcher() || m.IsWitness() }

// tableUnavailable says whether the last read of the table failed or has been
// unanswered for HedgeAfter. A watcher then asks the witnesses. If it waited for
// ReadTimeout, the proofs of the instances that pull from it would become so old
// that many of them would read the table themselves while it is slow.
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

// maxListAgeIntervals is the number of ListEvery intervals without an update of
// the list after which an instance reads the list itself.
const maxListAgeIntervals = 5

// nextListRead returns when the next periodic read of the list is due.
//
// Most instances receive the list with their pulls. A witness proves its
// revision without pulls, so it must detect an outdated list itself: with a list
// from before the other instances started it could reach none of them.
// An instance without a proof doesn't read the list here: when the platform
// recovers after all instances were cut off, every list is outdated, and
// simultaneous reads would overload the platform (see tickFallback).
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

// maxListDoublings limits the back-off between failing reads of an instance
// that has no list yet.
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

// nextRequested returns when the next requested read may start, with
// exponential back-off after failures.
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

// ReadDone handles the completion of a ReadTable effect; ok is false if the
// read failed.
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
		// The platform's table was rolled back, for example to a backup.
		// Accepted changes must not be reverted, so the table counts as
		// unavailable and the witnesses are asked.
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

// applyLateRead applies the rows of a read that had already timed out. The rows
// are valid, but the start time of the read is no longer known, so that it gives
// no proof.
func (m *Member) applyLateRead(now time.Duration, c storage.Changes, ok bool) []effect.Effect {
	if ok {
		m.apply(now, c)
	}
	return m.Tick(now)
}

// InstancesDone handles the completion of a ReadInstances effect.
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
