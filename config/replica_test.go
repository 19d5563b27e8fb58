package config

import (
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/platform"
)

// A caller keeps using a key that was withdrawn at revision 5. An answer that
// left a relay at revision 4 arrives late, after the one with the withdrawal.
// The replica must not bring the key back.
func TestReplicaDropsOlderChanges(t *testing.T) {
	h := HashKey("fsk_test")
	given := platform.Row{Key: KeyPrefix + h.String(), Value: []byte(`{"workspace":"a"}`), Revision: 4}
	withdrawn := platform.Row{Key: given.Key, Revision: 5, Deleted: true}
	w := platform.Row{Key: WorkspacePrefix + "a", Value: []byte(`{"plan":"p"}`), Revision: 3}

	r := NewReplica()
	must.True(t, r.Apply(platform.Changes{Revision: 4, Rows: []platform.Row{w, given}}))
	_, ok := r.WorkspaceByKey(h)
	must.True(t, ok)
	must.True(t, r.Apply(platform.Changes{Revision: 5, Rows: []platform.Row{withdrawn}}))
	must.False(t, r.Apply(platform.Changes{Revision: 4, Rows: []platform.Row{w, given}}))
	_, ok = r.WorkspaceByKey(h)
	must.False(t, ok)
	must.Eq(t, platform.Revision(5), r.Revision())
}
