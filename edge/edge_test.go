package edge_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/edge/settings"
	"foxtailspoke/internal/standin/rowstore"
)

func TestRequestReachesAServerAsItWasSent(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	b := f.backend("i-1", nil)
	f.configure(1000, key)
	f.up(1)
	r, id := f.call(0, http.MethodPost, "/order//a/../b?q=%2F&&", "body", func(r *http.Request) {
		r.Header.Set("X-Tenant", "somebody-else")
		r.Header.Set("X-Expect-Instance", "i-9")
		r.Header.Set("Connection", "X-Secret")
		r.Header.Set("X-Secret", "1")
		r.Header.Set("X-Other", "2")
	})
	must.Eq(t, http.StatusOK, r.status)
	must.Eq(t, "i-1:body", r.body)
	must.Eq(t, "seal", r.header.Get("X-Response-Seal"))
	must.Eq(t, id, r.header.Get("X-Attempt-Id"))
	must.Eq(t, "/order//a/../b?q=%2F&&", b.lastURI)
	must.Eq(t, "w", b.last.Get("X-Tenant"))
	must.Eq(t, "", b.last.Get("Authorization"))
	must.Eq(t, "", b.last.Get("X-Secret"))
	must.Eq(t, "2", b.last.Get("X-Other"))
	must.Eq(t, id, b.last.Get("X-Attempt-Id"))
}

func TestRefusalsBeforeAnyServer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	b := f.backend("i-1", nil)
	f.start(nil)
	r, _ := f.order(0)
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.NotEq(t, "", r.header.Get("Retry-After"))
	must.False(t, f.ready(0))

	f.configure(1000, key)
	eventually(t, 3*time.Second, "ready", func() bool { return f.ready(0) })
	r, _ = f.call(0, http.MethodGet, "/elsewhere/1", "", nil)
	must.Eq(t, http.StatusNotFound, r.status)
	r, _ = f.call(0, http.MethodGet, "/lookup/1", "", func(r *http.Request) { r.Header.Set("Authorization", "Token wrong") })
	must.Eq(t, http.StatusUnauthorized, r.status)
	r, _ = f.call(0, http.MethodGet, "/public/1", "", func(r *http.Request) { r.Header.Del("Authorization") })
	must.Eq(t, http.StatusOK, r.status)
	r, _ = f.call(0, http.MethodPost, "/order/1", strings.Repeat("x", 100001), nil)
	must.Eq(t, http.StatusRequestEntityTooLarge, r.status)
	must.Eq(t, 1, b.total())
}

// The server resets the connection of an order that it may have run. The
// caller is told that nobody knows (502); a second server must not get it.
func TestOrderThatMayHaveRunIsntRepeated(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.backend("i-1", reset), f.backend("i-2", reset)
	f.configure(1000, key)
	f.up(1)
	for range 10 {
		r, id := f.order(0)
		must.Eq(t, http.StatusBadGateway, r.status)
		must.Eq(t, "", r.header.Get("X-Response-Seal"))
		must.Eq(t, 1, a.runs(id)+b.runs(id))
	}
}

// A server says that it had no room. That is proof that it didn't run the
// order, so another may get it.
func TestRefusedOrderGoesToAnotherServer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", full)
	b := f.backend("i-2", nil)
	f.configure(1000, key)
	f.up(1)
	for range 10 {
		r, id := f.order(0)
		must.Eq(t, http.StatusOK, r.status)
		must.Eq(t, 1, b.runs(id))
	}
}

// All servers say that they have no room. The refusal is true and says when to
// come back.
func TestOrderThatNobodyRanIsRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", full)
	f.backend("i-2", full)
	f.configure(1000, key)
	f.up(1)
	r, _ := f.order(0)
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.NotEq(t, "", r.header.Get("Retry-After"))
}

func TestLookupIsRepeatedAtAnotherServer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", reset)
	f.backend("i-2", nil)
	f.configure(1000, key)
	f.up(1)
	for range 10 {
		r, _ := f.lookup(0)
		must.Eq(t, http.StatusOK, r.status)
		must.Eq(t, "i-2:", r.body)
	}
}

// A success without a server's proof is nobody's answer; it must not reach the
// caller as one.
func TestUnprovedSuccessIsntDelivered(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("forged")) })
	f.configure(1000, key)
	f.up(1)
	r, _ := f.order(0)
	must.Eq(t, http.StatusBadGateway, r.status)
	must.StrNotContains(t, r.body, "forged")
}

// A server's own failure is passed on with its proof and status.
func TestServersOwnFailureIsDelivered(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Response-Seal", "s500")
		w.WriteHeader(http.StatusInternalServerError)
	})
	f.configure(1000, key)
	f.up(1)
	r, _ := f.order(0)
	must.Eq(t, http.StatusInternalServerError, r.status)
	must.Eq(t, "s500", r.header.Get("X-Response-Seal"))
}

// The server hangs. The caller's final answer comes at the route's time limit
// of 1.5 s, not at its own deadline of 2 s, and doesn't claim "not run".
func TestAnswerComesAtTheRoutesTimeout(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f.configure(1000, key)
	f.up(1)
	start := time.Now()
	r, _ := f.order(0)
	must.Eq(t, http.StatusGatewayTimeout, r.status)
	must.Between(t, 1400*time.Millisecond, time.Since(start), 1900*time.Millisecond)
}

// The caller gives up. Its server must learn of it at once and stop the work.
func TestCallerThatLeavesStopsTheWork(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	left := make(chan struct{})
	f.backend("i-1", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	})
	f.configure(1000, key)
	f.up(1)
	client := http.Client{Timeout: 100 * time.Millisecond}
	req, err := http.NewRequest(http.MethodGet, "http://"+f.at(0, 0)+"/lookup/1", nil)
	must.NoError(t, err)
	req.Host = "h.example"
	req.Header.Set("Authorization", "Token "+key)
	_, err = client.Do(req)
	must.Error(t, err)
	select {
	case <-left:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the server is still at work 0.4 s after its caller has left")
	}
}

// A key is taken away. Each instance must refuse it within two seconds, also
// those that never ask the store themselves.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.up(4)
	for i := range 4 {
		r, _ := f.lookup(i)
		must.Eq(t, http.StatusOK, r.status)
	}
	f.configure(1000, "another")
	for i := range 4 {
		eventually(t, 1500*time.Millisecond, "the key is refused", func() bool {
			r, _ := f.lookup(i)
			return r.status == http.StatusUnauthorized
		})
	}
}

// The instances share what one of them reads. If each asked for itself, eight
// of them would make 35 calls a second.
func TestFewCallsOfTheStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.up(8)
	time.Sleep(2 * time.Second)
	before := f.store.Calls()
	time.Sleep(3 * time.Second)
	must.Less(t, 3*8, f.store.Calls()-before)
}

// The store refuses one instance and serves the others. The one must go on
// serving, and know of changes, by what the others tell it.
func TestInstanceThatTheStoreRefusesServesOn(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.up(3)
	f.store.SetFault(func(ip string) rowstore.Fault {
		if ip == f.ip(1) {
			return rowstore.Busy
		}
		return rowstore.None
	})
	f.configure(1000, "another")
	eventually(t, 2*time.Second, "the new configuration is in force", func() bool {
		r, _ := f.lookup(1)
		return r.status == http.StatusUnauthorized
	})
	f.configure(1000, key)
	eventually(t, 2*time.Second, "the next configuration is in force", func() bool {
		r, _ := f.lookup(1)
		return r.status == http.StatusOK
	})
	time.Sleep(revokeS * time.Second)
	r, _ := f.lookup(1)
	must.Eq(t, http.StatusOK, r.status)
}

// The whole store is away. A short absence refuses nobody; once a key could
// have been taken away without this instance knowing, nothing with a key is
// admitted. Its return brings everything back.
func TestStoreAway(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	b := f.backend("i-1", nil)
	f.configure(1000, key)
	f.up(2)
	for _, fault := range []rowstore.Fault{rowstore.Silent, rowstore.Reset, rowstore.TooMany} {
		f.store.SetFault(func(string) rowstore.Fault { return fault })
		time.Sleep(time.Second)
		r, _ := f.lookup(0)
		must.Eq(t, http.StatusOK, r.status)
		time.Sleep(revokeS * time.Second)
		ran := b.total()
		r, _ = f.lookup(0)
		must.Eq(t, http.StatusServiceUnavailable, r.status)
		must.NotEq(t, "", r.header.Get("Retry-After"))
		must.Eq(t, ran, b.total())
		must.False(t, f.ready(0))
		must.Len(t, 0, f.addresses(0))
		r, _ = f.call(0, http.MethodGet, "/public/1", "", nil)
		must.Eq(t, http.StatusOK, r.status)
		f.store.SetFault(nil)
		eventually(t, 3*time.Second, "served again", func() bool {
			r, _ := f.lookup(0)
			return r.status == http.StatusOK && f.ready(0)
		})
	}
}

// An instance starts while the store refuses it. What the others know is
// enough to serve.
func TestStartWhileTheStoreRefusesTheNewcomer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.up(2)
	f.store.SetFault(func(ip string) rowstore.Fault {
		if ip == f.ip(2) {
			return rowstore.Reset
		}
		return rowstore.None
	})
	n := f.start(nil)
	eventually(t, 5*time.Second, "the newcomer serves", func() bool {
		r, _ := f.lookup(n)
		return r.status == http.StatusOK && f.ready(n)
	})
}

// The newest configuration can't be read. The former one may be withdrawn by
// it, so that requests with keys stop once its age can't be proved; the next
// good one brings them back.
func TestConfigurationThatMakesNoSense(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.up(1)
	f.store.Put("op", "config", []byte(`{"version":"zz"`))
	eventually(t, 5*time.Second, "not ready", func() bool { return !f.ready(0) })
	eventually(t, 5*time.Second, "refused", func() bool {
		r, _ := f.lookup(0)
		return r.status == http.StatusServiceUnavailable
	})
	must.StrContains(t, f.instances[0].log.String(), `"event":512`)
	f.configure(1000, key)
	eventually(t, 3*time.Second, "served again", func() bool {
		r, _ := f.lookup(0)
		return r.status == http.StatusOK && f.ready(0)
	})
}

// A server drains, or its entry is gone: it gets nothing more within two
// seconds, at any instance.
func TestLeavingServerGetsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.backend("i-1", nil), f.backend("i-2", nil)
	f.backend("i-3", nil)
	f.configure(1000, key)
	f.up(3)
	f.list(a, "draining")
	f.store.Remove("servers", "i-2")
	time.Sleep(1500 * time.Millisecond)
	before := a.total() + b.total()
	for i := range 30 {
		r, _ := f.lookup(i % 3)
		must.Eq(t, http.StatusOK, r.status)
	}
	must.Eq(t, before, a.total()+b.total())
}

// Entries run out while the store is away, and are back two seconds after its
// return. Requests in between must be served by the servers known before.
func TestEntriesThatRanOutWithTheStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	b := f.backend("i-1", nil)
	f.configure(1000, key)
	f.start(func(s *settings.Settings) { s.Bounds.RevokeS = 30 })
	eventually(t, 3*time.Second, "ready", func() bool { return f.ready(0) })
	f.store.SetFault(func(string) rowstore.Fault { return rowstore.Busy })
	time.Sleep(2500 * time.Millisecond)
	f.store.Remove("servers", "i-1")
	f.store.SetFault(nil)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, _ := f.lookup(0)
		must.Eq(t, http.StatusOK, r.status)
	}
	f.list(b, "ready")
	time.Sleep(2 * time.Second)
	r, _ := f.lookup(0)
	must.Eq(t, http.StatusOK, r.status)
}

// The store forgets its history. Changes that nobody has heard of must not be
// missed.
func TestHistoryIsForgotten(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.up(2)
	f.configure(1000, "another")
	f.store.Forget()
	for i := range 2 {
		eventually(t, 2*time.Second, "the new configuration is in force", func() bool {
			r, _ := f.lookup(i)
			return r.status == http.StatusUnauthorized
		})
	}
}

// A planned stop: the instance is named to nobody any more at once, finishes
// what it has, asks callers to go elsewhere, and after half of its time says
// so to those that still come.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	release := make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	t.Cleanup(finish)
	f.backend("i-1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.RequestURI, "slow") {
			<-release
		}
		w.Header().Set("X-Response-Seal", "seal")
	})
	f.configure(1000, key)
	f.up(2)
	var wg sync.WaitGroup
	var slow result
	wg.Go(func() { slow, _ = f.call(0, http.MethodPost, "/order/slow", "body", nil) })
	time.Sleep(100 * time.Millisecond)
	f.instances[0].cancel()
	eventually(t, 500*time.Millisecond, "not named any more", func() bool {
		return !f.ready(0) && len(f.addresses(1)) == 1 && f.addresses(1)[0] == f.at(1, 0)
	})
	r, _ := f.lookup(0)
	must.Eq(t, http.StatusOK, r.status)
	must.True(t, r.closes)
	time.Sleep(700 * time.Millisecond)
	finish()
	wg.Wait()
	must.Eq(t, http.StatusOK, slow.status)
	eventually(t, 2*time.Second, "told to go elsewhere, or gone", func() bool {
		r, _ := f.lookup(0)
		return r.err != nil || (r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "")
	})
	select {
	case <-f.instances[0].done:
		f.instances[0].done <- nil
	case <-time.After(3 * time.Second):
		t.Fatal("the instance doesn't end")
	}
}

// A server hangs on a request, and the store hangs on a call, when the instance
// is told to stop. It must end before it is ended by force.
func TestPlannedStopEndsInTime(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f.configure(1000, key)
	f.up(1)
	f.store.SetFault(func(string) rowstore.Fault { return rowstore.Silent })
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				f.lookup(0)
			}
		}
	})
	time.Sleep(200 * time.Millisecond)
	start := time.Now()
	f.instances[0].cancel()
	select {
	case err := <-f.instances[0].done:
		f.instances[0].done <- err
	case <-time.After(5 * time.Second):
	}
	close(stop)
	wg.Wait()
	must.Less(t, 2900*time.Millisecond, time.Since(start))
}

// A workspace sends far more than its rate to three instances. The sum that
// runs keeps to rate and burst; who is refused is told when to come back.
func TestRateHoldsOverAllInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	b := f.backend("i-1", nil)
	f.configure(20, key)
	f.up(3)
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for i := range 3 {
		wg.Go(func() {
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if r, _ := f.lookup(i); r.status == http.StatusTooManyRequests {
					mu.Lock()
					refused++
					mu.Unlock()
					must.NotEq(t, "", r.header.Get("Retry-After"))
				}
			}
		})
	}
	wg.Wait()
	must.Positive(t, refused)
	must.Between(t, 40, b.total(), 20+20*3+10)
}

// A failure that one instance saw is known to the others: their next orders go
// elsewhere.
func TestFailureIsKnownToAll(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.up(3)
	for range 5 {
		for i := range 3 {
			r, _ := f.order(i)
			must.Eq(t, http.StatusOK, r.status)
		}
	}
	bad := f.backend("i-2", reset)
	eventually(t, 5*time.Second, "the newcomer has got a request", func() bool {
		f.lookup(0)
		return bad.total() > 0
	})
	time.Sleep(50 * time.Millisecond)
	before := bad.total()
	for i := range 30 {
		r, _ := f.order(i % 3)
		must.Eq(t, http.StatusOK, r.status)
	}
	must.Eq(t, before, bad.total())
}
