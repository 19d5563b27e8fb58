package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/edge/settings"
	"foxtailspoke/internal/standin/rowstore"
)

// evacuationDelay is how long instances may take to apply an evacuation.
const evacuationDelay = 2 * time.Second

// Operators evacuate a data centre while the store rejects the calls of one
// instance. Guards against that instance not learning of the evacuation and
// sending requests to the evacuated servers.
func TestEvacuatedServersGetNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	away := f.backendIn("away", "i-away", nil)
	stays := f.backend("i-stays", nil)
	f.configure(1000, key)
	f.startAll(3)
	f.store.SetFault(func(ip string) rowstore.Fault {
		if ip == f.ip(1) {
			return rowstore.Unavailable
		}
		return rowstore.NoFault
	})
	f.store.Put("op", "evacuate/away", []byte("{}"))
	time.Sleep(evacuationDelay)
	before := away.total()
	for range 20 {
		for i := range 3 {
			r, _ := f.lookup(i)
			must.Eq(t, http.StatusOK, r.status)
		}
	}
	must.Eq(t, before, away.total())
	must.Positive(t, stays.total())

	s := f.status(1)
	must.Eq(t, []string{"away"}, s.Evacuated)
	must.Eq(t, 1, s.Services[0].Evacuated)

	f.store.Remove("op", "evacuate/away")
	eventually(t, 2*evacuationDelay, "data centre gets requests again", func() bool {
		for i := range 3 {
			f.lookup(i)
		}
		return away.total() > before
	})
}

// All instances restart during an evacuation. They must learn of it with the first
// data that they read.
func TestStartingInstanceAppliesEvacuation(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	away := f.backendIn("away", "i-away", nil)
	f.configure(1000, key)
	f.store.Put("op", "evacuate/away", []byte("{}"))
	f.startAll(2)
	for i := range 2 {
		r, _ := f.lookup(i)
		must.Eq(t, http.StatusServiceUnavailable, r.status)
		must.Eq(t, "servers-evacuated\n", r.body)
		must.NotEq(t, "", r.header.Get("Retry-After"))
	}
	must.Zero(t, away.total())
}

// A newer configuration is announced together with an evacuation. Guards against
// an instance that has yet to fetch the configuration delaying the evacuation
// until then.
func TestEvacuationWithANewConfiguration(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	away := f.backendIn("away", "i-away", nil)
	f.backend("i-stays", nil)
	f.configure(1000, key)
	f.startAll(3)
	f.store.Put("op", "evacuate/away", []byte("{}"))
	f.configure(1000, "other")
	f.configure(1000, key)
	time.Sleep(evacuationDelay)
	before := away.total()
	for range 20 {
		for i := range 3 {
			f.lookup(i)
		}
	}
	must.Eq(t, before, away.total())
}

func withRegions(s *settings.Settings) { s.Regions = map[string]string{"dc": "here", "away": "there"} }

// A route and a workspace are restricted to the same or to different regions.
// Guards against sending data that must stay in a region to servers outside it.
func TestRequestsStayInTheirRegions(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name             string
		route, workspace []string
		served           string
		status           int
	}{
		{"route", []string{"there"}, nil, "i-away:", http.StatusOK},
		{"workspace", nil, []string{"here"}, "i-here:", http.StatusOK},
		{"both", []string{"here", "there"}, []string{"there"}, "i-away:", http.StatusOK},
		{"disjoint", []string{"here"}, []string{"there"}, "no-server-in-allowed-regions\n", http.StatusServiceUnavailable},
		{"unknown region", []string{"elsewhere"}, nil, "no-server-in-allowed-regions\n", http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.backend("i-here", nil)
			f.backendIn("away", "i-away", nil)
			f.configureWith(func(config map[string]any) {
				for _, r := range config["routes"].([]any) {
					r.(map[string]any)["allowed_regions"] = tc.route
				}
				config["tenants"].([]any)[0].(map[string]any)["allowed_regions"] = tc.workspace
			}, 1000, key)
			f.start(withRegions)
			eventually(t, 3*time.Second, "instance is ready", func() bool { return f.ready(0) })
			for range 10 {
				r, _ := f.lookup(0)
				must.Eq(t, tc.status, r.status)
				must.Eq(t, tc.served, r.body)
			}
		})
	}
}

// A server starts under load and is cold. Guards against every instance sending it
// a request at once because it looks idle, which would overload it.
func TestColdServerKeepsToWarmUpRate(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configureWith(func(config map[string]any) {
		service := config["services"].([]any)[0].(map[string]any)
		service["warmup_s"], service["warmup_per_s"] = 3.0, 2.0
	}, 1000, key)
	warm := f.backend("i-warm", nil)
	f.startAll(5)
	cold := f.backend("i-cold", nil)
	f.writeColdEntry(cold, "ready", 3)
	eventually(t, 3*time.Second, "cold server gets a request", func() bool {
		for i := range 5 {
			f.lookup(i)
		}
		return cold.total() > 0
	})
	end := time.Now().Add(time.Second)
	before := cold.total()
	for time.Now().Before(end) {
		for i := range 5 {
			f.lookup(i)
		}
	}
	must.LessEq(t, 2+1, cold.total()-before)
	must.Positive(t, warm.total())
}

// The only server of a service is cold and already at its warm-up rate. Callers
// must be refused at once with a Retry-After.
func TestRefusalWhileAllServersAreCold(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configureWith(func(config map[string]any) {
		service := config["services"].([]any)[0].(map[string]any)
		service["warmup_s"], service["warmup_per_s"] = 3.0, 1.0
	}, 1000, key)
	f.startAll(1)
	cold := f.backend("i-cold", nil)
	f.writeColdEntry(cold, "ready", 3)
	eventually(t, 3*time.Second, "server gets a request", func() bool {
		r, _ := f.lookup(0)
		return r.status == http.StatusOK
	})
	start := time.Now()
	r, _ := f.lookup(0)
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.Eq(t, "servers-cold\n", r.body)
	must.NotEq(t, "", r.header.Get("Retry-After"))
	must.Less(t, 300*time.Millisecond, time.Since(start))
}
