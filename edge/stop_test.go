package edge_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/standin/rowstore"
)

// On a planned stop an instance must be removed from the directory at once, finish
// its requests and ask callers to use other instances. After two fifths of the grace
// period it must refuse requests that still arrive.
func TestPlannedStopFinishesRequests(t *testing.T) {
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
	f.startAll(2)
	var wg sync.WaitGroup
	var slow result
	wg.Go(func() { slow, _ = f.call(0, http.MethodPost, "/order/slow", "body", nil) })
	time.Sleep(100 * time.Millisecond)
	f.instances[0].cancel()
	eventually(t, 500*time.Millisecond, "instance removed from the directory", func() bool {
		return !f.ready(0) && len(f.addresses(1)) == 1 && f.addresses(1)[0] == f.address(1, 0)
	})
	r, _ := f.lookup(0)
	must.Eq(t, http.StatusOK, r.status)
	must.True(t, r.closes)
	time.Sleep(700 * time.Millisecond)
	finish()
	wg.Wait()
	must.Eq(t, http.StatusOK, slow.status)
	eventually(t, 2*time.Second, "request refused with a Retry-After, or instance ended", func() bool {
		r, _ := f.lookup(0)
		return r.err != nil || (r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "")
	})
	select {
	case <-f.instances[0].done:
		f.instances[0].done <- nil
	case <-time.After(3 * time.Second):
		t.Fatal("instance did not end within 3 s")
	}
}

// A server and the store do not respond while the instance stops. It must end
// before the platform kills it.
func TestPlannedStopEndsInTime(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f.configure(1000, key)
	f.startAll(1)
	f.store.SetFault(func(string) rowstore.Fault { return rowstore.NoResponse })
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

// The platform counts from the signal, which a slow machine handles late. Guards against
// requests that are accepted in the second half of the grace period and can't be finished.
func TestStoppingInstanceRefusesRequestsWellBeforeHalfOfTheGracePeriod(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configure(1000, key)
	f.startAll(1)
	const grace = 3 * time.Second
	start := time.Now()
	f.instances[0].cancel()
	accepted := time.Duration(0)
	for sent := time.Since(start); sent < grace*2/3; sent = time.Since(start) {
		if r, _ := f.lookup(0); r.status == http.StatusOK {
			accepted = sent
		}
		time.Sleep(5 * time.Millisecond)
	}
	must.Between(t, grace*3/10, accepted, grace*9/20)
	eventually(t, 2*time.Second, "the instance ends", func() bool {
		select {
		case err := <-f.instances[0].done:
			f.instances[0].done <- err
			return true
		default:
			return false
		}
	})
}
