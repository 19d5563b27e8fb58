package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestRequestIsForwardedAsSent(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	b := f.backend("i-1", nil)
	f.configure(1000, key)
	f.startAll(1)
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
	eventually(t, 3*time.Second, "instance is ready", func() bool { return f.ready(0) })
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

// The server resets the connection of an order that it may have executed. The
// caller must get 502, and no second server may get the order.
func TestPossiblyExecutedOrderIsNotRetried(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.backend("i-1", resetConnection), f.backend("i-2", resetConnection)
	f.configure(1000, key)
	f.startAll(1)
	for range 10 {
		r, id := f.order(0)
		must.Eq(t, http.StatusBadGateway, r.status)
		must.Eq(t, "", r.header.Get("X-Response-Seal"))
		must.Eq(t, 1, a.executions(id)+b.executions(id))
	}
}

// A server reports that it had no capacity. This proves that it did not execute
// the order, so another server may get it.
func TestRefusedOrderGoesToAnotherServer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", rejectNotExecuted)
	b := f.backend("i-2", nil)
	f.configure(1000, key)
	f.startFirst(1)
	for range 10 {
		r, id := f.order(0)
		must.Eq(t, http.StatusOK, r.status)
		must.Eq(t, 1, b.executions(id))
	}
}

// All servers report that they have no capacity. The refusal must report the order
// as not executed and have a Retry-After.
func TestUnexecutedOrderIsRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", rejectNotExecuted)
	f.backend("i-2", rejectNotExecuted)
	f.configure(1000, key)
	f.startAll(1)
	r, _ := f.order(0)
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.NotEq(t, "", r.header.Get("Retry-After"))
}

func TestLookupIsRetriedOnAnotherServer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", resetConnection)
	f.backend("i-2", nil)
	f.configure(1000, key)
	f.startFirst(1)
	for range 10 {
		r, _ := f.lookup(0)
		must.Eq(t, http.StatusOK, r.status)
		must.Eq(t, "i-2:", r.body)
	}
}

// A successful response without a server's signature must not reach the caller as
// a success.
func TestUnsignedSuccessIsNotForwarded(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("forged")) })
	f.configure(1000, key)
	f.startAll(1)
	r, _ := f.order(0)
	must.Eq(t, http.StatusBadGateway, r.status)
	must.StrNotContains(t, r.body, "forged")
}

// A server's signed error response is forwarded with its signature and status.
func TestServerErrorIsForwarded(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Response-Seal", "s500")
		w.WriteHeader(http.StatusInternalServerError)
	})
	f.configure(1000, key)
	f.startAll(1)
	r, _ := f.order(0)
	must.Eq(t, http.StatusInternalServerError, r.status)
	must.Eq(t, "s500", r.header.Get("X-Response-Seal"))
}

// The server does not respond. The caller must get its response at the route's
// timeout of 1.5 s, not at its own deadline of 2 s, and without the claim that the
// order was not executed.
func TestResponseAtRouteTimeout(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f.configure(1000, key)
	f.startAll(1)
	start := time.Now()
	r, _ := f.order(0)
	must.Eq(t, http.StatusGatewayTimeout, r.status)
	must.Between(t, 1400*time.Millisecond, time.Since(start), 1900*time.Millisecond)
}

// The caller disconnects. The server must see the cancellation at once so that it
// can stop working.
func TestDisconnectCancelsServerRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	left := make(chan struct{})
	f.backend("i-1", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	})
	f.configure(1000, key)
	f.startAll(1)
	client := http.Client{Timeout: 100 * time.Millisecond}
	req, err := http.NewRequest(http.MethodGet, "http://"+f.address(0, 0)+"/lookup/1", nil)
	must.NoError(t, err)
	req.Host = "h.example"
	req.Header.Set("Authorization", "Token "+key)
	_, err = client.Do(req)
	must.Error(t, err)
	select {
	case <-left:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("server not cancelled within 400 ms after its caller disconnected")
	}
}
