package membership

import (
	"math/rand/v2"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

// Log is the instance's replica of the control table. *config.Replica
// implements it. Every change must reach it through the Member.
type Log interface {
	Revision() storage.Revision
	// Apply returns false and has no effect if the changes are not newer.
	Apply(storage.Changes) bool
	Since(storage.Revision) storage.Changes
	Witnesses() config.Witnesses
	Row(key string) (storage.Row, bool)
}

// Counters hold the monotonic event counts of a Member, for metrics.
type Counters struct {
	// Reads counts reads of the table and of the instance list.
	Reads uint64
	// Calls counts calls to other instances, FailedCalls those without a
	// usable answer.
	Calls, FailedCalls uint64
	// OlderRevisions counts replies with an older revision than the replica's.
	OlderRevisions uint64
	// StaleReads counts reads of the table that returned an older revision
	// than the replica's. The platform guarantees that there are none.
	StaleReads uint64
	// Rounds counts the rounds to the witnesses that were started,
	// ConfirmedRounds those that yielded a proof.
	Rounds, ConfirmedRounds uint64
	// WitnessListWrites counts the writes of the list of witnesses.
	WitnessListWrites uint64
}

// Member tracks one instance's view of the fleet. It is not safe for
// concurrent use. Every now argument is a reading of the instance's monotonic
// clock and never less than the previous one. The clock must advance while
// the machine is suspended (CLOCK_BOOTTIME on Linux), so that proofs expire
// during the suspension.
type Member struct {
	set   Settings
	log   Log
	rng   *rand.Rand
	rules rules
	dir   *Directory
	count Counters

	// byTable and byWitnesses are the youngest proofs of each kind.
	byTable, byWitnesses proof
	// lastFullRevision is the revision of the last full set of changes that
	// was applied. The replica has no record of rows deleted before it.
	lastFullRevision storage.Revision

	lastID uint64
	calls  map[uint64]call
	table  readState
	list   readState
	// listReceivedAt is when the list was last received by a read or a pull.
	listReceivedAt time.Duration
	pull           pullState
	round          roundState
	inForce        inForceTracker
	seats          witnessSetState
	fallback       fallback

	leaving bool
}

// New returns a Member that knows no other instance. The first Tick makes it
// read from the platform.
func New(s Settings, log Log, rng *rand.Rand) *Member {
	s = s.withDefaults()
	return &Member{
		set:     s,
		log:     log,
		rng:     rng,
		rules:   defaultRules(s),
		dir:     newDirectory(s),
		calls:   map[uint64]call{},
		inForce: newInForceTracker(),
	}
}

// Settings returns the settings with their defaults filled in.
func (m *Member) Settings() Settings { return m.set }

// Directory returns the platform's list of instances as last received. The
// returned Directory is updated in place when the list changes.
func (m *Member) Directory() *Directory { return m.dir }

func (m *Member) Counters() Counters { return m.count }

// Tick returns the effects that are due. Call it at NextWake or earlier.
func (m *Member) Tick(now time.Duration) []effect.Effect {
	m.expireCalls(now)
	m.advanceInForce(now)
	var out []effect.Effect
	out = append(out, m.tickTable(now)...)
	out = append(out, m.tickList(now)...)
	out = append(out, m.tickPull(now)...)
	out = append(out, m.tickRound(now)...)
	out = append(out, m.tickFallback(now)...)
	out = append(out, m.tickInForce(now)...)
	out = append(out, m.tickWitnessSet(now)...)
	return out
}

// NextWake returns the time of the next due Tick; a time in the past means
// immediately. Every other call to the Member can change it.
func (m *Member) NextWake() time.Duration {
	next := m.fallback.next
	for _, c := range m.calls {
		next = min(next, c.sent+m.set.CallTimeout)
	}
	next = min(next, m.wakeTable(), m.wakeList(), m.nextPullTime(), m.wakeRound())
	return min(next, m.wakeInForce(), m.wakeWitnessSet())
}

// Leave begins a planned shutdown: the Member removes itself from the list of
// witnesses. It continues to answer calls. IsWitness returns false once the
// removal is complete.
func (m *Member) Leave(now time.Duration) []effect.Effect {
	m.leaving = true
	m.seats.next = now
	return m.tickWitnessSet(now)
}

// IsWitness reports whether the replica lists the instance as a witness.
func (m *Member) IsWitness() bool {
	return isWitness(m.log.Witnesses(), m.set.Self)
}

// apply applies changes of the table, whatever their source.
func (m *Member) apply(now time.Duration, c storage.Changes) {
	if c.Revision < m.log.Revision() {
		m.count.OlderRevisions++
	}
	if !m.log.Apply(c) {
		return
	}
	if c.Full {
		m.lastFullRevision = c.Revision
	}
	m.completeRound(now)
	m.updateMajority(now)
}

// changesSince returns the changes that another instance lacks. A replica
// that was filled by a full read at lastFullRevision has no record of earlier
// deletions. A delta would leave a revoked key in place at a caller below
// that revision, so such a caller gets the whole table.
func (m *Member) changesSince(since storage.Revision) storage.Changes {
	if since < m.lastFullRevision {
		since = 0
	}
	return m.log.Since(since)
}

func (m *Member) nextID() uint64 {
	m.lastID++
	return m.lastID
}

// jitter returns a random duration between 0.9 d and d, so that instances that
// started together do not stay synchronised.
func (m *Member) jitter(d time.Duration) time.Duration {
	return d - time.Duration(m.rng.Int64N(int64(d)/10+1))
}

// isWatcher reports whether the instance is a watcher of its data centre.
func (m *Member) isWatcher() bool { return m.dir.selfIsWatcher }
