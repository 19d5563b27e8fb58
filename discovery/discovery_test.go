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

func TestPutReportsChanges(t *testing.T) {
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
	must.False(t, ok, must.Sprint("a warm-up shortened only by the passage of time was reported as a change"))
	draining := server("a", 1)
	draining.Draining = true
	c, ok = l.Put(draining, 0)
	must.True(t, ok && !c.New)
}

// A warm server that becomes cold again must be reported as changed. Taken for
// a mere renewal of its entry, the server would get its usual load and fail.
func TestPutReportsNewWarmUp(t *testing.T) {
	l := discovery.NewList()
	cold := server("a", 1)
	cold.WarmUp = 3 * time.Second
	l.Put(cold, 0)
	l.Put(server("a", 1), 4*time.Second)
	c, ok := l.Put(cold, 6*time.Second)
	must.True(t, ok && !c.New)
	must.Eq(t, 3*time.Second, c.Server.WarmUp)
}

// After a restart under the same id, a delayed write of the former process
// arrives after the first write of the new one and says "draining". Applying it
// would keep a healthy server out of use.
func TestPutIgnoresLateEntryOfFormerProcess(t *testing.T) {
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

func TestRemoveDropsServerAtOnce(t *testing.T) {
	l := discovery.NewList()
	l.Put(server("a", 1), 0)
	c, ok := l.Remove("a", time.Second, 0)
	must.True(t, ok && c.Removed)
	must.Zero(t, l.Len())
	_, ok = l.Remove("a", time.Second, 0)
	must.False(t, ok)
}

// After a long store outage all entries have expired; the list is empty when
// the store returns, and the servers write again within two seconds. Until
// then, the servers known before must stay in use.
func TestExpiredEntriesAreKeptForGracePeriod(t *testing.T) {
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
	removed := l.Expire(now + discovery.RemovalGracePeriod)
	must.Len(t, 1, removed)
	must.Eq(t, "lost", removed[0].Server.ID)
	must.Eq(t, 1, l.Len())
}

// A server that leaves 1.5 s after the store's return is removed when the grace
// period after that return ends. Counting the whole grace period from the
// removal sent it requests for 3.5 s after the store's return, although it had
// stopped by then.
func TestGracePeriodCountsFromStoreReturn(t *testing.T) {
	l := discovery.NewList()
	l.Put(server("leaving", 1), 0)
	returned := 10 * time.Second
	_, ok := l.Remove("leaving", returned+1500*time.Millisecond, returned+discovery.RemovalGracePeriod)
	must.False(t, ok)
	removed := l.Expire(returned + discovery.RemovalGracePeriod)
	must.Len(t, 1, removed)
	must.Zero(t, l.Len())
}

// Guards against new requests to a server that announced in a response that it is about
// to stop, caused by an entry in state ready.
func TestServerThatAnnouncedItsStopStaysDraining(t *testing.T) {
	l := discovery.NewList()
	l.Put(server("a", 5), 0)
	c, ok := l.MarkLeaving("a", 5, time.Second)
	must.True(t, ok && c.Server.Draining && !c.New && !c.Removed)
	_, ok = l.MarkLeaving("a", 5, time.Second)
	must.False(t, ok)
	cold := server("a", 5)
	cold.WarmUp = 3 * time.Second
	c, ok = l.Put(cold, 2*time.Second)
	must.True(t, ok && c.Server.Draining)
	l.Remove("a", 3*time.Second, 0)
	c, ok = l.Put(server("a", 5), 4*time.Second)
	must.True(t, ok && c.Server.Draining)
	c, ok = l.Put(server("a", 6), 5*time.Second)
	must.True(t, ok && c.New && !c.Server.Draining)
}

// The instance that reads the store forwards changes of entries. Guards against the
// others never learning that a server drains, because the reader knew it already from
// a response.
func TestDrainingEntryIsAChangeAfterTheAnnouncement(t *testing.T) {
	l := discovery.NewList()
	l.Put(server("a", 5), 0)
	l.MarkLeaving("a", 5, time.Second)
	draining := server("a", 5)
	draining.Draining = true
	_, ok := l.Put(draining, 2*time.Second)
	must.True(t, ok)
}

// Responses of the previous run arrive after the entry of the new one, or after a
// response of it. They must not change the state of the new run.
func TestResponseOfAnEarlierRunDoesNotStopARestartedServer(t *testing.T) {
	l := discovery.NewList()
	l.Put(server("a", 6), 0)
	_, ok := l.MarkLeaving("a", 5, time.Second)
	must.False(t, ok)
	c, ok := l.MarkLeaving("a", 6, time.Second)
	must.True(t, ok && c.Server.Draining)
	l.MarkLeaving("a", 5, time.Second)
	cold := server("a", 6)
	cold.WarmUp = 3 * time.Second
	c, ok = l.Put(cold, 2*time.Second)
	must.True(t, ok && c.Server.Draining)
}

// Guards against memory that grows with every server that ever left.
func TestServersThatLeftAreForgotten(t *testing.T) {
	l := discovery.NewList()
	l.Put(server("a", 5), 0)
	l.MarkLeaving("a", 5, 0)
	l.Remove("a", 0, 0)
	l.MarkLeaving("b", 1, time.Hour)
	c, ok := l.Put(server("a", 5), time.Hour)
	must.True(t, ok && !c.Server.Draining)
}
