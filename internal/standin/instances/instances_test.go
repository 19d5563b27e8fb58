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

// idStates returns the list as id:state, in the order shown.
func idStates(c storage.InstanceChanges) []string {
	out := []string{}
	for _, i := range c.Changed {
		out = append(out, i.ID+":"+string(i.State))
	}
	return out
}

// A server announces that it leaves. Readers see it as live until the lag has
// passed; while the list is frozen they see nothing new, however late it is.
func TestRegistryLagAndFreeze(t *testing.T) {
	l := instances.New(0)
	must.NoError(t, l.Announce(0, entryInstance("a", storage.Live)))
	must.NoError(t, l.Announce(1*second, entryInstance("b", storage.Live)))
	must.NoError(t, l.Announce(5*second, entryInstance("a", storage.Leaving)))
	lag := 2 * second

	must.Eq(t, storage.InstanceChanges{Full: true}, l.Changes(1999*time.Millisecond, 0, lag, false))
	c := l.Changes(3*second, 0, lag, false)
	must.Eq(t, []string{"a:live", "b:live"}, idStates(c))
	must.Eq(t, 2, c.Version)
	must.Eq(t, storage.InstanceChanges{Version: 2}, l.Changes(7*second, 2, lag, true))
	must.Eq(t, []string{"a:leaving"}, idStates(l.Changes(7*second, 2, lag, false)))
	must.Eq(t, []string{"b:live", "a:leaving"}, idStates(l.Changes(7*second, 0, lag, false)))
	must.Eq(t, 3, l.Changes(7*second, 0, time.Hour, false).Version, must.Sprint("a longer lag takes nothing back"))
	must.Eq(t, storage.InstanceChanges{Version: 3}, l.Changes(7*second, 99, lag, false))
}

// An instance is frozen and wakes after the platform has declared it ended.
// Others have acted on its end, so its old id must not come back to life.
func TestSilentInstanceEndsPermanently(t *testing.T) {
	l := instances.New(10 * second)
	must.NoError(t, l.Announce(0, entryInstance("frozen", storage.Live)))
	must.NoError(t, l.Announce(0, entryInstance("well", storage.Live)))
	must.NoError(t, l.Announce(9*second, entryInstance("well", storage.Live)))
	must.Eq(t, []string{"frozen:live", "well:live"}, idStates(l.Changes(9*second, 0, 0, false)))
	must.Eq(t, []string{"frozen:ended"}, idStates(l.Changes(10*second, 2, 0, false)))
	must.ErrorIs(t, l.Announce(11*second, entryInstance("frozen", storage.Live)), instances.ErrEnded)
	must.NoError(t, l.Announce(11*second, entryInstance("frozen", storage.Ended)))
	must.Eq(t, []string{"well:live", "frozen:ended"}, idStates(l.Changes(11*second, 0, 0, false)))
}

// The announcement that a server leaves overtakes one from before. The list
// must not show it as live again, or it would get new work.
func TestStateNeverRegresses(t *testing.T) {
	l := instances.New(0)
	for _, s := range []storage.State{storage.Live, storage.Leaving, storage.Live} {
		must.NoError(t, l.Announce(0, entryInstance("a", s)))
	}
	must.Eq(t, []string{"a:leaving"}, idStates(l.Changes(0, 0, 0, false)))
	readdressed := entryInstance("a", storage.Live)
	readdressed.Address = "127.0.0.1:1"
	must.NoError(t, l.Announce(0, readdressed))
	c := l.Changes(0, 2, 0, false)
	must.Eq(t, []string{"a:leaving"}, idStates(c))
	must.Eq(t, "127.0.0.1:1", c.Changed[0].Address)
}
