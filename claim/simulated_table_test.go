package claim

import (
	"strings"

	"foxtailspoke/storage"
)

// write sends a transaction to the table. The request or the response may be
// lost, and the transaction may take effect late or be delivered twice.
func (sim *simulation) write(t storage.Txn, respond func(storage.WriteResult)) {
	sim.writes++
	switch kind := sim.rng.IntN(20); {
	case sim.unavailable || kind == 0:
		respond(storage.WriteResult{})
	case kind < 3:
		sim.schedule(nil, func() { sim.commit(t) })
		respond(storage.WriteResult{})
	case kind == 3:
		sim.schedule(nil, func() { respond(sim.commit(t)) })
		sim.schedule(nil, func() { sim.commit(t) })
	default:
		sim.schedule(nil, func() { respond(sim.commit(t)) })
	}
}

// commit applies a transaction if all of its conditions hold.
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

func (sim *simulation) read(op *operationLog, inst *simInstance, id ID, q storage.ReadRequest, call int) {
	if sim.unavailable || sim.chance(5) {
		sim.schedule(inst, func() { sim.applyStep(op, inst, id, inst.claimer.HandleReadFailure(id), call) })
		return
	}
	ch := storage.Changes{Revision: sim.revision, Full: true}
	for key, row := range sim.table {
		if strings.HasPrefix(key, q.Prefix) {
			ch.Rows = append(ch.Rows, row)
		}
	}
	sim.schedule(inst, func() { sim.applyStep(op, inst, id, inst.claimer.HandleReadResult(id, ch), call) })
}
