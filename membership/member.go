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
	// Apply returns false, and changes nothing, for changes that aren't newer.
	Apply(storage.Changes) bool
	Since(storage.Revision) storage.Changes
	Witnesses() config.Witnesses
	Row(key string) (storage.Row, bool)
}

// Counters of what a Member saw, for metrics. They only rise.
type Counters struct {
	// Reads of the table and of the instance list that were sent.
	Reads uint64
	// Calls to other instances that were sent, and those without an answer.
	Calls, FailedCalls uint64
	// OlderRevisions counts answers with a lower revision than the replica's.
	OlderRevisions uint64
	// StaleReads counts reads of the table that ended below the replica's
	// revision. The platform promises that there are none.
	StaleReads uint64
	// Rounds to the witnesses that were started, and that gave a proof.
	Rounds, ConfirmedRounds uint64
	// WitnessListWrites counts the changes to the list of witnesses that were sent.
	WitnessListWrites uint64
}

// Member is one instance's part in the fleet. It isn't safe for use by
// several goroutines at once. Every now is the own monotonic clock's time
// and never less than the one before. The clock must go on while the machine
// is suspended (CLOCK_BOOTTIME on Linux): a proof may not outlive a pause.
type Member struct {
	set   Settings
	log   Log
	rng   *rand.Rand
	rules rules
	dir   *Directory
	count Counters

	// byTable and byWitnesses are the youngest proofs of each kind.
	byTable, byWitnesses proof
	// lastFullRevision is the revision of the last full changes. The replica doesn't
	// know what was deleted before.
	lastFullRevision storage.Revision

	lastID uint64
	calls  map[uint64]call
	table  readState
	list   readState
	// listReceivedAt is when the list last came, by a read or with a pull.
	listReceivedAt time.Duration
	pull           pullState
	round          roundState
	inForce        inForceTracker
	seats          witnessSetState
	fallback       fallback

	leaving bool
}

// New returns a Member that has heard of nobody yet. The first Tick makes it
// read the platform.
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

// Directory returns the platform's list of instances as heard. The Directory
// stays valid and follows the list.
func (m *Member) Directory() *Directory { return m.dir }

// Counters returns what the Member saw so far.
func (m *Member) Counters() Counters { return m.count }

// Tick does what is due. Call it at NextWake or earlier.
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

// NextWake returns the time at which Tick has something to do. It may be in
// the past, which means at once. Ask again after each call to the Member.
func (m *Member) NextWake() time.Duration {
	next := m.fallback.next
	for _, c := range m.calls {
		next = min(next, c.sent+m.set.CallTimeout)
	}
	next = min(next, m.wakeTable(), m.wakeList(), m.nextPullTime(), m.wakeRound())
	return min(next, m.wakeInForce(), m.wakeWitnessSet())
}

// Leave begins a planned stop: the Member gives up its seat as a witness.
// It goes on answering; see Seated for when the seat is gone.
func (m *Member) Leave(now time.Duration) []effect.Effect {
	m.leaving = true
	m.seats.next = now
	return m.tickWitnessSet(now)
}

// IsWitness says whether the instance is a witness as far as it knows.
func (m *Member) IsWitness() bool {
	return isWitness(m.log.Witnesses(), m.set.Self)
}

// apply takes changes of the table from anywhere.
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

// changesSince returns what another instance lacks. A replica that began
// with a full read at base has no trace of what was deleted earlier: to a
// caller below base a delta would leave a withdrawn key in place. The whole
// table takes it away.
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

// jitter returns between nine tenths of d and d, so that instances that
// started together drift apart.
func (m *Member) jitter(d time.Duration) time.Duration {
	return d - time.Duration(m.rng.Int64N(int64(d)/10+1))
}

// isWatcher says whether the instance is a watcher of its data centre.
func (m *Member) isWatcher() bool { return m.dir.selfIsWatcher }
