package edge_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// unservedShares returns the share of unserved requests to service s that each instance
// knows.
func (f *fleet) unservedShares() []float64 {
	var shares []float64
	for n := range f.instances {
		for _, v := range f.status(n).Services {
			shares = append(shares, v.UnservedShare)
		}
	}
	return shares
}

// requireUnserved sends orders to instance 0 and requires that all instances know that
// most were not served.
func (f *fleet) requireUnserved(status int) {
	f.t.Helper()
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			r, _ := f.call(0, http.MethodPost, "/order/1", "body", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "400") })
			if r.status != status {
				f.t.Errorf("status %d, want %d", r.status, status)
			}
		})
	}
	wg.Wait()
	f.awaitUnserved()
}

// awaitUnserved waits until both instances know that most orders are not served.
func (f *fleet) awaitUnserved() {
	f.t.Helper()
	eventually(f.t, time.Second, "all instances know that orders are not served", func() bool {
		shares := f.unservedShares()
		return len(shares) == 2 && min(shares[0], shares[1]) > 0.8
	})
}

// A server hangs. Guards against orders that time out without counting as unserved, so
// that the idle servers of the service stay idle.
func TestTimedOutRequestsCountAsUnserved(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	f.backend("hanging", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f.startAll(2)
	f.requireUnserved(http.StatusGatewayTimeout)
}

// The only server rejects all requests. Guards against orders that find no second server
// without counting as unserved.
func TestRequestsWithoutASecondServerCountAsUnserved(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	f.backend("full", rejectNotExecuted)
	f.startAll(2)
	f.requireUnserved(http.StatusServiceUnavailable)
}

// A server hangs, and callers disconnect long before the deadline. Guards against requests
// that callers give up without counting as unserved, so that the idle servers of the service
// stay idle.
func TestRequestsThatCallersGiveUpCountAsUnserved(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	f.backend("hanging", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f.startAll(2)
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			r, _ := f.call(0, http.MethodPost, "/order/1", "body", func(r *http.Request) { *r = *r.WithContext(ctx) })
			if r.err == nil {
				t.Errorf("status %d, want no response", r.status)
			}
		})
	}
	wg.Wait()
	f.awaitUnserved()
}

// Guards against requests that count twice because several attempts of them failed.
func TestServedRequestsDoNotCountAsUnserved(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	f.backend("full", rejectNotExecuted)
	f.backend("well", nil)
	f.startAll(2)
	must.Positive(t, f.sendLookups(time.Second, 10*time.Millisecond))
	for _, share := range f.unservedShares() {
		must.Less(t, 0.1, share)
	}
}
