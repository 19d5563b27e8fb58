package edge_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// limitedServer is a backend server whose answers name a limit, with the times at
// which its requests came.
type limitedServer struct {
	*backend
	// limit is the header's value; empty names none.
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

// since is how many requests have come since then.
func (s *limitedServer) since(t time.Time) int {
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

// lookupsFor sends lookups to all instances in turn, one every gap, and returns
// how many were served.
func (f *fleet) lookupsFor(d, gap time.Duration) int {
	var served atomic.Int64
	var wg sync.WaitGroup
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gap) {
		to := n % len(f.instances)
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

// A backend server in need names a limit, and the instances together go on
// sending it many times as much.
func TestInstancesTogetherKeepToTheLimitOfAServer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	limited := f.limitedServer("limited", "2")
	f.backend("other", nil)
	f.startAll(4)
	f.lookupsFor(time.Second, 10*time.Millisecond)
	start := time.Now()
	served := f.lookupsFor(4*time.Second, 10*time.Millisecond)
	must.Positive(t, served)
	// One and a half times what the limit allows in four seconds, and five more.
	must.LessEq(t, 1.5*2*4+5, float64(limited.since(start)))
	must.Positive(t, limited.since(start))
}

// A server that is well again stays at its former limit, and callers wait for the
// others.
func TestServerIsUsedAtWillOnceItNamesNoLimit(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	limited := f.limitedServer("limited", "2")
	f.backend("other", nil)
	f.startAll(8)
	f.lookupsFor(2*time.Second, 10*time.Millisecond)
	none := ""
	limited.limit.Store(&none)
	f.lookupsFor(4*time.Second, 10*time.Millisecond)
	start := time.Now()
	f.lookupsFor(time.Second, 10*time.Millisecond)
	must.Greater(t, 12, limited.since(start))
}

// All servers name limits. What goes beyond them is refused as not run, at once,
// and nothing waits until its deadline.
func TestRequestsAboveAllLimitsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	limited := f.limitedServer("limited", "1")
	f.startAll(1)
	f.lookupsFor(500*time.Millisecond, 10*time.Millisecond)
	before := limited.since(time.Time{})
	for range 20 {
		start := time.Now()
		r, id := f.order(0)
		if r.status == http.StatusOK {
			continue
		}
		must.Eq(t, http.StatusServiceUnavailable, r.status)
		must.Eq(t, "servers-at-their-limit\n", r.body)
		must.NotEq(t, "", r.header.Get("Retry-After"))
		must.Zero(t, limited.runs(id))
		must.Less(t, 200*time.Millisecond, time.Since(start))
	}
	must.LessEq(t, before+2, limited.since(time.Time{}))
}

// A limited server's own error bears neither its signature nor its limit. Taken for
// the limit's end, it would let everybody send at will until the next good answer.
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
	f.lookupsFor(time.Second, 10*time.Millisecond)
	start := time.Now()
	f.lookupsFor(4*time.Second, 10*time.Millisecond)
	must.LessEq(t, 1.5*2*4+5, float64(limited.since(start)))
}
