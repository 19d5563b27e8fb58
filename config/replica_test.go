package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"foxtailspoke/storage"
)

// Guards against a delayed response that restores a withdrawn API key. The key is
// withdrawn at revision 5; a relay's response at revision 4 arrives after that.
func TestReplicaDropsOlderChanges(t *testing.T) {
	h := HashKey("fsk_test")
	issued := storage.Row{Key: APIKeyPrefix + h.String(), Value: []byte(`{"workspace":"a"}`), Revision: 4}
	withdrawn := storage.Row{Key: issued.Key, Revision: 5, Deleted: true}
	w := storage.Row{Key: WorkspacePrefix + "a", Value: []byte(`{"plan":"p"}`), Revision: 3}

	r := NewReplica()
	must.True(t, r.Apply(storage.Changes{Revision: 4, Rows: []storage.Row{w, issued}}))
	_, ok := r.WorkspaceByKey(h)
	must.True(t, ok)
	must.True(t, r.Apply(storage.Changes{Revision: 5, Rows: []storage.Row{withdrawn}}))
	must.False(t, r.Apply(storage.Changes{Revision: 4, Rows: []storage.Row{w, issued}}))
	_, ok = r.WorkspaceByKey(h)
	must.False(t, ok)
	must.Eq(t, storage.Revision(5), r.Revision())
}

// The index must give the same result as a linear search through all prefixes.
func TestRouteFindsTheLongestPrefix(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "ab", ""})
	path := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(segment, 0, 5).Draw(t, "segments"), "/")
	})
	rapid.Check(t, func(t *rapid.T) {
		services := map[string]Service{}
		var prefixes []string
		for i, p := range rapid.SliceOfNDistinct(path, 0, 12, rapid.ID).Draw(t, "prefixes") {
			name := fmt.Sprint("s", i)
			services[name] = Service{Name: name, Routes: []Route{{Prefix: p}}}
			prefixes = append(prefixes, p)
		}
		index := newRouteIndex(services)
		wanted := path.Draw(t, "path")
		if len(prefixes) > 0 && rapid.Bool().Draw(t, "below") {
			wanted = rapid.SampledFrom(prefixes).Draw(t, "prefix") + strings.TrimPrefix(wanted, "/")
		}
		want := ""
		for _, p := range prefixes {
			if strings.HasSuffix(p, "/") && strings.HasPrefix(wanted, p) && len(p) > len(want) {
				want = p
			}
		}
		got, found := index.longestPrefix(wanted)
		must.Eq(t, want, got.Prefix)
		must.Eq(t, want != "", found)
	})
}

func TestUnreadableRowsGrantNothing(t *testing.T) {
	h := HashKey("fsk_test")
	r := NewReplica()
	must.True(t, r.Apply(storage.Changes{Revision: 1, Rows: []storage.Row{
		{Key: WorkspacePrefix + "a", Value: []byte(`{"plan":"p"}`), Revision: 1},
		{Key: APIKeyPrefix + h.String(), Value: []byte(`{"workspace":"a"`), Revision: 1},
		{Key: APIKeyPrefix + strings.ToUpper(h.String()), Value: []byte(`{"workspace":"a"}`), Revision: 1},
		{Key: packHash(h), Value: []byte(`{"workspace":"a"}`), Revision: 1},
	}}))
	_, ok := r.WorkspaceByKey(h)
	must.False(t, ok)
	must.Len(t, 2, r.RowKeys(APIKeyPrefix))
	must.Eq(t, []string{packHash(h)}, r.RowKeys(hashTag))
}

// Guards against unbounded memory use by tombstones when API keys are issued and
// withdrawn over years.
func TestTombstonesAreBounded(t *testing.T) {
	r := NewReplica()
	for i := range 5 * maxTombstones {
		revision := storage.Revision(i + 1)
		key := keyRow(i)
		key.Revision, key.Deleted = revision, true
		must.True(t, r.Apply(storage.Changes{Revision: revision, Rows: []storage.Row{key}}))
	}
	must.LessEq(t, maxTombstones, len(r.rows.byKey))
	must.LessEq(t, 2*maxTombstones, len(r.rows.log))
	must.True(t, r.Since(r.HistoryStart()-1).Full)
	must.False(t, r.Since(r.HistoryStart()).Full)
}

// Guards against a change log that grows when a single row is rewritten many
// times, as the row of a shard is.
func TestRewritesAreBounded(t *testing.T) {
	r := NewReplica()
	for i := range 10_000 {
		w := workspaceRow(1)
		w.Revision = storage.Revision(i + 1)
		must.True(t, r.Apply(storage.Changes{Revision: w.Revision, Rows: []storage.Row{w}}))
	}
	must.LessEq(t, 2*minSuperseded, len(r.rows.log))
	must.Len(t, 1, r.Since(0).Rows)
}

// Guards against missed rows: if a sender's rows aren't ordered by revision, a
// replica that pulls from the receiver must still get all of them.
func TestUnorderedRowsAreOrdered(t *testing.T) {
	r := NewReplica()
	c := storage.Changes{Revision: 9, Rows: []storage.Row{workspaceRow(8), workspaceRow(3), workspaceRow(5)}}
	must.True(t, r.Apply(c))
	var got []storage.Revision
	for _, row := range r.Since(4).Rows {
		got = append(got, row.Revision)
	}
	must.Eq(t, []storage.Revision{6, 9}, got)
}

// Responses to overlapping reads can arrive out of order. A row in newer changes
// that is older than the replica's must not replace it.
func TestOlderRowInNewerChangesIsDropped(t *testing.T) {
	r := NewReplica()
	old, current := workspaceRow(1), workspaceRow(1)
	old.Revision, current.Revision, current.Value = 2, 5, []byte(`{"plan":"new"}`)
	must.True(t, r.Apply(storage.Changes{Revision: 5, Rows: []storage.Row{current}}))
	must.True(t, r.Apply(storage.Changes{Revision: 6, Rows: []storage.Row{old}}))
	row, ok := r.Row(old.Key)
	must.True(t, ok)
	must.Eq(t, storage.Revision(5), row.Revision)
}

// The route index must match the service's row after every kind of change.
func TestRoutesFollowTheServices(t *testing.T) {
	yes, no := true, false
	r := NewReplica()
	for i, s := range []Service{
		{Routes: []Route{{Prefix: "/a/"}}},
		{Floor: 2, Routes: []Route{{Prefix: "/a/"}}},
		{Routes: []Route{{Prefix: "/a/", Idempotent: &yes}}},
		{Routes: []Route{{Prefix: "/a/", Idempotent: &no}}},
		{Routes: []Route{{Prefix: "/a/"}, {Prefix: "/b/"}}},
		{Routes: []Route{{Prefix: "/b/"}}},
		{},
	} {
		change := row(ServicePrefix+"s", s, i)
		change.Deleted = len(s.Routes) == 0
		must.True(t, r.Apply(storage.Changes{Revision: change.Revision, Rows: []storage.Row{change}}))
		for _, path := range []string{"/a/", "/b/"} {
			at := slices.IndexFunc(s.Routes, func(route Route) bool { return route.Prefix == path })
			_, got, ok := r.Route(path)
			must.Eq(t, at >= 0, ok)
			if ok {
				must.Eq(t, s.Routes[at], got)
			}
		}
	}
}
