package edge_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/standin"
	"foxtailspoke/internal/standin/rowstore"
)

// Guards against a request that ends each server that works on it, and is sent to all of a
// service as its caller repeats it at one instance after the other.
func TestFatalRequestEndsFewServers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := newMortalServers(f).start(20)
	f.configure(1000, key)
	f.startFirst(3)
	served := m.repeat(http.MethodGet, fatalPath, 12, 0, 1, 2)
	requireFewSends(t, m)
	must.Eq(t, 12, served)
}

// Guards against a bound that restarted servers reset.
func TestFatalRequestEndsFewServersThatStartAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := newMortalServers(f)
	m.restartAfter = 700 * time.Millisecond
	m.start(8)
	f.configure(1000, key)
	f.startFirst(3)
	m.repeat(http.MethodGet, fatalPath, 20, 0, 1, 2)
	requireFewSends(t, m)
}

// Guards against a bound that holds only for callers that wait for each other.
func TestFatalRequestOfManyCallersAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := newMortalServers(f)
	m.work = 20 * time.Millisecond
	m.start(24)
	f.configure(1000, key)
	f.startFirst(3)
	var wg sync.WaitGroup
	for caller := range 6 {
		wg.Go(func() {
			for i := range 5 {
				f.call((caller+i)%3, http.MethodGet, fatalPath, "", nil)
			}
		})
	}
	wg.Wait()
	must.Zero(t, m.sendsAfterLimit(), must.Sprint("sends after three servers had ended"))
}

// Guards against an instance that starts without what the others know of fatal requests.
func TestInstanceThatStartsKnowsFatalRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := newMortalServers(f).start(20)
	f.configure(1000, key)
	f.startFirst(2)
	m.repeat(http.MethodGet, fatalPath, 4, 0, 1)
	started := f.start(nil)
	eventually(t, 5*time.Second, "instance is ready", func() bool { return f.ready(started) })
	m.repeat(http.MethodGet, fatalPath, 4, started)
	requireFewSends(t, m)
}

// Guards against restarts of the whole fleet, each of which lets a fatal request end servers
// again.
func TestRestartedFleetBoundsFatalRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := newMortalServers(f).start(20)
	f.configure(1000, key)
	f.startFirst(2)
	m.repeat(http.MethodGet, fatalPath, 4, 0, 1)
	for range 3 {
		first, second := f.restart()
		m.repeat(http.MethodGet, fatalPath, 4, first, second)
	}
	requireFewSends(t, m)
}

// The store is unavailable when servers end, and the whole fleet restarts once. Guards against a bound that
// depends on the store.
func TestRestartedFleetBoundsFatalRequestsThatWereNotStored(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := newMortalServers(f).start(20)
	f.configure(1000, key)
	f.startFirst(2)
	f.store.SetFault(func(string) rowstore.Fault { return rowstore.Unavailable })
	m.repeat(http.MethodGet, fatalPath, 2, 0, 1)
	f.endAll()
	f.store.SetFault(nil)
	first, second := f.restart()
	m.repeat(http.MethodGet, fatalPath, 6, first, second)
	must.Eq(t, maxEndedServers, m.sendCount())
}

// Guards against orders that end servers and are sent on as callers repeat them.
func TestFatalOrderEndsFewServers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := newMortalServers(f).start(20)
	f.configure(1000, key)
	f.startFirst(3)
	m.repeat(http.MethodPost, "/order/fatal", 10, 0, 1, 2)
	requireFewSends(t, m)
}

// Guards against withholding a request whose connections were reset by servers that live on.
func TestRequestWithResetConnectionsIsNotFatal(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var broken atomic.Bool
	broken.Store(true)
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"} {
		f.resettingServer(id, &broken)
	}
	f.configure(1000, key)
	f.startFirst(3)
	for i := range 10 {
		f.call(i%3, http.MethodGet, fatalPath, "", nil)
	}
	broken.Store(false)
	for i := range 10 {
		r, _ := f.call(i%3, http.MethodGet, fatalPath, "", nil)
		must.Eq(t, http.StatusOK, r.status)
	}
}

// Guards against servers whose end isn't seen, as they accept connections again at once.
func TestFatalRequestEndsFewServersThatRestartAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var sends atomic.Int64
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"} {
		f.restartingServer(id, &sends)
	}
	// One attempt for each send, as the entry of a restarted server arrives later than a retry.
	f.configureWith(func(config map[string]any) {
		for _, r := range config["routes"].([]any) {
			r.(map[string]any)["max_attempts"] = 1
		}
	}, 1000, key)
	f.startFirst(3)
	for i := range 10 {
		f.call(i%3, http.MethodGet, fatalPath, "", nil)
		time.Sleep(time.Second)
	}
	must.LessEq(t, maxEndedServers, sends.Load())
}

// Guards against withheld requests that try a server, or whose callers aren't told when to
// come back and which request it is.
func TestWithheldRequestIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := newMortalServers(f).start(6)
	f.configure(1000, key)
	f.startFirst(2)
	m.repeat(http.MethodGet, fatalPath, 1, 0)
	for n := range 2 {
		start := time.Now()
		r, id := f.call(n, http.MethodGet, fatalPath, "", nil)
		must.Less(t, 100*time.Millisecond, time.Since(start))
		must.Eq(t, http.StatusServiceUnavailable, r.status)
		must.Eq(t, "fatal-request\n", r.body)
		must.Eq(t, id, r.header.Get("X-Attempt-Id"))
		wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		must.NoError(t, err)
		must.Between(t, 50, wait, 60)
		must.StrContains(t, f.metric(n, "foxtailspoke_edge_withheld_requests"), " 1")
	}
	eventually(t, time.Second, "the ends are logged", func() bool {
		return strings.Contains(f.instances[0].log.String(), `"proof":"refuses connections","ends":2,"withheld":true`)
	})
	must.StrContains(t, f.metric(0, `foxtailspoke_edge_server_ends_total{proof="refuses connections"}`), " 2")
	r, _ := f.call(0, http.MethodGet, fatalPath+"?x", "", nil)
	must.NotEq(t, http.StatusOK, r.status, must.Sprint("another request isn't withheld, but ends a server as well"))
	must.Eq(t, 4, m.sendCount())
}

// Servers end for a reason of their own while many callers' requests of one path are at work on
// them. Guards against withholding that request from then on.
func TestSoundRequestIsServedAfterServersEnded(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := newMortalServers(f)
	m.slowWork = 300 * time.Millisecond
	m.start(8)
	f.configure(1000, key)
	f.startFirst(3)
	const popular = "/lookup/slow"
	var wg sync.WaitGroup
	for caller := range 16 {
		wg.Go(func() { f.call(caller%3, http.MethodGet, popular, "", nil) })
	}
	time.Sleep(150 * time.Millisecond)
	m.endAll(3)
	wg.Wait()
	for i := range 9 {
		r, _ := f.call(i%3, http.MethodGet, popular, "", nil)
		must.Eq(t, http.StatusOK, r.status)
	}
}

// Guards against callers that aren't served although only some servers end under their
// request.
func TestRequestThatEndsSomeServersIsServedByOthers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := newMortalServers(f)
	m.survives = func(id string) bool { return id != "i-mortal-1" }
	m.start(4)
	f.configure(1000, key)
	f.startFirst(2)
	for i := range 12 {
		r, _ := f.call(i%2, http.MethodGet, fatalPath, "", nil)
		must.Eq(t, http.StatusOK, r.status)
	}
}

// Guards against forwarded requests that end servers unnoticed.
func TestForwardedFatalRequestEndsFewServers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := newMortalServers(f).start(12)
	f.configure(1000, key)
	f.startFirst(2)
	f.instances[0].path.SetMode(standin.PartitionHang)
	eventually(t, 5*time.Second, "instance notices that it is partitioned", func() bool {
		f.lookup(0)
		return strings.Contains(f.instances[0].log.String(), `"event":527`)
	})
	m.repeat(http.MethodGet, fatalPath, 6, 0)
	must.Positive(t, m.sendCount())
	requireFewSends(t, m)
}
