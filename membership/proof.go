package membership

import (
	"time"

	"foxtailspoke/storage"
)

// State is how an instance's revision is confirmed.
type State int

const (
	// CutOff means that no proof is younger than Settings.Fresh. The instance
	// rejects requests without executing them.
	CutOff State = iota
	// ConfirmedByWitnesses means that the table is unreachable and a majority of
	// the witnesses reports no newer revision. The instance keeps serving.
	ConfirmedByWitnesses
	// ConfirmedByTable means that the proof is a read of the table.
	ConfirmedByTable
)

// String returns the state's name for logs.
func (s State) String() string {
	switch s {
	case ConfirmedByTable:
		return "confirmed by the table"
	case ConfirmedByWitnesses:
		return "confirmed by witnesses"
	default:
		return "cut off"
	}
}

// Confirmation describes how recently the instance's revision was proved current.
type Confirmation struct {
	State State
	// Age of the youngest proof; undefined in state CutOff.
	Age time.Duration
	// Revision that the instance acts on.
	Revision storage.Revision
}

// proof records that no revision newer than the replica's was in force at
// start, measured on the local clock. The replica's revision never decreases,
// so a proof for one revision also holds for every later revision.
type proof struct {
	start time.Duration
	held  bool
}

func (p *proof) update(start time.Duration) {
	if !p.held || start > p.start {
		*p = proof{start: start, held: true}
	}
}

// age returns the proof's age, at least 1 ns, or 0 if the proof is missing or
// older than fresh.
func (p proof) age(now, fresh time.Duration) time.Duration {
	age := max(now-p.start, 1)
	if !p.held || age > fresh {
		return 0
	}
	return age
}

// Confirmation returns how the instance's revision is confirmed now. Callers
// must call it again for each decision, because a process that was suspended
// only notices here that its proofs have expired.
func (m *Member) Confirmation(now time.Duration) Confirmation {
	c := Confirmation{Revision: m.log.Revision()}
	table, witnesses := m.proofAges(now)
	switch {
	case table > 0:
		c.State, c.Age = ConfirmedByTable, table
	case witnesses > 0:
		c.State, c.Age = ConfirmedByWitnesses, witnesses
	}
	if witnesses > 0 {
		c.Age = min(c.Age, witnesses)
	}
	return c
}

func (m *Member) proofAges(now time.Duration) (table, witnesses time.Duration) {
	return m.byTable.age(now, m.set.Fresh), m.byWitnesses.age(now, m.set.Fresh)
}

// recordProof adds a proof of either kind and resets the fallback back-off.
func (m *Member) recordProof(kind *proof, start time.Duration) {
	kind.update(start)
	m.fallback.failures = 0
}

// youngestProof returns the younger of the two proofs.
func (m *Member) youngestProof() proof {
	p := m.byTable
	if m.byWitnesses.held {
		p.update(m.byWitnesses.start)
	}
	return p
}
