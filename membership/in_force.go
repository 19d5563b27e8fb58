package membership

import (
	"slices"
	"time"

	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

// inForceTracker tracks which revisions are in force.
type inForceTracker struct {
	// target is the highest revision passed to Require.
	target storage.Revision
	// knownRevisions is the highest revision that each witness reported. A
	// witness never goes back to an older one, so the entries only rise.
	knownRevisions map[string]storage.Revision
	// majorities are the revisions that a majority knew, in ascending order,
	// until each is in force.
	majorities []majorityRecord
	// revision is the highest revision known to be in force.
	revision storage.Revision
	// next is when to send the target again to witnesses that lack it.
	next time.Duration
}

// majorityRecord is a revision that a majority of the witnesses knew at a
// given time. When its delay has passed, this revision and lower ones are in
// force, but no later one: an instance that is given a part, loses it and is
// given it again waits again.
type majorityRecord struct {
	revision storage.Revision
	at       time.Duration
}

func newInForceTracker() inForceTracker {
	return inForceTracker{knownRevisions: map[string]storage.Revision{}}
}

func (f *inForceTracker) recordRevision(id string, r storage.Revision) {
	f.knownRevisions[id] = max(f.knownRevisions[id], r)
}

// majorityRevision returns the highest revision that a majority is known to
// know.
func (f *inForceTracker) majorityRevision() storage.Revision {
	if n := len(f.majorities); n > 0 {
		return f.majorities[n-1].revision
	}
	return f.revision
}

// Require starts to determine when a revision is in force: it asks the
// witnesses which revision they know and sends them the changes that they
// lack. If the replica lacks the revision, for example after a write by this
// instance, it reads the table first.
func (m *Member) Require(now time.Duration, rev storage.Revision) []effect.Effect {
	if rev <= m.inForce.target {
		return nil
	}
	m.inForce.target = rev
	m.inForce.next = now
	m.updateMajority(now)
	return m.Tick(now)
}

// InForce reports whether no instance acts on a state older than a revision.
// It becomes true only after Require was called for this revision or a later
// one.
func (m *Member) InForce(now time.Duration, rev storage.Revision) bool {
	m.advanceInForce(now)
	return m.rules.isInForce(m.inForce.revision, rev)
}

// PendingWitnesses returns the witnesses that have neither reported that they
// know a revision nor ended. It is empty if a majority knows the revision.
func (m *Member) PendingWitnesses(rev storage.Revision) []string {
	if rev <= m.inForce.majorityRevision() {
		return nil
	}
	var pending []string
	for _, id := range currentAndPrevious(m.log.Witnesses()) {
		if !m.witnessKnows(id, rev) {
			pending = append(pending, id)
		}
	}
	return pending
}

func (m *Member) advanceInForce(now time.Duration) {
	for len(m.inForce.majorities) > 0 && now >= m.inForce.majorities[0].at+m.rules.inForceDelay {
		m.inForce.revision = m.inForce.majorities[0].revision
		m.inForce.majorities = m.inForce.majorities[1:]
	}
}

// witnessKnows reports whether a witness can no longer answer with a revision
// older than rev, because it knows rev or has ended.
func (m *Member) witnessKnows(id string, rev storage.Revision) bool {
	if id == m.set.Self {
		return m.log.Revision() >= rev
	}
	return m.inForce.knownRevisions[id] >= rev || m.hasEnded(id)
}

// updateMajority records the highest revision that a majority knows by now.
// Only revisions that the replica has are considered, because the replica must
// contain the list of witnesses that have to know them.
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

// candidateRevisions returns the revisions, up to the replica's own, at which
// the number of witnesses that know the revision can change, highest first.
func (m *Member) candidateRevisions(own storage.Revision) []storage.Revision {
	revisions := []storage.Revision{own}
	for _, id := range currentAndPrevious(m.log.Witnesses()) {
		revisions = append(revisions, min(own, m.inForce.knownRevisions[id]))
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
		known := m.inForce.knownRevisions[id]
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

// hasEnded reports whether the platform's list shows an instance as ended,
// after which it never answers again.
func (m *Member) hasEnded(id string) bool {
	i, ok := m.dir.Instance(id)
	return ok && i.State == storage.Ended
}
