package edge_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/standin/rowstore"
)

// leavingServer is a backend server whose responses announce that it is about to stop.
// Its entry in the store stays in state ready.
type leavingServer struct {
	*backend
	arrivals atomic.Int64
}

func (f *fleet) leavingServer(id string) *leavingServer {
	f.t.Helper()
	s := &leavingServer{}
	s.backend = f.backend(id, func(w http.ResponseWriter, _ *http.Request) {
		s.arrivals.Add(1)
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("X-Response-Seal", "seal")
	})
	return s
}

// fleetWithLeavingServer returns a fleet of one instance that has received a response of
// a server that leaves, and can use another server.
func fleetWithLeavingServer(t *testing.T) (*fleet, *leavingServer) {
	t.Helper()
	f := newFleet(t)
	f.configure(1000, key)
	s := f.leavingServer("leaving")
	f.backend("other", nil)
	f.startAll(1)
	eventually(t, 5*time.Second, "the leaving server gets a request", func() bool {
		f.lookup(0)
		return s.arrivals.Load() > 0
	})
	return f, s
}

// Guards against requests to a server that announced its stop in a response only.
func TestServerThatAnnouncedItsStopGetsNoRequests(t *testing.T) {
	t.Parallel()
	f, s := fleetWithLeavingServer(t)
	before := s.arrivals.Load()
	must.Positive(t, f.sendLookups(4*time.Second, 10*time.Millisecond))
	must.Eq(t, before, s.arrivals.Load())
}

// The entry of a leaving server is renewed, or expires during a store outage and comes
// back. Guards against requests to the server after that.
func TestLeavingOutlivesTheRegistration(t *testing.T) {
	t.Parallel()
	f, s := fleetWithLeavingServer(t)
	before := s.arrivals.Load()
	f.writeColdEntry(s.backend, "ready", 3)
	f.sendLookups(time.Second, 10*time.Millisecond)
	f.store.SetFault(func(string) rowstore.Fault { return rowstore.Unavailable })
	f.sendLookups(time.Second, 10*time.Millisecond)
	f.store.SetFault(nil)
	f.store.Remove("servers", "leaving")
	f.sendLookups(4*time.Second, 10*time.Millisecond)
	f.writeEntry(s.backend, "ready")
	must.Positive(t, f.sendLookups(3*time.Second, 10*time.Millisecond))
	must.Eq(t, before, s.arrivals.Load())
}

// Guards against a server that stays unused after it has restarted under its id.
func TestRestartedServerIsUsedAfterItLeft(t *testing.T) {
	t.Parallel()
	f, s := fleetWithLeavingServer(t)
	before := s.arrivals.Load()
	s.startTimeMS++
	f.writeEntry(s.backend, "ready")
	eventually(t, 5*time.Second, "the restarted server gets a request", func() bool {
		f.lookup(0)
		return s.arrivals.Load() > before
	})
}
