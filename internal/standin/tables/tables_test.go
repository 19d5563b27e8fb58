package tables_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"foxtailspoke/internal/standin/tables"
	"foxtailspoke/storage"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var tableNames = []storage.TableName{storage.Control, storage.Audit, storage.Claims}

// model is a reference implementation of the store: an unsorted list of rows
// per table, searched linearly.
type model map[storage.TableName][]storage.Row

func (m model) revision(t storage.TableName) storage.Revision {
	var r storage.Revision
	for _, row := range m[t] {
		r = max(r, row.Revision)
	}
	return r
}

func (m model) liveRevision(t storage.TableName, key string) storage.Revision {
	for _, row := range m[t] {
		if row.Key == key && !row.Deleted {
			return row.Revision
		}
	}
	return 0
}

func (m model) write(txn storage.Txn) bool {
	for _, c := range txn.Conditions {
		if m.liveRevision(c.Table, c.Key) != c.Revision {
			return false
		}
	}
	next := map[storage.TableName]storage.Revision{}
	for _, t := range tableNames {
		next[t] = m.revision(t) + 1
	}
	for _, p := range txn.Puts {
		m[p.Table] = slices.DeleteFunc(m[p.Table], func(r storage.Row) bool { return r.Key == p.Key })
		m[p.Table] = append(m[p.Table], storage.Row{
			Key: p.Key, Value: p.Value, Revision: next[p.Table], Attempt: txn.Attempt, Deleted: p.Delete,
		})
	}
	return true
}

func (m model) read(r storage.ReadRequest) storage.Changes {
	c := storage.Changes{Revision: m.revision(r.Table), Full: r.Since == 0}
	for _, row := range m[r.Table] {
		if row.Revision > r.Since && strings.HasPrefix(row.Key, r.Prefix) && (!c.Full || !row.Deleted) {
			c.Rows = append(c.Rows, row)
		}
	}
	return c
}

func drawTxn(t *rapid.T, m model, n int) storage.Txn {
	table := rapid.SampledFrom(tableNames)
	key := rapid.SampledFrom([]string{"a/1", "a/2", "b/1", "b"})
	txn := storage.Txn{Attempt: fmt.Sprint(n)}
	for range rapid.IntRange(0, 2).Draw(t, "conditions") {
		c := storage.Condition{Table: table.Draw(t, "table"), Key: key.Draw(t, "key")}
		c.Revision = m.liveRevision(c.Table, c.Key)
		if rapid.IntRange(0, 3).Draw(t, "wrong") == 0 {
			c.Revision += storage.Revision(rapid.IntRange(0, 2).Draw(t, "off"))
		}
		txn.Conditions = append(txn.Conditions, c)
	}
	seen := map[string]bool{}
	for range rapid.IntRange(1, 3).Draw(t, "puts") {
		p := storage.Put{Table: table.Draw(t, "table"), Key: key.Draw(t, "key")}
		if p.Delete = rapid.Bool().Draw(t, "delete"); !p.Delete {
			p.Value = []byte{byte(n)}
		}
		if id := string(p.Table) + p.Key; !seen[id] {
			seen[id] = true
			txn.Puts = append(txn.Puts, p)
		}
	}
	return txn
}

func TestStoreMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, m := tables.New(), model{}
		for n := range rapid.IntRange(1, 300).Draw(t, "steps") {
			before := maps.Clone(s.Revisions())
			txn := drawTxn(t, m, n)
			result, err := s.Write(txn)
			must.NoError(t, err)
			must.Eq(t, m.write(txn), result.Outcome == storage.Committed)
			touched := map[storage.TableName]storage.Revision{}
			for _, p := range txn.Puts {
				touched[p.Table] = before[p.Table] + 1
			}
			if result.Outcome == storage.Committed {
				must.Eq(t, touched, result.Revisions)
			}
			for _, name := range tableNames {
				must.Eq(t, m.revision(name), s.Revisions()[name])
			}
			r := storage.ReadRequest{
				Table:  rapid.SampledFrom(tableNames).Draw(t, "table"),
				Since:  storage.Revision(rapid.IntRange(0, n+1).Draw(t, "since")),
				Prefix: rapid.SampledFrom([]string{"", "a/", "b", "c"}).Draw(t, "prefix"),
			}
			c, err := s.Read(r)
			must.NoError(t, err)
			requireSameChanges(t, m.read(r), c)
		}
	})
}

// requireSameChanges checks that the rows of got are in ascending order of
// revision and compares the changes, ignoring the order within a revision.
func requireSameChanges(t *rapid.T, want, got storage.Changes) {
	must.True(t, slices.IsSortedFunc(got.Rows, func(a, b storage.Row) int { return int(a.Revision) - int(b.Revision) }))
	byKey := func(a, b storage.Row) int { return strings.Compare(a.Key, b.Key) }
	slices.SortFunc(want.Rows, byKey)
	slices.SortFunc(got.Rows, byKey)
	must.Eq(t, want, got)
}

// A transaction has a condition on a row that another transaction changed, one
// on a deleted row and one that holds. The conflict must return the current
// state of the first row only, and no table may change.
func TestConflictReturnsCurrentRows(t *testing.T) {
	s := tables.New()
	puts := []storage.Put{
		{Table: storage.Control, Key: "changed", Value: []byte("v")},
		{Table: storage.Control, Key: "gone"},
		{Table: storage.Claims, Key: "holds"},
	}
	_, err := s.Write(storage.Txn{Attempt: "1", Puts: puts})
	must.NoError(t, err)
	_, err = s.Write(storage.Txn{Attempt: "2", Puts: []storage.Put{{Table: storage.Control, Key: "gone", Delete: true}}})
	must.NoError(t, err)

	result, err := s.Write(storage.Txn{
		Attempt: "3",
		Conditions: []storage.Condition{
			{Table: storage.Control, Key: "changed", Revision: 2},
			{Table: storage.Control, Key: "gone", Revision: 1},
			{Table: storage.Claims, Key: "holds", Revision: 1},
		},
		Puts: []storage.Put{{Table: storage.Audit, Key: "a"}, {Table: storage.Control, Key: "changed"}},
	})
	must.NoError(t, err)
	row := storage.Row{Key: "changed", Value: []byte("v"), Revision: 1, Attempt: "1"}
	must.Eq(t, storage.WriteResult{Outcome: storage.Conflict, Current: []storage.Row{row}}, result)
	want := map[storage.TableName]storage.Revision{storage.Control: 2, storage.Audit: 0, storage.Claims: 1}
	must.Eq(t, want, s.Revisions())
}

func TestMalformedRequestsRejected(t *testing.T) {
	ok := storage.Put{Table: storage.Control, Key: "k"}
	for name, txn := range map[string]storage.Txn{
		"no attempt":         {Puts: []storage.Put{ok}},
		"no puts":            {Attempt: "a"},
		"no key":             {Attempt: "a", Puts: []storage.Put{{Table: storage.Control}}},
		"same row twice":     {Attempt: "a", Puts: []storage.Put{ok, ok}},
		"no such table":      {Attempt: "a", Puts: []storage.Put{{Table: "x", Key: "k"}}},
		"no condition table": {Attempt: "a", Puts: []storage.Put{ok}, Conditions: []storage.Condition{{Table: "x"}}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := tables.New().Write(txn)
			must.ErrorIs(t, err, tables.ErrMalformed)
		})
	}
	_, err := tables.New().Read(storage.ReadRequest{Table: "x"})
	must.ErrorIs(t, err, tables.ErrMalformed)
}
