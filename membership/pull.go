package membership

import (
	"slices"
	"time"

	"foxtailspoke/effect"
)

// pulling is the state of the pulls from other instances, one at a time.
type pulling struct {
	// from is the instance that answered last; empty after a failure.
	from string
	// last is when the last pull was sent, next when the next is due.
	last, next time.Duration
	// inFlight is set while a regular pull has no answer.
	inFlight bool
	// failures counts the pulls without a proof since the last with one.
	failures int
}

// retryGap is the pause after a pull without a proof, before the next one
// elsewhere. After quickRetries it doubles up to PullEvery: when nobody has
// a proof, all instances ask, and quick retries would load the watchers
// with many times the calls of a healthy fleet.
const (
	retryGap     = 50 * time.Millisecond
	quickRetries = 4
)

// pulls says whether the instance gets its proofs from others. A watcher
// proves for itself.
func (m *Member) pulls() bool { return m.dir.version > 0 && !m.watches() }

func (m *Member) tickPull(now time.Duration) []effect.Effect {
	if !m.pulls() || m.pull.inFlight || now < m.pull.next {
		return nil
	}
	to := m.pullTarget()
	if to == "" {
		m.pull.next = now + m.jitter(m.set.PullEvery)
		return nil
	}
	m.pull.inFlight = true
	m.pull.last = now
	m.pull.next = now + m.jitter(m.set.PullEvery)
	return []effect.Effect{m.sendPull(now, regularPull, to)}
}

func (m *Member) sendPull(now time.Duration, kind callKind, to string) effect.Effect {
	p := &Pull{Since: m.log.Revision(), ListSince: m.dir.version}
	return m.send(now, call{kind: kind, to: to}, Request{Pull: p})
}

func (m *Member) wakePull() time.Duration {
	if !m.pulls() || m.pull.inFlight {
		return never
	}
	return m.pull.next
}

// pullTarget returns the watcher that answered last, or else the next: those
// of the own data centre first, in an order of the instance's own, then one
// anywhere at random.
func (m *Member) pullTarget() string {
	own := m.dir.Watchers(m.set.DataCentre)
	if m.pull.from != "" && slices.Contains(own, m.pull.from) {
		return m.pull.from
	}
	if m.pull.failures < len(own) {
		return Rank(pullKey+m.set.Self, own)[m.pull.failures]
	}
	return m.anyWatcher()
}

func (m *Member) anyWatcher() string {
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

func (m *Member) pulled(now time.Duration, c call, p Pulled) []effect.Effect {
	m.apply(now, p.Changes)
	m.applyList(now, p.List)
	start := m.rules.proofStart(c.sent, now)
	proved := false
	if p.TableAge > 0 {
		m.byTable.add(start - p.TableAge)
		proved = true
	}
	if p.WitnessAge > 0 {
		m.byWitnesses.add(start - p.WitnessAge)
		proved = true
	}
	switch {
	case c.kind == fetch:
	case proved:
		m.pullSucceeded(now, c)
	default:
		m.pullFailed(now)
	}
	return m.Tick(now)
}

func (m *Member) pullSucceeded(now time.Duration, c call) {
	m.listHeard = now
	m.pull.inFlight = false
	m.pull.from = c.to
	m.pull.failures = 0
	m.alone.failures = 0
}

func (m *Member) pullFailed(now time.Duration) {
	m.pull.inFlight = false
	m.pull.from = ""
	m.pull.failures++
	doublings := min(max(m.pull.failures-quickRetries, 0), maxBackoffDoublings)
	m.pull.next = now + m.jitter(min(retryGap<<doublings, m.set.PullEvery))
}
