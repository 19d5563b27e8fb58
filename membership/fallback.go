package membership

import (
	"time"

	"foxtailspoke/effect"
)

// fallback is the state of an instance's attempts to prove its revision by
// itself, when nobody that proves for others can be reached.
type fallback struct {
	// next is when the next attempt may start.
	next     time.Duration
	failures int
}

// fallbackAgePercent is the share of Fresh, in per cent, after which a proof is so old
// that the instance tries by itself.
const fallbackAgePercent = 85

// maxFallbackInterval bounds the time between attempts.
const maxFallbackInterval = 16 * time.Second

// tickFallback reads the table, the list, and asks the witnesses, if pulls give
// no proof. The attempts are few and spread: if every instance tried as
// often as a watcher, the platform's return would drown it in reads just
// when it recovers, and it would go away again.
func (m *Member) tickFallback(now time.Duration) []effect.Effect {
	if now < m.fallback.next {
		return nil
	}
	if old := m.proofOverdueAt(); now < old {
		m.fallback.next = old
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

// proofOverdueAt returns when the youngest proof is so old that a healthy instance
// would have a younger one.
func (m *Member) proofOverdueAt() time.Duration {
	p := m.youngestProof()
	if !p.held {
		return 0
	}
	return p.start + m.set.Fresh*fallbackAgePercent/100
}

// fallbackInterval returns the time to the next attempt: longer for a larger fleet
// and after every failure, and never the same for two instances.
func (m *Member) fallbackInterval() time.Duration {
	gap := time.Duration(len(m.dir.entryIDs)) * time.Second / time.Duration(m.set.SelfReadsPerSecond)
	gap = max(gap, m.set.PollEvery) << min(m.fallback.failures, maxBackoffDoublings)
	gap = min(gap, maxFallbackInterval)
	return gap + time.Duration(m.rng.Int64N(int64(gap)))
}
