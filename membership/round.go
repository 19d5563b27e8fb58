package membership

import (
	"slices"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

// roundState is the state of the last round, a query to all witnesses.
type roundState struct {
	number uint64
	start  time.Duration
	// next is when a watcher starts the next round while the table is
	// unavailable.
	next    time.Duration
	open    bool
	answers map[string]Witnessed
	// pulledFrom holds the witnesses that were pulled from because they reported
	// a newer revision.
	pulledFrom map[string]bool
}

func (m *Member) tickRound(now time.Duration) []effect.Effect {
	if !m.isWatcher() || now < m.round.next || !m.tableUnavailable(now) {
		return nil
	}
	return m.startRound(now)
}

func (m *Member) wakeRound() time.Duration {
	switch {
	case !m.isWatcher():
		return never
	case m.table.failures > 0:
		return m.round.next
	case m.table.id != 0:
		return max(m.round.next, m.table.sent+m.set.HedgeAfter)
	}
	return never
}

// startRound queries every witness. It abandons a previous round that is still
// open.
func (m *Member) startRound(now time.Duration) []effect.Effect {
	w := m.log.Witnesses()
	m.round.next = now + m.jitter(m.set.PollEvery)
	if len(w.Members) == 0 {
		return nil
	}
	m.count.Rounds++
	m.round.number++
	m.round.start = now
	m.round.open = true
	m.round.answers = map[string]Witnessed{}
	m.round.pulledFrom = map[string]bool{}
	var out []effect.Effect
	for _, id := range currentAndPrevious(w) {
		if id != m.set.Self {
			out = append(out, m.callWitness(now, id, m.round.number, nil, 0))
		}
	}
	m.completeRound(now)
	return out
}

func (m *Member) callWitness(now time.Duration, to string, round uint64, offer *storage.Changes, since storage.Revision) effect.Effect {
	w := &Witness{Revision: m.log.Revision(), Offer: offer, Since: since}
	return m.sendCall(now, call{kind: witnessCall, to: to, round: round}, Request{Witness: w})
}

// handleWitnessed records the revision that a witness reported, and counts the
// answer if it belongs to the open round.
func (m *Member) handleWitnessed(now time.Duration, c call, w Witnessed) []effect.Effect {
	m.inForce.recordRevision(c.to, w.Revision)
	m.updateMajority(now)
	var out []effect.Effect
	if c.round == m.round.number && m.round.open {
		m.round.answers[c.to] = w
		m.completeRound(now)
		out = append(out, m.pullFromWitness(now, c.to, w)...)
	}
	out = append(out, m.sendMissingChanges(now, c, w)...)
	return append(out, m.Tick(now)...)
}

// pullFromWitness pulls from a witness that reported a newer revision.
func (m *Member) pullFromWitness(now time.Duration, from string, w Witnessed) []effect.Effect {
	if w.Revision <= m.log.Revision() || m.round.pulledFrom[from] {
		return nil
	}
	m.round.pulledFrom[from] = true
	return []effect.Effect{m.sendPull(now, catchUpPull, from)}
}

// sendMissingChanges sends a witness the changes it lacks if a revision waits for
// it to come in force, or if the witness doesn't know that it is one.
func (m *Member) sendMissingChanges(now time.Duration, c call, w Witnessed) []effect.Effect {
	own := m.log.Revision()
	if w.Revision >= own || !isWitness(m.log.Witnesses(), c.to) {
		return nil
	}
	if w.Seated && w.Revision >= m.inForce.target {
		return nil
	}
	return []effect.Effect{m.callWitness(now, c.to, c.round, m.offerChanges(w.Revision), w.Revision)}
}

// completeRound ends the open round with a proof if a majority answered and no
// witness reported a newer revision. If the replica was updated during the round,
// its current list of witnesses applies.
func (m *Member) completeRound(now time.Duration) {
	if !m.round.open {
		return
	}
	own := m.log.Revision()
	for _, a := range m.round.answers {
		if a.Revision > own {
			return
		}
	}
	answered := func(id string) bool {
		return id == m.set.Self || m.round.answers[id].Seated
	}
	if !m.rules.answeredByQuorum(m.log.Witnesses(), answered) {
		return
	}
	m.round.open = false
	m.count.ConfirmedRounds++
	m.recordProof(&m.byWitnesses, m.rules.proofStart(m.round.start, now))
}

// currentAndPrevious returns the current and previous witnesses without
// duplicates.
func currentAndPrevious(w config.Witnesses) []string {
	ids := slices.Clone(w.Members)
	for _, id := range w.Previous {
		if !slices.Contains(w.Members, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func isWitness(w config.Witnesses, id string) bool {
	return slices.Contains(w.Members, id) || slices.Contains(w.Previous, id)
}
