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
	// Lower counts answers with a lower revision than the replica's.
	Lower uint64
	// StaleReads counts reads of the table that ended below the replica's
	// revision. The platform promises that there are none.
	StaleReads uint64
	// Rounds to the witnesses that were started, and that gave a proof.
	Rounds, ProvedRounds uint64
	// SeatWrites counts the changes to the list of witnesses that were sent.
	SeatWrites uint64
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
	// base is the revision of the last full changes. The replica doesn't
	// know what was deleted before.
	base storage.Revision

	lastID uint64
	calls  map[uint64]call
	table  readState
	list   readState
	// listHeard is when the list last came, by a read or with a pull.
	listHeard time.Duration
	pull      pullState
	round     roundState
	force     force
	seats     witnessSetState
	alone     alone

	leaving bool
}

// New returns a Member that has heard of nobody yet. The first Tick makes it
// read the platform.
func New(s Settings, log Log, rng *rand.Rand) *Member {
	s = s.withDefaults()
	return &Member{
		set:   s,
		log:   log,
		rng:   rng,
		rules: defaultRules(s),
		dir:   newDirectory(s),
		calls: map[uint64]call{},
		force: newForce(),
	}
}

// Settings returns the settings with their defaults filled in.
func (m *Member) Settings() Settings { return m.set }

// Live returns the platform's list of instances as heard. The Directory
// stays valid and follows the list.
func (m *Member) Live() *Directory { return m.dir }

// Counters returns what the Member saw so far.
func (m *Member) Counters() Counters { return m.count }

// Tick does what is due. Call it at NextWake or earlier.
func (m *Member) Tick(now time.Duration) []effect.Effect {
	m.expireCalls(now)
	m.settleForce(now)
	var out []effect.Effect
	out = append(out, m.tickTable(now)...)
	out = append(out, m.tickList(now)...)
	out = append(out, m.tickPull(now)...)
	out = append(out, m.tickRound(now)...)
	out = append(out, m.tickAlone(now)...)
	out = append(out, m.tickForce(now)...)
	out = append(out, m.tickWitnessSet(now)...)
	return out
}

// NextWake returns the time at which Tick has something to do. It may be in
// the past, which means at once. Ask again after each call to the Member.
func (m *Member) NextWake() time.Duration {
	next := m.alone.next
	for _, c := range m.calls {
		next = min(next, c.sent+m.set.CallTimeout)
	}
	next = min(next, m.wakeTable(), m.wakeList(), m.nextPullTime(), m.wakeRound())
	return min(next, m.wakeForce(), m.wakeWitnessSet())
}

// Leave begins a planned stop: the Member gives up its seat as a witness.
// It goes on answering; see Seated for when the seat is gone.
func (m *Member) Leave(now time.Duration) []effect.Effect {
	m.leaving = true
	m.seats.next = now
	return m.tickWitnessSet(now)
}

// Seated says whether the instance is a witness as far as it knows.
func (m *Member) Seated() bool {
	return isWitness(m.log.Witnesses(), m.set.Self)
}

// apply takes changes of the table from anywhere.
func (m *Member) apply(now time.Duration, c storage.Changes) {
	if c.Revision < m.log.Revision() {
		m.count.Lower++
	}
	if !m.log.Apply(c) {
		return
	}
	if c.Full {
		m.base = c.Revision
	}
	m.completeRound(now)
	m.countKnown(now)
}

// changesSince returns what another instance lacks. A replica that began
// with a full read at base has no trace of what was deleted earlier: to a
// caller below base a delta would leave a withdrawn key in place. The whole
// table takes it away.
func (m *Member) changesSince(since storage.Revision) storage.Changes {
	if since < m.base {
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

// watches says whether the instance is a watcher of its data centre.
func (m *Member) watches() bool { return m.dir.selfWatches }
