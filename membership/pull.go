package membership

import (
	"slices"
	"strings"
	"time"

	"foxtailspoke/effect"
)

// pullState is the state of the pulls from other instances. At most one
// periodic pull is in flight.
type pullState struct {
	// source is the watcher that answered last; empty after it failed.
	source string
	// nextLocalAttempt is when to try the local data centre again while source
	// is in another one; localAttempts counts these attempts.
	nextLocalAttempt time.Duration
	localAttempts    int
	// lastSent is when the last pull was sent, next when the next is due.
	lastSent, next time.Duration
	// inFlight is set while a periodic pull is unanswered.
	inFlight bool
	// failures counts consecutive pulls that gave no proof.
	failures int
}

// pullRetryDelay is the delay between a pull that gave no proof and the retry at
// another watcher. After fastPullRetries it doubles up to PollEvery: when no
// instance has a proof, all instances retry, and short delays would load the
// watchers with many times the calls of a healthy fleet.
const (
	pullRetryDelay  = 50 * time.Millisecond
	fastPullRetries = 4
)

// localAttemptInterval is the time between attempts to return to a watcher in
// the local data centre.
const localAttemptInterval = 10 * time.Second

// nextPullTime returns when the next periodic pull is due. A watcher obtains its
// own proofs and pulls only when it reaches neither the table nor the witnesses.
func (m *Member) nextPullTime() time.Duration {
	switch {
	case m.pull.inFlight || (m.dir.version == 0 && len(m.set.Seeds) == 0):
		return never
	case m.isWatcher():
		return max(m.pull.next, m.proofOverdueAt())
	}
	return m.pull.next
}

// seedPrefix marks the destination of a Call as the address of a seed.
const seedPrefix = "seed/"

// SeedAddress returns the seed address in the destination of a Call, or false
// if the destination is an instance id.
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

// pullTarget returns the watcher that answered last. After a failure it tries
// the watchers of the local data centre, in an order specific to this instance,
// and then random watchers of any data centre.
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

// keepSourceOrTryLocal returns the watcher that answered last. If that one is in
// another data centre, one pull per localAttemptInterval tries a local watcher
// instead; trying one before every pull would age the proofs by its timeouts.
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
