package config

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"foxtailspoke/internal/standin/tables"
	"foxtailspoke/storage"
)

// TestMain sets the default seed and number of random histories. The flags
// -rapid.seed and -rapid.checks override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260302")
	_ = flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

// Guards against an instance that keeps a withdrawn API key indefinitely. The
// instance is partitioned during the withdrawal and catches up from a relay that
// started later: the relay read the whole table, which has no tombstone for the
// key. The relay must send the whole table instead of an incremental update.
func TestRelayThatReadTheWholeTableForwardsDeletions(t *testing.T) {
	store := tables.New()
	h := HashKey("fsk_test")
	write(t, store, storage.Put{Key: WorkspacePrefix + "a", Value: []byte(`{"plan":"p"}`)})
	write(t, store, storage.Put{Key: APIKeyPrefix + h.String(), Value: []byte(`{"workspace":"a"}`)})
	instance, relay := NewReplica(), NewReplica()
	must.True(t, instance.Apply(read(t, store, 0)))
	write(t, store, storage.Put{Key: APIKeyPrefix + h.String(), Delete: true})
	must.True(t, relay.Apply(read(t, store, 0)))
	must.True(t, instance.Apply(relay.Since(instance.Revision())))
	must.Eq(t, relay.Revision(), instance.Revision())
	_, ok := instance.WorkspaceByKey(h)
	must.False(t, ok)
}

// Replicas read the table or pull from each other in random order, restart, and
// prune tombstones. A replica at a revision must have exactly the rows that the
// table had at that revision.
func TestReplicationIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := tables.New()
		rowsAtRevision := map[storage.Revision]map[string]string{0: {}}
		replicas := make([]*Replica, 4)
		for i := range replicas {
			replicas[i] = NewReplica()
		}
		drawReplica := func(t *rapid.T, what string) int { return rapid.IntRange(0, len(replicas)-1).Draw(t, what) }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				var puts []storage.Put
				for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 1, 3, rapid.ID).Draw(t, "rows") {
					value := fmt.Sprintf(`{"plan":"p%d"}`, rapid.IntRange(0, 9).Draw(t, "value"))
					puts = append(puts, storage.Put{Key: fmt.Sprintf("%s%d", WorkspacePrefix, n), Value: []byte(value), Delete: rapid.Bool().Draw(t, "delete")})
				}
				write(t, store, puts...)
				c := read(t, store, 0)
				rowsAtRevision[c.Revision] = contents(c.Rows)
			},
			"read": func(t *rapid.T) {
				r := replicas[drawReplica(t, "reader")]
				r.Apply(read(t, store, r.Revision()))
			},
			"pull": func(t *rapid.T) {
				to, from := replicas[drawReplica(t, "to")], replicas[drawReplica(t, "from")]
				c := from.Since(to.Revision())
				for _, row := range c.Rows {
					must.True(t, c.Full || row.Revision > to.Revision(), must.Sprint("sent a row that the receiver already had"))
				}
				to.Apply(c)
			},
			"restart": func(t *rapid.T) { replicas[drawReplica(t, "restarted")] = NewReplica() },
			"prune": func(t *rapid.T) {
				replicas[drawReplica(t, "pruned")].pruneTombstones(rapid.IntRange(0, 2).Draw(t, "keep"))
			},
			"": func(t *rapid.T) {
				for _, r := range replicas {
					must.Eq(t, rowsAtRevision[r.Revision()], contents(r.Since(0).Rows))
					present := map[string]bool{}
					for w := range r.Workspaces() {
						must.False(t, present[w.Name])
						present[w.Name] = true
						must.Eq(t, rowsAtRevision[r.Revision()][WorkspacePrefix+w.Name], fmt.Sprintf(`{"plan":%q}`, w.Plan))
					}
					must.MapLen(t, len(present), rowsAtRevision[r.Revision()])
					for name := range rowsAtRevision[r.Revision()] {
						_, ok := r.Row(name)
						must.True(t, ok)
					}
				}
			},
		})
	})
}

func contents(rows []storage.Row) map[string]string {
	m := map[string]string{}
	for _, row := range rows {
		if !row.Deleted {
			m[row.Key] = string(row.Value)
		}
	}
	return m
}

func write(t must.T, store *tables.Store, puts ...storage.Put) {
	for i := range puts {
		puts[i].Table = storage.Control
	}
	result, err := store.Write(storage.Txn{Attempt: "a", Puts: puts})
	must.NoError(t, err)
	must.Eq(t, storage.Committed, result.Outcome)
}

func read(t must.T, store *tables.Store, since storage.Revision) storage.Changes {
	c, err := store.Read(storage.ReadRequest{Table: storage.Control, Since: since})
	must.NoError(t, err)
	return c
}
