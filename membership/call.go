package membership

import (
	"time"

	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

// callKind is the purpose of a call.
type callKind int

const (
	// periodicPull is a pull that every instance except a watcher makes at
	// regular intervals.
	periodicPull callKind = iota
	// catchUpPull pulls a newer revision from a witness that knows it.
	catchUpPull
	// witnessCall queries a witness or sends it newer revisions.
	witnessCall
)

// call is a pending call to another instance.
type call struct {
	kind callKind
	to   string
	sent time.Duration
	// round is the number of the round that a witnessCall belongs to; 0 if
	// it belongs to none.
	round uint64
}

func (m *Member) sendCall(now time.Duration, c call, r Request) effect.Effect {
	c.sent = now
	id := m.nextID()
	m.calls[id] = c
	m.count.Calls++
	return effect.Call{ID: id, To: c.to, Request: r}
}

// CallDone handles the end of a call: its reply, or ok false if there was
// none. The driver may report a call late or not at all. A call fails after
// CallTimeout, and a later reply is dropped.
func (m *Member) CallDone(now time.Duration, id uint64, reply Reply, ok bool) []effect.Effect {
	c, open := m.calls[id]
	if !open {
		return nil
	}
	delete(m.calls, id)
	switch {
	case ok && c.kind != witnessCall && reply.Pull != nil:
		return m.handlePulled(now, c, *reply.Pull)
	case ok && c.kind == witnessCall && reply.Witness != nil:
		return m.handleWitnessed(now, c, *reply.Witness)
	}
	m.callFailed(now, c)
	return m.Tick(now)
}

func (m *Member) callFailed(now time.Duration, c call) {
	m.count.FailedCalls++
	if c.kind == periodicPull {
		m.pullFailed(now, c)
	}
}

func (m *Member) expireCalls(now time.Duration) {
	for id, c := range m.calls {
		if now-c.sent >= m.set.CallTimeout {
			delete(m.calls, id)
			m.callFailed(now, c)
		}
	}
}

// Handle returns the reply to a call from another instance.
func (m *Member) Handle(now time.Duration, _ string, r Request) Reply {
	switch {
	case r.Pull != nil:
		return Reply{Pull: m.answerPull(now, *r.Pull)}
	case r.Witness != nil:
		return Reply{Witness: m.answerWitness(now, *r.Witness)}
	}
	return Reply{}
}

func (m *Member) answerPull(now time.Duration, p Pull) *Pulled {
	table, witnesses := m.proofAges(now)
	return &Pulled{
		Changes:    m.changesSince(p.Since),
		List:       m.dir.changesSince(p.ListSince),
		TableAge:   table,
		WitnessAge: witnesses,
	}
}

func (m *Member) answerWitness(now time.Duration, w Witness) *Witnessed {
	if w.Offer != nil && w.Since <= m.log.Revision() {
		m.apply(now, *w.Offer)
	}
	if w.Revision > m.log.Revision() {
		m.expediteReads(now)
	}
	return &Witnessed{Revision: m.log.Revision(), Seated: m.IsWitness()}
}

// expediteReads brings the next read or pull forward after a caller reported a
// revision that the replica lacks.
func (m *Member) expediteReads(now time.Duration) {
	m.pull.next = min(m.pull.next, max(now, m.pull.lastSent+minReadInterval))
	if m.readsTableRegularly() {
		m.table.next = min(m.table.next, max(now, m.table.sent+minReadInterval))
	}
}

// minReadInterval is the least time between reads triggered by reports of a
// newer revision.
const minReadInterval = 100 * time.Millisecond

func (m *Member) offerChanges(since storage.Revision) *storage.Changes {
	c := m.changesSince(since)
	return &c
}
