package discovery_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/discovery"
)

func server(id string, born int64) discovery.Server {
	return discovery.Server{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 2, StartTimeMS: born}
}

func TestPutTellsWhatChanged(t *testing.T) {
	l := discovery.NewList()
	c, ok := l.Put(server("a", 1), 0)
	must.True(t, ok && c.New)
	_, ok = l.Put(server("a", 1), 0)
	must.False(t, ok)
	warming := server("a", 1)
	warming.WarmUp = 3 * time.Second
	_, ok = l.Put(warming, 0)
	must.True(t, ok)
	warming.WarmUp = 1500 * time.Millisecond
	_, ok = l.Put(warming, 2200*time.Millisecond)
	must.False(t, ok, must.Sprint("time alone shortens a warm-up"))
	draining := server("a", 1)
	draining.Draining = true
	c, ok = l.Put(draining, 0)
	must.True(t, ok && !c.New)
}

// A server that is known as warm reports that it has turned cold. If that passed
// for a renewal of its entry, it would get its usual load and break down.
func TestServerTurnsColdAgain(t *testing.T) {
	l := discovery.NewList()
	cold := server("a", 1)
	cold.WarmUp = 3 * time.Second
	l.Put(cold, 0)
	l.Put(server("a", 1), 4*time.Second)
	c, ok := l.Put(cold, 6*time.Second)
	must.True(t, ok && !c.New)
	must.Eq(t, 3*time.Second, c.Server.WarmUp)
}

// A server restarts under its id. A write of its former process arrives after
// the first one of the new, and says that it drains. Believing it would keep a
// healthy server out of use.
func TestLateWordOfAFormerStartIsIgnored(t *testing.T) {
	l := discovery.NewList()
	l.Put(server("a", 1), 0)
	c, ok := l.Put(server("a", 2), 0)
	must.True(t, ok && c.New)
	late := server("a", 1)
	late.Draining = true
	_, ok = l.Put(late, 0)
	must.False(t, ok)
	s, _ := l.Get("a")
	must.False(t, s.Draining)
}

func TestGoneServerLeavesAtOnce(t *testing.T) {
	l := discovery.NewList()
	l.Put(server("a", 1), 0)
	c, ok := l.Remove("a", time.Second, 0)
	must.True(t, ok && c.Removed)
	must.Zero(t, l.Len())
	_, ok = l.Remove("a", time.Second, 0)
	must.False(t, ok)
}

// The store was away for so long that the entries ran out. It comes back, the
// list is empty, and the servers write again within two seconds. A caller that
// asks meanwhile must be served by the servers that were there before.
func TestEntriesThatRanOutWithTheStoreAreWaitedFor(t *testing.T) {
	l := discovery.NewList()
	l.Put(server("back", 1), 0)
	l.Put(server("lost", 1), 0)
	now := 10 * time.Second
	for _, id := range l.IDs() {
		_, ok := l.Remove(id, now, now+discovery.RemovalGracePeriod)
		must.False(t, ok)
	}
	must.Eq(t, 2, l.Len())
	l.Put(server("back", 1), 0)
	must.Len(t, 0, l.Expire(now+discovery.RemovalGracePeriod-1))
	gone := l.Expire(now + discovery.RemovalGracePeriod)
	must.Len(t, 1, gone)
	must.Eq(t, "lost", gone[0].Server.ID)
	must.Eq(t, 1, l.Len())
}

// The store is back after an outage. A second and a half later it takes a
// server off the list that is really leaving, and serves on for a moment only.
// Waiting for the full grace from then on sent it requests for 3.5 s after the
// store's return, when absence has long been proof that it is gone.
func TestGraceEndsWithTheStoresReturnNotWithEachRemoval(t *testing.T) {
	l := discovery.NewList()
	l.Put(server("leaving", 1), 0)
	returned := 10 * time.Second
	_, ok := l.Remove("leaving", returned+1500*time.Millisecond, returned+discovery.RemovalGracePeriod)
	must.False(t, ok)
	gone := l.Expire(returned + discovery.RemovalGracePeriod)
	must.Len(t, 1, gone)
	must.Zero(t, l.Len())
}
