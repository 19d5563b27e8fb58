package edge_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
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

// Guards against a whole restart of the fleet that lets a fatal request end as many servers again.
func TestRestartedFleetBoundsFatalRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := newMortalServers(f).start(20)
	f.configure(1000, key)
	f.startFirst(2)
	m.repeat(http.MethodGet, fatalPath, 4, 0, 1)
	for _, i := range f.instances {
		i.cancel()
	}
	first := f.start(nil)
	second := f.start(nil)
	for _, n := range []int{first, second} {
		eventually(t, 8*time.Second, "instance is ready", func() bool { return f.ready(n) })
	}
	m.repeat(http.MethodGet, fatalPath, 6, first, second)
	requireFewSends(t, m)
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
