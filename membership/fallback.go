package membership

import (
	"time"

	"foxtailspoke/effect"
)

// fallback is the state of an instance's attempts to prove its revision
// directly when no instance that relays proofs can be reached.
type fallback struct {
	// next is when the next attempt may start.
	next     time.Duration
	failures int
}

// fallbackAgePercent is the age of the youngest proof, in per cent of Fresh,
// from which the instance tries to prove its revision directly.
const fallbackAgePercent = 85

// maxFallbackInterval bounds the time between attempts, before jitter.
const maxFallbackInterval = 16 * time.Second

// tickFallback reads the table and the list and asks the witnesses if pulls
// yield no proof. Attempts are infrequent and spread out: if every instance
// read as often as a watcher, a recovering platform would be overloaded and
// fail again.
func (m *Member) tickFallback(now time.Duration) []effect.Effect {
	if now < m.fallback.next {
		return nil
	}
	if overdue := m.proofOverdueAt(); now < overdue {
		m.fallback.next = overdue
		return nil
	}
	m.fallback.next = now + m.fallbackInterval()
	m.fallback.failures++
	m.table.requested = m.table.requested || !m.readsTableRegularly()
	m.list.requested = m.list.requested || !m.isWatcher()
	out := m.tickTable(now)
	out = append(out, m.tickList(now)...)
	if m.round.open && now-m.round.start < m.set.CallTimeout {
		return out
	}
	return append(out, m.startRound(now)...)
}

// proofOverdueAt returns the time by which a healthy instance has a younger
// proof than the youngest one held now.
func (m *Member) proofOverdueAt() time.Duration {
	p := m.youngestProof()
	if !p.held {
		return 0
	}
	return p.start + m.set.Fresh*fallbackAgePercent/100
}

// fallbackInterval returns the time to the next attempt. It grows with the
// size of the fleet and with every failure, and is randomised so that
// instances do not try at the same time.
func (m *Member) fallbackInterval() time.Duration {
	interval := time.Duration(len(m.dir.entryIDs)) * time.Second / time.Duration(m.set.SelfReadsPerSecond)
	interval = max(interval, m.set.PollEvery) << min(m.fallback.failures, maxBackoffDoublings)
	interval = min(interval, maxFallbackInterval)
	return interval + time.Duration(m.rng.Int64N(int64(interval)))
}
