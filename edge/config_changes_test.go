package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The configuration changes every 300 ms, so that each update of its table names one that
// most instances have yet to fetch. Guards against dropping what such an update proves:
// the instances would soon refuse all requests with keys, though the store answers.
func TestRequestsAreServedWhileTheConfigurationChangesOften(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1000, key)
	f.backend("one", nil)
	f.startAll(8)
	var oldest int64
	for begin := time.Now(); time.Since(begin) < 5*time.Second; {
		f.configure(1000, key)
		time.Sleep(300 * time.Millisecond)
		for n := range f.instances {
			oldest = max(oldest, f.status(n).ConfigAgeMS)
			r, _ := f.order(n)
			must.NoError(t, r.err)
			must.Eq(t, http.StatusOK, r.status, must.Sprintf("instance %d after %s; oldest configuration: %d ms", n, time.Since(begin), oldest))
		}
	}
	t.Logf("oldest configuration: %d ms", oldest)
}
