package edge_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// busyServer is a backend server that rejects requests with Retry-After while it is
// busy, and records the arrival times of its requests.
type busyServer struct {
	*backend
	retryAfter time.Duration
	mu         sync.Mutex
	busy       bool
	times      []time.Time
}

func (f *fleet) busyServer(id string, retryAfter time.Duration) *busyServer {
	f.t.Helper()
	s := &busyServer{retryAfter: retryAfter, busy: true}
	s.backend = f.backend(id, func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.times = append(s.times, time.Now())
		busy := s.busy
		s.mu.Unlock()
		if busy {
			w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
			rejectNotExecuted(w, r)
			return
		}
		w.Header().Set("X-Response-Seal", "seal")
	})
	return s
}

func (s *busyServer) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

// arrivals returns the number of requests so far.
func (s *busyServer) arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.times)
}

// A server that rejects its requests is idle, and so the cheapest choice. Guards
// against an instance that sends it more within the time that its Retry-After names.
func TestServerGetsNoRequestsUntilItsRetryAfter(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	busy := f.busyServer("busy", 10*time.Second)
	f.backend("other", nil)
	f.startAll(1)
	eventually(t, 5*time.Second, "the busy server gets a request", func() bool {
		f.lookup(0)
		return busy.arrivals() > 0
	})
	before := busy.arrivals()
	must.Positive(t, f.sendLookups(4*time.Second, 10*time.Millisecond))
	must.Eq(t, before, busy.arrivals())
}

// Guards against a server that stays unused after the time that its Retry-After names.
func TestServerIsUsedAgainAfterItsRetryAfter(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	busy := f.busyServer("busy", time.Second)
	f.startAll(1)
	eventually(t, 5*time.Second, "the busy server gets a request", func() bool {
		f.lookup(0)
		return busy.arrivals() > 0
	})
	busy.setBusy(false)
	eventually(t, 3*time.Second, "the server is used again", func() bool {
		r, _ := f.lookup(0)
		return r.status == http.StatusOK
	})
}

// All servers rejected requests with Retry-After. Guards against requests that visit
// them anyway, or wait, instead of being refused at once as not executed.
func TestRequestsAreRefusedAtOnceWhileAllServersBackOff(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	servers := []*busyServer{f.busyServer("a", 10*time.Second), f.busyServer("b", 10*time.Second)}
	f.startAll(1)
	eventually(t, 5*time.Second, "both servers get a request", func() bool {
		f.lookup(0)
		return servers[0].arrivals() > 0 && servers[1].arrivals() > 0
	})
	before := servers[0].arrivals() + servers[1].arrivals()
	for range 20 {
		start := time.Now()
		r, _ := f.order(0)
		must.Eq(t, http.StatusServiceUnavailable, r.status)
		must.Eq(t, "servers-backing-off\n", r.body)
		must.NotEq(t, "", r.header.Get("Retry-After"))
		must.Less(t, 200*time.Millisecond, time.Since(start))
	}
	must.Eq(t, before, servers[0].arrivals()+servers[1].arrivals())
}

// The registration of a server expires during a store outage and comes back. Guards
// against an instance that forgets the server's Retry-After with it.
func TestRetryAfterOutlivesTheRegistration(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	busy := f.busyServer("busy", 10*time.Second)
	f.backend("other", nil)
	f.startAll(1)
	eventually(t, 5*time.Second, "the busy server gets a request", func() bool {
		f.lookup(0)
		return busy.arrivals() > 0
	})
	before := busy.arrivals()
	f.store.Remove("servers", "busy")
	time.Sleep(time.Second)
	f.writeEntry(busy.backend, "ready")
	must.Positive(t, f.sendLookups(3*time.Second, 10*time.Millisecond))
	must.Eq(t, before, busy.arrivals())
}
