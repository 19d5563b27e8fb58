package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/edge/settings"
	"foxtailspoke/internal/standin/rowstore"
)

// restoreStore restores the store from a backup, during a moment in which it
// answers no call.
func (f *fleet) restoreStore(c rowstore.Snapshot) {
	f.store.SetFault(func(string) rowstore.Fault { return rowstore.Unavailable })
	time.Sleep(300 * time.Millisecond)
	f.store.Restore(c)
	f.store.SetFault(nil)
}

// writeUnrelatedRows advances the store's versions, as heartbeats of servers
// do.
func (f *fleet) writeUnrelatedRows(n int) {
	for range n {
		f.store.Put("servers", "nobody", []byte("{}"))
	}
}

// addRoute writes a configuration that has one more route.
func (f *fleet) addRoute() {
	f.configureWith(func(config map[string]any) {
		config["routes"] = append(config["routes"].([]any), map[string]any{
			"name": "added", "host": "h.example", "prefix": "/added/", "route_kind": "idempotent", "timeout_s": 1.5, "aim_s": 0.5,
			"service": "s", "max_attempts": 2,
		})
	}, 1000, key)
}

func (f *fleet) servesAddedRoute(n int) bool {
	r, _ := f.call(n, http.MethodGet, "/added/1", "", nil)
	return r.status == http.StatusOK
}

// The store is restored and reuses its version numbers. If instances took all
// answers for older than their copies, a configuration change confirmed after
// the restore would take minutes to become active.
func TestConfigurationChangesApplyAfterRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	f.backend("one", nil)
	f.startAll(3)
	c := f.store.Snapshot()
	f.writeUnrelatedRows(200)
	time.Sleep(time.Second)
	f.restoreStore(c)
	time.Sleep(500 * time.Millisecond)
	f.addRoute()
	time.Sleep(2 * time.Second)
	for n := range f.instances {
		must.True(t, f.servesAddedRoute(n), must.Sprint("instance ", n))
	}
}

// By the first answer after a restore, the versions exceed those from before
// it. Changes between the backup's version and that of the instances' copies
// must not be missed.
func TestConfigurationChangesApplyWhenVersionsExceedThoseBeforeRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	f.backend("one", nil)
	f.startAll(3)
	c := f.store.Snapshot()
	f.writeUnrelatedRows(20)
	time.Sleep(time.Second)
	f.store.SetFault(func(string) rowstore.Fault { return rowstore.Unavailable })
	f.store.Restore(c)
	f.addRoute()
	f.writeUnrelatedRows(60)
	f.store.SetFault(nil)
	time.Sleep(2 * time.Second)
	for n := range f.instances {
		must.True(t, f.servesAddedRoute(n), must.Sprint("instance ", n))
	}
}

// A server that starts draining after a restore of the store must get no more
// requests.
func TestServerDrainingAfterRestoreGetsNoRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	leaving := f.backend("leaving", nil)
	f.backend("staying", nil)
	f.startAll(3)
	c := f.store.Snapshot()
	f.writeUnrelatedRows(200)
	time.Sleep(time.Second)
	f.restoreStore(c)
	time.Sleep(500 * time.Millisecond)
	f.writeEntry(leaving, "draining")
	time.Sleep(2 * time.Second)
	before := leaving.total()
	f.sendLookups(time.Second, 10*time.Millisecond)
	must.Eq(t, before, leaving.total())
}

// A server drains or is removed, and the store is then restored from a backup
// that lists it as ready. It must get no requests until its state is written
// again, nor afterwards.
func TestRestoreDoesNotReactivateServersThatLeft(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(*fleet, *backend){
		"leaving": func(f *fleet, b *backend) { f.writeEntry(b, "draining") },
		"gone":    func(f *fleet, b *backend) { f.store.Remove("servers", b.id) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1000, key)
			leaving := f.backend("leaving", nil)
			f.backend("staying", nil)
			f.startAll(3)
			c := f.store.Snapshot()
			leave(f, leaving)
			time.Sleep(time.Second)
			f.restoreStore(c)
			time.Sleep(time.Second)
			before := leaving.total()
			f.sendLookups(time.Second, 10*time.Millisecond)
			must.Eq(t, before, leaving.total())
			leave(f, leaving)
			time.Sleep(time.Second)
			f.sendLookups(500*time.Millisecond, 10*time.Millisecond)
			must.Eq(t, before, leaving.total())
		})
	}
}

// A server that was cut off loses its entry, and the store is then restored
// from a backup that lists it. Once the server writes its entry again, it must
// be used.
func TestServerThatRenewsItsEntryAfterRestoreIsUsed(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	cut := f.backend("cut", nil)
	f.backend("other", nil)
	f.startAll(3)
	c := f.store.Snapshot()
	f.store.Remove("servers", cut.id)
	time.Sleep(time.Second)
	f.restoreStore(c)
	time.Sleep(time.Second)
	f.writeEntry(cut, "ready")
	time.Sleep(time.Second)
	before := cut.total()
	f.sendLookups(2*time.Second, 10*time.Millisecond)
	must.Greater(t, before, cut.total())
}

// Operators evacuate a data centre, and the store is then restored from a
// backup without the evacuation. The servers there must get no requests until
// the evacuation is written again.
func TestRestoreDoesNotEndAnEvacuation(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	away := f.backendIn("away", "i-away", nil)
	f.backend("i-stays", nil)
	f.startAll(3)
	c := f.store.Snapshot()
	f.store.Put("op", "evacuate/away", []byte("{}"))
	time.Sleep(time.Second)
	before := away.total()
	f.restoreStore(c)
	f.sendLookups(1500*time.Millisecond, 10*time.Millisecond)
	f.store.Put("op", "evacuate/away", []byte("{}"))
	f.sendLookups(1500*time.Millisecond, 10*time.Millisecond)
	must.Eq(t, before, away.total())
	f.store.Remove("op", "evacuate/away")
	eventually(t, 5*time.Second, "the data centre is used again", func() bool {
		f.sendLookups(100*time.Millisecond, 10*time.Millisecond)
		return away.total() > before
	})
}

// A restore loses the rows of instances. They must be written again in each
// data centre: instances that start later discover the others by them.
func TestInstanceRowsAreRewrittenAfterRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	f.backend("one", nil)
	c := f.store.Snapshot()
	const n = 6
	for i := range n {
		f.start(func(s *settings.Settings) { s.DataCentre = []string{"dc", "away"}[i%2] })
	}
	all := func() bool { return len(f.store.Rows("instances")) == n }
	eventually(t, 15*time.Second, "all instances are listed", all)
	f.writeUnrelatedRows(100)
	time.Sleep(time.Second)
	f.restoreStore(c)
	must.SliceEmpty(t, f.store.Rows("instances"))
	eventually(t, 12*time.Second, "all instances are listed again", all)
}

// After a restore, data from the readers looked as old as the proof of the
// configuration, and each instance read the store itself.
func TestFewInstancesReadARestoredStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	f.backend("one", nil)
	f.startAll(12)
	c := f.store.Snapshot()
	f.writeUnrelatedRows(200)
	time.Sleep(time.Second)
	f.restoreStore(c)
	before := f.store.RequestCount()
	time.Sleep(2 * time.Second)
	// Half of the calls if each instance read for itself, which takes two
	// attempts to read changes and three tables, plus the usual polling.
	must.LessEq(t, 12*5/2+10, f.store.RequestCount()-before)
}
