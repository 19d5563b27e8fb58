package instances_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/standin/instances"
	"foxtailspoke/storage"
)

const second = time.Second

func entryInstance(id string, s storage.State) storage.Instance {
	return storage.Instance{ID: id, Kind: storage.Entry, State: s}
}

// idStates returns the changed instances as "id:state", in the order given.
func idStates(c storage.InstanceChanges) []string {
	out := []string{}
	for _, i := range c.Changed {
		out = append(out, i.ID+":"+string(i.State))
	}
	return out
}

// An instance announces that it is leaving. Readers see it as live until the lag
// has passed. While the registry is frozen, they see no changes at all.
func TestRegistryLagAndFreeze(t *testing.T) {
	r := instances.New(0)
	must.NoError(t, r.Announce(0, entryInstance("a", storage.Live)))
	must.NoError(t, r.Announce(1*second, entryInstance("b", storage.Live)))
	must.NoError(t, r.Announce(5*second, entryInstance("a", storage.Leaving)))
	lag := 2 * second

	must.Eq(t, storage.InstanceChanges{Full: true}, r.Changes(1999*time.Millisecond, 0, lag, false))
	c := r.Changes(3*second, 0, lag, false)
	must.Eq(t, []string{"a:live", "b:live"}, idStates(c))
	must.Eq(t, 2, c.Version)
	must.Eq(t, storage.InstanceChanges{Version: 2}, r.Changes(7*second, 2, lag, true))
	must.Eq(t, []string{"a:leaving"}, idStates(r.Changes(7*second, 2, lag, false)))
	must.Eq(t, []string{"b:live", "a:leaving"}, idStates(r.Changes(7*second, 0, lag, false)))
	must.Eq(t, 3, r.Changes(7*second, 0, time.Hour, false).Version, must.Sprint("a longer lag must not lower the version"))
	must.Eq(t, storage.InstanceChanges{Version: 3}, r.Changes(7*second, 99, lag, false))
}

// A suspended instance resumes after the platform has declared it ended. Other
// instances have already acted on that, so its ID must not become live again.
func TestSilentInstanceEndsPermanently(t *testing.T) {
	r := instances.New(10 * second)
	must.NoError(t, r.Announce(0, entryInstance("suspended", storage.Live)))
	must.NoError(t, r.Announce(0, entryInstance("healthy", storage.Live)))
	must.NoError(t, r.Announce(9*second, entryInstance("healthy", storage.Live)))
	must.Eq(t, []string{"suspended:live", "healthy:live"}, idStates(r.Changes(9*second, 0, 0, false)))
	must.Eq(t, []string{"suspended:ended"}, idStates(r.Changes(10*second, 2, 0, false)))
	must.ErrorIs(t, r.Announce(11*second, entryInstance("suspended", storage.Live)), instances.ErrEnded)
	must.NoError(t, r.Announce(11*second, entryInstance("suspended", storage.Ended)))
	must.Eq(t, []string{"healthy:live", "suspended:ended"}, idStates(r.Changes(11*second, 0, 0, false)))
}

// The announcement that an instance is leaving overtakes an earlier one. The
// registry must not return it as live again, or it would receive new requests.
func TestStateNeverRegresses(t *testing.T) {
	r := instances.New(0)
	for _, s := range []storage.State{storage.Live, storage.Leaving, storage.Live} {
		must.NoError(t, r.Announce(0, entryInstance("a", s)))
	}
	must.Eq(t, []string{"a:leaving"}, idStates(r.Changes(0, 0, 0, false)))
	readdressed := entryInstance("a", storage.Live)
	readdressed.Address = "127.0.0.1:1"
	must.NoError(t, r.Announce(0, readdressed))
	c := r.Changes(0, 2, 0, false)
	must.Eq(t, []string{"a:leaving"}, idStates(c))
	must.Eq(t, "127.0.0.1:1", c.Changed[0].Address)
}
