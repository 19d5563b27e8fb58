package membership

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

// witnessSetState is the state of this instance's maintenance of the list of
// witnesses. A seat is one place in that list.
type witnessSetState struct {
	// id of the write in flight; 0 if there is none.
	id uint64
	// sent is when the last write was sent, ended when it completed or timed out.
	sent, ended time.Duration
	// changeNeeded says that the list at revision rowRevision needs a change;
	// since is when that was first seen.
	changeNeeded bool
	since        time.Duration
	rowRevision  storage.Revision
	// next is when the list is checked again.
	next     time.Duration
	attempts uint64
}

// witnessCheckInterval is the time between checks of the list of witnesses.
const witnessCheckInterval = 200 * time.Millisecond

// witnessWriteTimeout bounds a write. After it the outcome is unknown; the
// condition on the row's revision ensures that the write is applied at most once.
const witnessWriteTimeout = 2 * time.Second

// tickWitnessSet changes the list of witnesses by one step if necessary. Every
// watcher does this; lower-ranked watchers wait longer, so that normally only
// one of them writes.
func (m *Member) tickWitnessSet(now time.Duration) []effect.Effect {
	if m.seats.id != 0 && now-m.seats.sent >= witnessWriteTimeout {
		m.seats.id, m.seats.ended = 0, now
	}
	if m.seats.id != 0 || now < m.seats.next {
		return nil
	}
	m.seats.next = now + witnessCheckInterval
	if !m.canUpdateWitnessSet(now) {
		return nil
	}
	row, _ := m.log.Row(config.WitnessesKey)
	next, inform, needed := m.planWitnessChange(row.Revision)
	if !needed {
		m.seats.changeNeeded = false
		return nil
	}
	if !m.isUpdateTurn(now, row.Revision) {
		return nil
	}
	if inform {
		return m.Require(now, row.Revision)
	}
	return m.writeWitnesses(now, row.Revision, next)
}

func (m *Member) maintainsWitnessSet() bool {
	return m.isWatcher() || (m.leaving && m.IsWitness())
}

// canUpdateWitnessSet says whether the instance has a current view of the table,
// from a read that started after its last write ended.
func (m *Member) canUpdateWitnessSet(now time.Duration) bool {
	if !m.maintainsWitnessSet() {
		return false
	}
	seen := m.table.failures == 0 && m.table.answered >= m.seats.ended
	return seen && m.Confirmation(now).State == ConfirmedByTable && len(m.dir.entryIDs) > 0
}

// isUpdateTurn says whether a change has been needed for so long that it is this
// instance's turn to write it. A witness that is leaving replaces itself at once.
func (m *Member) isUpdateTurn(now time.Duration, row storage.Revision) bool {
	if m.seats.rowRevision != row || !m.seats.changeNeeded {
		m.seats.changeNeeded, m.seats.rowRevision, m.seats.since = true, row, now
	}
	if m.leaving && m.IsWitness() {
		return true
	}
	turns := position(witnessKey, m.set.Self, m.dir.allWatchers())
	if len(m.log.Witnesses().Previous) == 0 {
		// The instance that chose the current witnesses may have had a newer
		// list of instances. Until the local list is up to date, a new witness
		// that it lacks looks as if it had ended.
		turns++
	}
	return now >= m.seats.since+time.Duration(turns)*m.set.SeatStagger
}

// planWitnessChange returns the next list and whether a change is needed. If
// inform is set, the witnesses must learn the current row before the next list is
// written.
func (m *Member) planWitnessChange(row storage.Revision) (next config.Witnesses, inform, needed bool) {
	w := m.log.Witnesses()
	if len(w.Members) == 0 {
		chosen := m.chooseWitnesses(nil, m.set.WitnessCount)
		return config.Witnesses{Members: chosen}, false, len(chosen) > 0
	}
	if len(w.Previous) > 0 {
		mayDrop := m.rules.canDropPrevious(m.inForce.majorityRevision(), row)
		return config.Witnesses{Members: w.Members}, !mayDrop, true
	}
	members, changed := m.replaceOneWitness(w.Members)
	return config.Witnesses{Members: members, Previous: w.Members}, false, changed
}

// replaceOneWitness returns the members with one change, and whether there is one.
// It replaces a witness that ended or is leaving, or removes it if there is no
// candidate; otherwise it adds a missing witness; otherwise it moves a witness
// out of a data centre that has too many.
func (m *Member) replaceOneWitness(members []string) ([]string, bool) {
	for _, id := range members {
		if !m.needsReplacement(id) {
			continue
		}
		next := m.chooseWitnesses(remove(members, id), len(members))
		return next, len(next) > 0
	}
	if len(members) < m.set.WitnessCount {
		next := m.chooseWitnesses(members, len(members)+1)
		return next, len(next) > len(members)
	}
	return m.rebalanceWitnesses(members)
}

// rebalanceWitnesses moves one witness from a data centre to another that has at
// least two fewer.
func (m *Member) rebalanceWitnesses(members []string) ([]string, bool) {
	counts := m.witnessesByDataCentre(members)
	for _, id := range members {
		i, _ := m.dir.Instance(id)
		for _, centre := range m.dir.DataCentres() {
			if counts[i.DataCentre] < counts[centre]+2 {
				continue
			}
			next := m.chooseWitnesses(remove(members, id), len(members))
			if m.witnessesByDataCentre(next)[i.DataCentre] < counts[i.DataCentre] {
				return next, true
			}
		}
	}
	return nil, false
}

// needsReplacement says whether a witness must be replaced because it ended, is
// leaving, or is no longer on the list of instances.
func (m *Member) needsReplacement(id string) bool {
	if id == m.set.Self && m.leaving {
		return true
	}
	i, ok := m.dir.Instance(id)
	return !ok || i.State != storage.Live
}

// chooseWitnesses adds live instances to kept until there are count or no
// candidates are left. It always adds the highest-ranked one of the data centre
// with the fewest witnesses.
func (m *Member) chooseWitnesses(kept []string, count int) []string {
	chosen := slices.Clone(kept)
	counts := m.witnessesByDataCentre(kept)
	ranked := m.dir.rankedWitnesses()
	for len(chosen) < count {
		best, fewest := "", 0
		for _, id := range ranked {
			n := counts[m.dir.instances[id].DataCentre]
			if (best != "" && n >= fewest) || slices.Contains(chosen, id) || m.needsReplacement(id) {
				continue
			}
			best, fewest = id, n
		}
		if best == "" {
			break
		}
		chosen = append(chosen, best)
		counts[m.dir.instances[best].DataCentre]++
	}
	return chosen
}

func (m *Member) witnessesByDataCentre(ids []string) map[string]int {
	counts := map[string]int{}
	for _, id := range ids {
		if i, ok := m.dir.Instance(id); ok {
			counts[i.DataCentre]++
		}
	}
	return counts
}

func (m *Member) writeWitnesses(now time.Duration, row storage.Revision, w config.Witnesses) []effect.Effect {
	value, err := json.Marshal(w)
	if err != nil {
		return nil
	}
	m.seats.attempts++
	m.seats.id = m.nextID()
	m.seats.sent = now
	m.seats.changeNeeded = false
	m.count.WitnessListWrites++
	txn := storage.Txn{
		Attempt: fmt.Sprintf("%s/%s/%d", m.set.Self, config.WitnessesKey, m.seats.attempts),
		Conditions: []storage.Condition{{
			Table: storage.Control, Key: config.WitnessesKey, Revision: row,
		}},
		Puts: []storage.Put{{Table: storage.Control, Key: config.WitnessesKey, Value: value}},
	}
	return []effect.Effect{effect.WriteTable{ID: m.seats.id, Txn: txn}}
}

// WriteDone handles the completion of a WriteTable effect. It ignores the outcome
// and requests a read of the table, which shows the resulting list.
func (m *Member) WriteDone(now time.Duration, id uint64, _ storage.WriteResult) []effect.Effect {
	if id == m.seats.id {
		m.seats.id, m.seats.ended = 0, now
		m.table.requested = true
	}
	return m.Tick(now)
}

func (m *Member) wakeWitnessSet() time.Duration {
	if m.seats.id != 0 {
		return m.seats.sent + witnessWriteTimeout
	}
	if !m.maintainsWitnessSet() {
		return never
	}
	return m.seats.next
}
