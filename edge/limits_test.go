package edge_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// limitedServer is a backend server that sets a limit in its responses and records
// the arrival times of its requests.
type limitedServer struct {
	*backend
	// limit is the value of the Server-Limit header; empty for no header.
	limit atomic.Pointer[string]
	mu    sync.Mutex
	times []time.Time
}

func (f *fleet) limitedServer(id, limit string) *limitedServer {
	f.t.Helper()
	s := &limitedServer{}
	s.limit.Store(&limit)
	s.backend = f.backend(id, func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		s.times = append(s.times, time.Now())
		s.mu.Unlock()
		if limit := *s.limit.Load(); limit != "" {
			w.Header().Set("Server-Limit", limit)
		}
		w.Header().Set("X-Response-Seal", "seal")
	})
	return s
}

// requestsSince returns the number of requests that arrived after t.
func (s *limitedServer) requestsSince(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.times {
		if at.After(t) {
			n++
		}
	}
	return n
}

// sendLookups sends lookups to some instances, or all, in turn for d, with a pause of
// gap between them, and returns how many were served.
func (f *fleet) sendLookups(d, gap time.Duration, instances ...int) int {
	if len(instances) == 0 {
		for n := range f.instances {
			instances = append(instances, n)
		}
	}
	var served atomic.Int64
	var wg sync.WaitGroup
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gap) {
		to := instances[n%len(instances)]
		n++
		wg.Go(func() {
			if r, _ := f.lookup(to); r.err == nil && r.status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	return int(served.Load())
}

// A server sets a limit. Guards against the instances together sending it many
// times as much, which happens if each applies the limit by itself.
func TestServerLimitHoldsOverAllInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	limited := f.limitedServer("limited", "2")
	f.backend("other", nil)
	f.startAll(4)
	f.sendLookups(time.Second, 10*time.Millisecond)
	start := time.Now()
	served := f.sendLookups(4*time.Second, 10*time.Millisecond)
	must.Positive(t, served)
	// 1.5 times the limit over four seconds, plus five requests.
	must.LessEq(t, 1.5*2*4+5, float64(limited.requestsSince(start)))
	must.Positive(t, limited.requestsSince(start))
}

// Guards against a recovered server staying at its former limit, which makes
// callers wait for the other servers.
func TestServerLimitEndsWithResponseWithoutLimit(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	limited := f.limitedServer("limited", "2")
	f.backend("other", nil)
	f.startAll(8)
	f.sendLookups(2*time.Second, 10*time.Millisecond)
	none := ""
	limited.limit.Store(&none)
	f.sendLookups(4*time.Second, 10*time.Millisecond)
	start := time.Now()
	f.sendLookups(time.Second, 10*time.Millisecond)
	must.Greater(t, 12, limited.requestsSince(start))
}

// All servers are at their limits. Excess requests must be refused at once as not
// executed, and must not wait until their deadline.
func TestRequestsAboveAllLimitsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	limited := f.limitedServer("limited", "1")
	f.startAll(1)
	f.sendLookups(500*time.Millisecond, 10*time.Millisecond)
	before := limited.requestsSince(time.Time{})
	for range 20 {
		start := time.Now()
		r, id := f.order(0)
		if r.status == http.StatusOK {
			continue
		}
		must.Eq(t, http.StatusServiceUnavailable, r.status)
		must.Eq(t, "servers-at-their-limit\n", r.body)
		must.NotEq(t, "", r.header.Get("Retry-After"))
		must.Zero(t, limited.executions(id))
		must.Less(t, 200*time.Millisecond, time.Since(start))
	}
	must.LessEq(t, before+2, limited.requestsSince(time.Time{}))
}

// A limited server's error response has neither a signature nor a limit header.
// Taken for the end of the limit, it would let all instances send without limit
// until the next signed response.
func TestUnsignedErrorDoesNotEndALimit(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	limited := f.limitedServer("limited", "2")
	answer := limited.answer
	var n atomic.Int64
	limited.answer = func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1)%10 > 1 {
			limited.mu.Lock()
			limited.times = append(limited.times, time.Now())
			limited.mu.Unlock()
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		answer(w, r)
	}
	f.backend("other", nil)
	f.startAll(4)
	f.sendLookups(time.Second, 10*time.Millisecond)
	start := time.Now()
	f.sendLookups(4*time.Second, 10*time.Millisecond)
	must.LessEq(t, 1.5*2*4+5, float64(limited.requestsSince(start)))
}
