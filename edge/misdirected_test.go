package edge_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// reusedAddress is the address of a server that has crashed. A server of another service
// has it now and rejects the requests that are sent to the former one.
type reusedAddress struct {
	address  string
	rejected atomic.Int64
}

func newReusedAddress(t *testing.T) *reusedAddress {
	t.Helper()
	a := &reusedAddress{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.rejected.Add(1)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	t.Cleanup(s.Close)
	a.address = strings.TrimPrefix(s.URL, "http://")
	return a
}

// The entry of a crashed server remains while another service has its address, and the other
// servers fail. Guards against a fleet that keeps sending requests there: each is an arrival at that service.
func TestFewRequestsReachAReusedAddress(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	reused := newReusedAddress(t)
	f.backend("i-failing", resetConnection)
	f.backend("i-failing-too", resetConnection)
	f.configure(1000, key)
	f.startAll(3)
	f.entry("i-crashed", "s", reused.address, 1)
	eventually(t, 5*time.Second, "a request reaches the reused address", func() bool {
		f.lookup(0)
		return reused.rejected.Load() > 0
	})
	f.sendLookups(1500*time.Millisecond, 10*time.Millisecond)
	must.LessEq(t, 3, reused.rejected.Load(), must.Sprint("one of each instance at most"))
}
