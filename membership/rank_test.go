package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"foxtailspoke/storage"
)

// Removing an id must not change the order of the others, so that only the roles
// of the removed instance move.
func TestRankKeepsOrderWhenIDRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 2, 20, rapid.ID).Draw(t, "ids")
		key := rapid.String().Draw(t, "key")
		removed := rapid.SampledFrom(ids).Draw(t, "removed")
		ranked := Rank(key, ids)
		must.Eq(t, ranked[0], TopRanked(key, ids))
		must.Eq(t, slices.Index(ranked, removed), position(key, removed, ids))
		must.Eq(t, remove(ranked, removed), Rank(key, remove(ids, removed)))
	})
}

func entryInstance(id, centre string) storage.Instance {
	return storage.Instance{ID: id, Kind: storage.Entry, DataCentre: centre, State: storage.Live}
}

func entryInstances(n, centres int) []storage.Instance {
	var all []storage.Instance
	for i := range n {
		all = append(all, entryInstance(fmt.Sprintf("i%04d", i), fmt.Sprintf("dc%d", i%centres)))
	}
	return all
}

func TestDirectoryRoles(t *testing.T) {
	d := newDirectory(Settings{}.withDefaults())
	must.True(t, d.apply(storage.InstanceChanges{Version: 1, Full: true, Changed: entryInstances(400, 4)}))
	must.Len(t, 3, d.Watchers("dc0"))
	must.Eq(t, Rank(collectorKey+"s", d.entryIDs)[0], d.Collector("s"))
	centres := map[string]bool{}
	for _, id := range d.HolderCandidates("shard", 4) {
		i, _ := d.Instance(id)
		centres[i.DataCentre] = true
	}
	must.MapLen(t, 4, centres)
	must.Len(t, 400, d.HolderCandidates("shard", 1000))

	// A caller whose version is older than the last full list gets a full list.
	must.True(t, d.apply(storage.InstanceChanges{Version: 2, Changed: []storage.Instance{
		{ID: "i0000", Kind: storage.Entry, DataCentre: "dc0", State: storage.Leaving},
		{ID: "b", Kind: storage.BackendServer, Service: "s", State: storage.Leaving},
	}}))
	must.False(t, d.apply(storage.InstanceChanges{Version: 2}))
	must.Len(t, 399, d.Entries())
	must.Len(t, 1, d.Servers("s"))
	must.Len(t, 2, d.changesSince(1).Changed)
	must.True(t, d.changesSince(0).Full)
	must.Len(t, 401, d.changesSince(0).Changed)

	// When too many ended instances are remembered, the oldest are dropped, and
	// callers older than those get the full list.
	for version, n := range []int{3: 600, 4: 500} {
		ended := entryInstances(n, 1)
		for i := range ended {
			ended[i].ID, ended[i].State = fmt.Sprintf("%d-%d", version, i), storage.Ended
		}
		d.apply(storage.InstanceChanges{Version: uint64(version), Changed: ended})
	}
	must.Len(t, 401+maxEndedInstances/2, d.changesSince(0).Changed)
	must.True(t, d.changesSince(2).Full)
	must.False(t, d.changesSince(3).Full)
}
