package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/edge/settings"
)

// fleetSize is large enough for a read by every instance to stand out from the
// regular calls.
const fleetSize = 14

// A configuration changes. The polling instance announces it to all, and two
// instances of the data centre read it; the others fetch it from these. The new
// key must still work on all instances within a second.
func TestFewInstancesReadANewConfiguration(t *testing.T) {
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(0, key)
	f.startAll(fleetSize)
	time.Sleep(time.Second)
	before := f.store.RequestCount()
	f.configure(0, "new-key")
	for n := range fleetSize {
		eventually(t, time.Second, "the new key works", func() bool {
			r, _ := f.call(n, http.MethodGet, "/lookup/1", "", func(r *http.Request) {
				r.Header.Set("Authorization", "Token new-key")
			})
			return r.status == http.StatusOK
		})
	}
	time.Sleep(time.Second)
	// The regular calls are five a second, and two and a half seconds may have
	// passed.
	t.Logf("%d calls", f.store.RequestCount()-before)
	must.LessEq(t, 18, f.store.RequestCount()-before)
}

// The whole fleet starts for the first time, and callers arrive some seconds
// later. Two or three instances read the store; the others fetch the data from
// them.
func TestFirstStartReadsTheStoreFewTimes(t *testing.T) {
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(0, key)
	for range fleetSize {
		f.start(func(s *settings.Settings) { s.FirstStart = true })
	}
	for n := range fleetSize {
		eventually(t, 5*time.Second, "ready", func() bool { return f.ready(n) })
	}
	// The calls include those that write the rows of all instances.
	eventually(t, 8*time.Second, "listed", func() bool { return len(f.store.Rows("instances")) == fleetSize })
	t.Logf("%d calls", f.store.RequestCount())
	must.LessEq(t, 3*fleetSize/2, f.store.RequestCount())
}
