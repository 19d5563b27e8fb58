package discovery_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/discovery"
)

// written is an entry of a server after so many writes.
func written(id string, seq int64, draining bool) discovery.Server {
	s := server(id, 1)
	s.Seq, s.Draining = seq, draining
	return s
}

// The store comes back from a copy in which a server that leaves is still ready. It
// must stay out of use, and what the store says next of it is news to the others.
func TestDrainingServerStaysSoWhenACopyHasItReady(t *testing.T) {
	l := discovery.NewList()
	l.Put(written("a", 18, false), 0)
	l.Put(written("a", 20, true), 0)
	_, ok := l.PutAfterRestore(written("a", 18, false), time.Second)
	must.False(t, ok)
	s, _ := l.Get("a")
	must.True(t, s.Draining)
	must.True(t, l.DiffersFromStore("a"))
	_, ok = l.Put(written("a", 20, true), 2*time.Second)
	must.False(t, ok)
	must.False(t, l.DiffersFromStore("a"))
}

// Instances that were told of a server's leaving don't know how often it had written
// its entry before. The copy of the store that lists it again has a higher count.
func TestServerThatLeftComesBackByANewWriteOnly(t *testing.T) {
	l := discovery.NewList()
	l.Put(written("a", 5, false), 0)
	l.Remove("a", time.Second, 0)
	for _, seq := range []int64{18, 18, 17} {
		_, ok := l.PutAfterRestore(written("a", seq, false), 2*time.Second)
		must.False(t, ok)
		_, ok = l.Put(written("a", seq, false), 2*time.Second)
		must.False(t, ok)
		must.Zero(t, l.Len())
	}
	c, ok := l.Put(written("a", 19, false), 3*time.Second)
	must.True(t, ok && c.New)
	must.False(t, l.DiffersFromStore("a"))
}

func TestServerThatLeftStartsAgainUnderItsID(t *testing.T) {
	l := discovery.NewList()
	l.Put(written("a", 5, false), 0)
	l.Remove("a", time.Second, 0)
	again := server("a", 2)
	again.Seq = 1
	c, ok := l.PutAfterRestore(again, 2*time.Second)
	must.True(t, ok && c.New)
}

// An entry that ran out while its server was cut off from the store comes back as
// soon as the server reaches it; only copies of the store are mistrusted.
func TestServerThatLeftIsUsedAgainWithoutACopy(t *testing.T) {
	l := discovery.NewList()
	l.Put(written("a", 5, false), 0)
	l.Remove("a", time.Second, 0)
	c, ok := l.Put(written("a", 5, false), 2*time.Second)
	must.True(t, ok && c.New)
}

func TestServersThatLeftLongAgoAreForgotten(t *testing.T) {
	l := discovery.NewList()
	l.Put(written("a", 5, false), 0)
	l.Remove("a", time.Second, 0)
	_, ok := l.PutAfterRestore(written("a", 5, false), 2*time.Minute)
	must.True(t, ok)
}

// An old entry that was ignored runs out in the store as well.
func TestOldEntryThatIsRemovedLeavesNothingBehind(t *testing.T) {
	l := discovery.NewList()
	l.Put(written("a", 5, false), 0)
	l.Remove("a", time.Second, 0)
	l.PutAfterRestore(written("a", 18, false), 2*time.Second)
	must.True(t, l.DiffersFromStore("a"))
	_, ok := l.Remove("a", 3*time.Second, 0)
	must.False(t, ok)
	must.False(t, l.DiffersFromStore("a"))
}

// A server that doesn't count its writes, or not since when, can't show that it has
// written again.
func TestServerThatDoesNotCountItsWritesComesBack(t *testing.T) {
	for _, s := range []discovery.Server{server("a", 1), server("a", 0)} {
		l := discovery.NewList()
		l.Put(s, 0)
		l.Remove("a", time.Second, 0)
		_, ok := l.PutAfterRestore(s, 2*time.Second)
		must.True(t, ok)
	}
}

// A server that doesn't say when it started has started again: its count of writes
// begins anew, and its entries aren't older for that.
func TestRestartWithoutATimeOfStartIsBelieved(t *testing.T) {
	l := discovery.NewList()
	draining := server("a", 0)
	draining.Seq, draining.Draining = 20, true
	l.Put(draining, 0)
	again := server("a", 0)
	again.Seq = 1
	_, ok := l.Put(again, time.Second)
	must.True(t, ok)
}
