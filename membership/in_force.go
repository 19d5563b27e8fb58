package membership

import (
	"slices"
	"time"

	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

// inForceTracker is what the Member knows of which revisions are in inForceTracker.
type inForceTracker struct {
	// target is the highest revision that somebody waits for.
	target storage.Revision
	// known is the highest revision that each witness said it knows. A
	// witness never forgets, so neither does this.
	known map[string]storage.Revision
	// majorities are the revisions that a majority knew, ascending.
	majorities []majorityRecord
	// revision is the highest revision in force.
	revision storage.Revision
	// next is when to inform again the witnesses that don't know.
	next time.Duration
}

// majorityRecord is a revision that a majority of the witnesses knew at a time. Its
// end counts for this revision and lower ones, never for a later one: an
// instance that gets a part, loses it and gets it again waits again.
type majorityRecord struct {
	revision storage.Revision
	at       time.Duration
}

func newInForceTracker() inForceTracker {
	return inForceTracker{known: map[string]storage.Revision{}}
}

func (f *inForceTracker) recordRevision(id string, r storage.Revision) {
	f.known[id] = max(f.known[id], r)
}

// majorityRevision is the highest revision that a majority is known to know.
func (f *inForceTracker) majorityRevision() storage.Revision {
	if n := len(f.majorities); n > 0 {
		return f.majorities[n-1].revision
	}
	return f.revision
}

// Require starts finding out whether a majority of the witnesses knows a
// revision, and tells them if they don't. For a revision that the replica
// lacks, say the outcome of an own write, it reads the table first.
func (m *Member) Require(now time.Duration, rev storage.Revision) []effect.Effect {
	if rev <= m.inForce.target {
		return nil
	}
	m.inForce.target = rev
	m.inForce.next = now
	m.updateMajority(now)
	return m.Tick(now)
}

// InForce says whether nobody acts on anything older than a revision any
// more. It becomes true only after Require, or a later one's.
func (m *Member) InForce(now time.Duration, rev storage.Revision) bool {
	m.advanceInForce(now)
	return m.rules.isInForce(m.inForce.revision, rev)
}

// PendingWitnesses returns the witnesses that a revision waits for: those that
// haven't said that they know it and haven't ended. It is empty if a
// majority knows it.
func (m *Member) PendingWitnesses(rev storage.Revision) []string {
	if rev <= m.inForce.majorityRevision() {
		return nil
	}
	var missing []string
	for _, id := range currentAndPrevious(m.log.Witnesses()) {
		if !m.witnessKnows(id, rev) {
			missing = append(missing, id)
		}
	}
	return missing
}

func (m *Member) advanceInForce(now time.Duration) {
	for len(m.inForce.majorities) > 0 && now >= m.inForce.majorities[0].at+m.rules.inForceDelay {
		m.inForce.revision = m.inForce.majorities[0].revision
		m.inForce.majorities = m.inForce.majorities[1:]
	}
}

// witnessKnows says whether an instance can't answer any more that it witnessKnows nothing
// as new as a revision.
func (m *Member) witnessKnows(id string, rev storage.Revision) bool {
	if id == m.set.Self {
		return m.log.Revision() >= rev
	}
	return m.inForce.known[id] >= rev || m.hasEnded(id)
}

// updateMajority notes the highest revision that a majority knows by now. Only
// revisions that the replica has count, because only then it has the list
// of witnesses that must know them.
func (m *Member) updateMajority(now time.Duration) {
	own := m.log.Revision()
	if m.inForce.target == 0 || m.inForce.majorityRevision() >= own {
		return
	}
	for _, rev := range m.candidateRevisions(own) {
		if rev <= m.inForce.majorityRevision() {
			return
		}
		knows := func(id string) bool { return m.witnessKnows(id, rev) }
		if m.rules.knownByQuorum(m.log.Witnesses(), knows) {
			m.inForce.majorities = append(m.inForce.majorities, majorityRecord{revision: rev, at: now})
			return
		}
	}
}

// candidateRevisions returns the revisions at which the count of witnesses that
// know can change, up to the replica's own, highest first.
func (m *Member) candidateRevisions(own storage.Revision) []storage.Revision {
	revisions := []storage.Revision{own}
	for _, id := range currentAndPrevious(m.log.Witnesses()) {
		revisions = append(revisions, min(own, m.inForce.known[id]))
	}
	slices.Sort(revisions)
	slices.Reverse(revisions)
	return slices.Compact(revisions)
}

func (m *Member) tickInForce(now time.Duration) []effect.Effect {
	if m.inForce.majorityRevision() >= m.inForce.target || now < m.inForce.next {
		return nil
	}
	m.inForce.next = now + m.set.CallTimeout
	if m.log.Revision() < m.inForce.target {
		m.table.requested = true
		return m.tickTable(now)
	}
	return m.informWitnesses(now)
}

func (m *Member) informWitnesses(now time.Duration) []effect.Effect {
	var out []effect.Effect
	for _, id := range currentAndPrevious(m.log.Witnesses()) {
		if m.witnessKnows(id, m.inForce.target) {
			continue
		}
		known := m.inForce.known[id]
		if known == 0 {
			out = append(out, m.callWitness(now, id, 0, nil, 0))
			continue
		}
		out = append(out, m.callWitness(now, id, 0, m.offerChanges(known), known))
	}
	return out
}

func (m *Member) wakeInForce() time.Duration {
	next := never
	if m.inForce.majorityRevision() < m.inForce.target {
		next = m.inForce.next
	}
	if len(m.inForce.majorities) > 0 {
		next = min(next, m.inForce.majorities[0].at+m.rules.inForceDelay)
	}
	return next
}

// hasEnded says that an instance will never answer again.
func (m *Member) hasEnded(id string) bool {
	i, ok := m.dir.Instance(id)
	return ok && i.State == storage.Ended
}
