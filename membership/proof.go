package membership

import (
	"time"

	"foxtailspoke/storage"
)

// State is how an instance's revision is confirmed.
type State int

const (
	// CutOff means that there is no proof within Fresh. The instance refuses
	// work as not run.
	CutOff State = iota
	// ConfirmedByWitnesses means that the table can't be reached and the witnesses
	// know of nothing newer. The instance keeps serving.
	ConfirmedByWitnesses
	// ConfirmedByTable means that a read of the table is the proof.
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

// Confirmation is what is known of the instance's revision.
type Confirmation struct {
	State State
	// Age of the youngest proof; meaningless when cut off.
	Age time.Duration
	// Revision that the instance acts on.
	Revision storage.Revision
}

// proof says that no revision newer than the replica's was in force at
// start, on the own clock. The replica's revision only rises, so a proof
// for one revision stays one for every later revision of the replica.
type proof struct {
	start time.Duration
	held  bool
}

func (p *proof) update(start time.Duration) {
	if !p.held || start > p.start {
		*p = proof{start: start, held: true}
	}
}

// age returns the proof's age, at least 1 ns, and 0 if it isn't fresh.
func (p proof) age(now, fresh time.Duration) time.Duration {
	age := max(now-p.start, 1)
	if !p.held || age > fresh {
		return 0
	}
	return age
}

// Confirmation returns how the instance's revision is confirmed now. Ask again
// for each decision: a process that was frozen learns it here.
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

// recordProof takes a proof of either kind.
func (m *Member) recordProof(kind *proof, start time.Duration) {
	kind.update(start)
	m.fallback.failures = 0
}

// youngestProof returns the younger proof of the two kinds.
func (m *Member) youngestProof() proof {
	p := m.byTable
	if m.byWitnesses.held {
		p.update(m.byWitnesses.start)
	}
	return p
}
