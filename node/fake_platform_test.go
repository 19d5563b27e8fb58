package node

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"foxtailspoke/storage"
)

// table is one of the platform's tables.
type table struct {
	rows     map[string]storage.Row
	revision storage.Revision
}

// putRow commits a row of the control table immediately, as an operator does.
func (f *fleet) putRow(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	f.commit(storage.Txn{Puts: []storage.Put{{Table: storage.Control, Key: key, Value: data}}})
}

func (f *fleet) deleteRow(key string) {
	f.commit(storage.Txn{Puts: []storage.Put{{Table: storage.Control, Key: key, Delete: true}}})
}

func (f *fleet) commit(t storage.Txn) storage.WriteResult {
	result := storage.WriteResult{Outcome: storage.Committed, Revisions: map[storage.TableName]storage.Revision{}}
	for _, c := range t.Conditions {
		row := f.tables[c.Table].rows[c.Key]
		if row.Deleted {
			row.Revision = 0
		}
		if row.Revision != c.Revision {
			result.Outcome = storage.Conflict
		}
		if row.Revision > 0 {
			result.Current = append(result.Current, row)
		}
	}
	if result.Outcome == storage.Conflict {
		return result
	}
	result.Current = nil
	for _, p := range t.Puts {
		to := f.tables[p.Table]
		if result.Revisions[p.Table] == 0 {
			to.revision++
			result.Revisions[p.Table] = to.revision
		}
		to.rows[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Revision: to.revision, Attempt: t.Attempt, Deleted: p.Delete}
	}
	return result
}

func (f *fleet) readTable(r storage.ReadRequest) storage.Changes {
	from := f.tables[r.Table]
	c := storage.Changes{Revision: from.revision, Full: r.Since == 0}
	for _, row := range from.rows {
		if row.Revision > r.Since && strings.HasPrefix(row.Key, r.Prefix) {
			c.Rows = append(c.Rows, row)
		}
	}
	slices.SortFunc(c.Rows, func(a, b storage.Row) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return c
}

// callPlatform carries out a platform call after one hop and delivers its result,
// or failed after readTimeout if the platform cannot be reached.
func (f *fleet) callPlatform(i *instance, call func() Event, failed Event) {
	ended := false
	end := func(e Event) {
		if !ended {
			ended = true
			f.step(i, e)
		}
	}
	f.after(linkDelay, func() {
		if f.platformDown || !f.reachable(i.name, "table") {
			return
		}
		e := call()
		if f.reachable("table", i.name) {
			f.after(linkDelay, func() { end(e) })
		}
	})
	f.after(readTimeout, func() { end(failed) })
}
