package edge_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A workspace exceeds its rate at three instances. The total that is executed must
// keep to its rate and burst, and refusals must have a Retry-After.
func TestRateHoldsOverAllInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	b := f.backend("i-1", nil)
	f.configure(20, key)
	f.startAll(3)
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

// A failure seen by one instance must be known to the others, so that their next
// orders go to another server.
func TestFailureIsSharedWithOtherInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.startAll(3)
	for range 5 {
		for i := range 3 {
			r, _ := f.order(i)
			must.Eq(t, http.StatusOK, r.status)
		}
	}
	bad := f.backend("i-2", resetConnection)
	eventually(t, 5*time.Second, "new server gets a request", func() bool {
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
