package discovery_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/discovery"
)

// entry returns the entry of a server with the given write count.
func entry(id string, seq int64, draining bool) discovery.Server {
	s := server(id, 1)
	s.Seq, s.Draining = seq, draining
	return s
}

// The store is restored from a backup in which a draining server is still
// ready. The server must stay out of use, and its next entry must be forwarded
// to the other instances.
func TestRestoredStoreDoesNotUndoDraining(t *testing.T) {
	l := discovery.NewList()
	l.Put(entry("a", 18, false), 0)
	l.Put(entry("a", 20, true), 0)
	_, ok := l.PutAfterRestore(entry("a", 18, false), time.Second)
	must.False(t, ok)
	s, _ := l.Get("a")
	must.True(t, s.Draining)
	must.True(t, l.DiffersFromStore("a"))
	_, ok = l.Put(entry("a", 20, true), 2*time.Second)
	must.False(t, ok)
	must.False(t, l.DiffersFromStore("a"))
}

// Instances that learned of a removal from others do not know the server's
// exact write count. The restored store that lists it again has a higher count.
func TestDepartedServerReturnsOnlyByNewWrite(t *testing.T) {
	l := discovery.NewList()
	l.Put(entry("a", 5, false), 0)
	l.Remove("a", time.Second, 0)
	for _, seq := range []int64{18, 18, 17} {
		_, ok := l.PutAfterRestore(entry("a", seq, false), 2*time.Second)
		must.False(t, ok)
		_, ok = l.Put(entry("a", seq, false), 2*time.Second)
		must.False(t, ok)
		must.Zero(t, l.Len())
	}
	c, ok := l.Put(entry("a", 19, false), 3*time.Second)
	must.True(t, ok && c.New)
	must.False(t, l.DiffersFromStore("a"))
}

func TestDepartedServerReturnsAfterRestart(t *testing.T) {
	l := discovery.NewList()
	l.Put(entry("a", 5, false), 0)
	l.Remove("a", time.Second, 0)
	restarted := server("a", 2)
	restarted.Seq = 1
	c, ok := l.PutAfterRestore(restarted, 2*time.Second)
	must.True(t, ok && c.New)
}

// An entry that expired while its server was cut off from the store comes back
// as soon as the server reaches it; only restored stores are not trusted.
func TestDepartedServerReturnsWithoutRestore(t *testing.T) {
	l := discovery.NewList()
	l.Put(entry("a", 5, false), 0)
	l.Remove("a", time.Second, 0)
	c, ok := l.Put(entry("a", 5, false), 2*time.Second)
	must.True(t, ok && c.New)
}

func TestDepartedServersAreForgotten(t *testing.T) {
	l := discovery.NewList()
	l.Put(entry("a", 5, false), 0)
	l.Remove("a", time.Second, 0)
	_, ok := l.PutAfterRestore(entry("a", 5, false), 2*time.Minute)
	must.True(t, ok)
}

// A stale entry that was ignored is removed from the store as well.
func TestRemoveClearsStaleEntry(t *testing.T) {
	l := discovery.NewList()
	l.Put(entry("a", 5, false), 0)
	l.Remove("a", time.Second, 0)
	l.PutAfterRestore(entry("a", 18, false), 2*time.Second)
	must.True(t, l.DiffersFromStore("a"))
	_, ok := l.Remove("a", 3*time.Second, 0)
	must.False(t, ok)
	must.False(t, l.DiffersFromStore("a"))
}

// A server without a write count or a start time cannot show that it has
// written again.
func TestServerWithoutWriteCountReturns(t *testing.T) {
	for _, s := range []discovery.Server{server("a", 1), server("a", 0)} {
		l := discovery.NewList()
		l.Put(s, 0)
		l.Remove("a", time.Second, 0)
		_, ok := l.PutAfterRestore(s, 2*time.Second)
		must.True(t, ok)
	}
}

// A server without a start time restarts: its write count begins anew, and its
// entries must not count as older for that.
func TestRestartWithoutStartTimeIsAccepted(t *testing.T) {
	l := discovery.NewList()
	draining := server("a", 0)
	draining.Seq, draining.Draining = 20, true
	l.Put(draining, 0)
	restarted := server("a", 0)
	restarted.Seq = 1
	_, ok := l.Put(restarted, time.Second)
	must.True(t, ok)
}
