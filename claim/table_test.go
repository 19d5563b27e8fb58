package claim

import (
	"strings"

	"foxtailspoke/storage"
)

// write sends a transaction to the table. Its answer may be lost before or
// after it takes effect, and it may take effect long after that, or twice.
func (w *world) write(t storage.Txn, answer func(storage.WriteResult)) {
	w.writes++
	switch kind := w.rng.IntN(20); {
	case w.away || kind == 0:
		answer(storage.WriteResult{})
	case kind < 3:
		w.add(nil, func() { w.commit(t) })
		answer(storage.WriteResult{})
	case kind == 3:
		w.add(nil, func() { answer(w.commit(t)) })
		w.add(nil, func() { w.commit(t) })
	default:
		w.add(nil, func() { answer(w.commit(t)) })
	}
}

// commit is the table's transaction.
func (w *world) commit(t storage.Txn) storage.WriteResult {
	r := storage.WriteResult{Outcome: storage.Committed}
	for _, c := range t.Conditions {
		row, ok := w.table[c.Key]
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
	w.revision++
	for _, p := range t.Puts {
		if p.Delete {
			delete(w.table, p.Key)
			continue
		}
		w.table[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Revision: w.revision, Attempt: t.Attempt}
	}
	r.Revisions = map[storage.TableName]storage.Revision{storage.Claims: w.revision}
	return r
}

func (w *world) read(op *operationLog, n *node, id ID, q storage.ReadRequest, call int) {
	if w.away || w.chance(5) {
		w.add(n, func() { w.follow(op, n, id, n.claimer.HandleReadFailure(id), call) })
		return
	}
	ch := storage.Changes{Revision: w.revision, Full: true}
	for key, row := range w.table {
		if strings.HasPrefix(key, q.Prefix) {
			ch.Rows = append(ch.Rows, row)
		}
	}
	w.add(n, func() { w.follow(op, n, id, n.claimer.HandleReadResult(id, ch), call) })
}
