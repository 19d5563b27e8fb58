package claim

import (
	"strings"

	"foxtailspoke/storage"
)

// write sends a transaction to the table. Its answer may be lost before or
// after it takes effect, and it may take effect long after that, or twice.
func (sim *simulation) write(t storage.Txn, answer func(storage.WriteResult)) {
	sim.writes++
	switch kind := sim.rng.IntN(20); {
	case sim.unavailable || kind == 0:
		answer(storage.WriteResult{})
	case kind < 3:
		sim.schedule(nil, func() { sim.commit(t) })
		answer(storage.WriteResult{})
	case kind == 3:
		sim.schedule(nil, func() { answer(sim.commit(t)) })
		sim.schedule(nil, func() { sim.commit(t) })
	default:
		sim.schedule(nil, func() { answer(sim.commit(t)) })
	}
}

// commit is the table's transaction.
func (sim *simulation) commit(t storage.Txn) storage.WriteResult {
	r := storage.WriteResult{Outcome: storage.Committed}
	for _, c := range t.Conditions {
		row, ok := sim.table[c.Key]
		if row.Revision != c.Revision {
			r.Outcome = storage.Conflict
			if ok {
				r.Current = append(r.Current, row)
			}
		}
	}
	if r.Outcome == storage.Conflict {
		return r
	}
	sim.revision++
	for _, p := range t.Puts {
		if p.Delete {
			delete(sim.table, p.Key)
			continue
		}
		sim.table[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Revision: sim.revision, Attempt: t.Attempt}
	}
	r.Revisions = map[storage.TableName]storage.Revision{storage.Claims: sim.revision}
	return r
}

func (sim *simulation) read(op *operationLog, n *simInstance, id ID, q storage.ReadRequest, call int) {
	if sim.unavailable || sim.chance(5) {
		sim.schedule(n, func() { sim.applyStep(op, n, id, n.claimer.HandleReadFailure(id), call) })
		return
	}
	ch := storage.Changes{Revision: sim.revision, Full: true}
	for key, row := range sim.table {
		if strings.HasPrefix(key, q.Prefix) {
			ch.Rows = append(ch.Rows, row)
		}
	}
	sim.schedule(n, func() { sim.applyStep(op, n, id, n.claimer.HandleReadResult(id, ch), call) })
}
