package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/edge/settings"
)

// fleetSize is large enough that a read by every instance shows among the
// standing calls.
const fleetSize = 14

// A configuration changes. Whoever asks the store tells all instances that
// there is a newer one, and two of the data centre read it; the others have it
// from these. The new key must work everywhere within a second all the same.
func TestFewInstancesReadANewConfiguration(t *testing.T) {
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(0, key)
	f.startAll(fleetSize)
	time.Sleep(time.Second)
	before := f.store.Calls()
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
	// The standing calls are five a second, and two and a half seconds may
	// have passed.
	t.Logf("%d calls", f.store.Calls()-before)
	must.LessEq(t, 18, f.store.Calls()-before)
}

// The whole fleet starts for the first time, and callers come some seconds
// later. Two or three instances read the store; the others have it from them.
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
	// The rows of all instances are in them by then.
	eventually(t, 8*time.Second, "listed", func() bool { return len(f.store.Rows("instances")) == fleetSize })
	t.Logf("%d calls", f.store.Calls())
	must.LessEq(t, 3*fleetSize/2, f.store.Calls())
}
