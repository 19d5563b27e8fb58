package membership

import (
	"slices"
	"strings"
	"time"

	"foxtailspoke/effect"
)

// pullState is the state of the pulls from other instances, one at a time.
type pullState struct {
	// source is the watcher that answered last; empty after it failed.
	source string
	// nextLocalAttempt is when to try the own data centre again, while from is in
	// another; homeTries counts those.
	nextLocalAttempt time.Duration
	localAttempts    int
	// lastSent is when the lastSent pull was sent, next when the next is due.
	lastSent, next time.Duration
	// inFlight is set while a regular pull has no answer.
	inFlight bool
	// failures counts the pulls without a proof since the last with one.
	failures int
}

// pullRetryDelay is the pause after a pull without a proof, before the next one
// elsewhere. After fastPullRetries it doubles up to PollEvery: when nobody has
// a proof, all instances ask, and quick retries would load the watchers
// with many times the calls of a healthy fleet.
const (
	pullRetryDelay  = 50 * time.Millisecond
	fastPullRetries = 4
)

// localAttemptInterval is the time between attempts to pull from the own data centre
// again.
const localAttemptInterval = 10 * time.Second

// nextPullTime returns when the next pull is due. A watcher proves for itself, and
// pulls only when it reaches neither the table nor the witnesses.
func (m *Member) nextPullTime() time.Duration {
	switch {
	case m.pull.inFlight || (m.dir.version == 0 && len(m.set.Seeds) == 0):
		return never
	case m.isWatcher():
		return max(m.pull.next, m.proofOverdueAt())
	}
	return m.pull.next
}

// seedPrefix begins the name under which a Call goes to a seed.
const seedPrefix = "seed/"

// SeedAddress returns the address of a seed that a Call goes to; false if the
// Call goes to an instance by its id.
func SeedAddress(to string) (string, bool) { return strings.CutPrefix(to, seedPrefix) }

func (m *Member) tickPull(now time.Duration) []effect.Effect {
	if now < m.nextPullTime() {
		return nil
	}
	to := m.pullTarget(now)
	if to == "" {
		m.pull.next = now + m.jitter(m.set.PullEvery)
		return nil
	}
	m.pull.inFlight = true
	m.pull.lastSent = now
	m.pull.next = now + m.jitter(m.set.PullEvery)
	return []effect.Effect{m.sendPull(now, periodicPull, to)}
}

func (m *Member) sendPull(now time.Duration, kind callKind, to string) effect.Effect {
	p := &Pull{Since: m.log.Revision(), ListSince: m.dir.version}
	return m.sendCall(now, call{kind: kind, to: to}, Request{Pull: p})
}

// pullTarget returns the watcher that answered last, or else the next: those
// of the own data centre first, in an order of the instance's own, then one
// anywhere at random.
func (m *Member) pullTarget(now time.Duration) string {
	if m.dir.version == 0 {
		return seedPrefix + m.set.Seeds[m.pull.failures%len(m.set.Seeds)]
	}
	own := remove(m.dir.Watchers(m.set.DataCentre), m.set.Self)
	switch {
	case m.dir.isWatcher(m.pull.source):
		return m.keepSourceOrTryLocal(now, own)
	case m.pull.failures < len(own):
		return Rank(pullKey+m.set.Self, own)[m.pull.failures]
	}
	return m.randomWatcher()
}

// keepSourceOrTryLocal keeps to the watcher that answered. If it is elsewhere, one
// pull now and then tries the own data centre; trying it before every pull
// would age the proofs by its timeouts.
func (m *Member) keepSourceOrTryLocal(now time.Duration, own []string) string {
	if len(own) == 0 || slices.Contains(own, m.pull.source) || now < m.pull.nextLocalAttempt {
		return m.pull.source
	}
	m.pull.nextLocalAttempt = now + localAttemptInterval
	m.pull.localAttempts++
	return own[m.pull.localAttempts%len(own)]
}

func (m *Member) randomWatcher() string {
	centres := m.dir.DataCentres()
	if len(centres) == 0 {
		return ""
	}
	watchers := m.dir.Watchers(centres[m.rng.IntN(len(centres))])
	to := watchers[m.rng.IntN(len(watchers))]
	if to == m.set.Self {
		return ""
	}
	return to
}

func (m *Member) handlePulled(now time.Duration, c call, p Pulled) []effect.Effect {
	m.apply(now, p.Changes)
	m.applyList(now, p.List)
	start := m.rules.proofStart(c.sent, now)
	proved := false
	if p.TableAge > 0 {
		m.recordProof(&m.byTable, start-p.TableAge)
		proved = true
	}
	if p.WitnessAge > 0 {
		m.recordProof(&m.byWitnesses, start-p.WitnessAge)
		proved = true
	}
	switch {
	case c.kind == catchUpPull:
	case proved:
		m.pullSucceeded(now, c)
	default:
		m.pullFailed(now, c)
	}
	return m.Tick(now)
}

func (m *Member) pullSucceeded(now time.Duration, c call) {
	m.listReceivedAt = now
	m.pull.inFlight = false
	m.pull.source = c.to
	m.pull.failures = 0
}

func (m *Member) pullFailed(now time.Duration, c call) {
	m.pull.inFlight = false
	if c.to == m.pull.source {
		m.pull.source = ""
	}
	m.pull.failures++
	doublings := min(max(m.pull.failures-fastPullRetries, 0), maxBackoffDoublings)
	m.pull.next = now + m.jitter(min(pullRetryDelay<<doublings, m.set.PollEvery))
}
