package soak_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// drainedServers are a second server of each probed service, which drain together.
type drainedServers struct {
	f      *configFleet
	server *httptest.Server

	mu            sync.Mutex
	drainingSince time.Time
	violations    []string
}

func newDrainedServers(f *configFleet) *drainedServers {
	d := &drainedServers{f: f}
	d.server = httptest.NewServer(d)
	f.t.Cleanup(d.server.Close)
	d.register("ready", 1)
	return d
}

func (d *drainedServers) register(state string, seq int) {
	for i := range probedServices {
		entry, err := json.Marshal(map[string]any{
			"service": fmt.Sprintf("s%d", i), "address": strings.TrimPrefix(d.server.URL, "http://"), "zone": "dc-0",
			"slots": 1000, "state": state, "seq": seq, "born": firstStartTimeMS,
		})
		must.NoError(d.f.t, err)
		d.f.store.Put("servers", fmt.Sprintf("j-%d", i), entry)
	}
}

// drain has the servers drain and records when the store has confirmed it.
func (d *drainedServers) drain() {
	d.register("draining", 2)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainingSince = time.Now()
}

// ServeHTTP checks when the probe was sent and answers like the other servers.
func (d *drainedServers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sentAt := d.f.history.sentAt(r.Header.Get("X-Attempt-Id"))
	d.mu.Lock()
	if !d.drainingSince.IsZero() && sentAt.Sub(d.drainingSince) > drainBound {
		d.violations = append(d.violations, fmt.Sprintf("%s got a probe sent %v after it started draining", r.Header.Get("X-Expect-Instance"), sentAt.Sub(d.drainingSince)))
	}
	d.mu.Unlock()
	r.Header.Set("X-Expect-Instance", strings.Replace(r.Header.Get("X-Expect-Instance"), "j-", "i-", 1))
	d.f.serveProbe(w, r)
}

// A process stands still while servers start to drain. Guards against sending the requests that
// waited in its buffers to them, which may be about to exit.
func TestResumedInstanceSendsNothingToDrainedServers(t *testing.T) {
	f := newConfigFleet(t, buildEdge(t), 1, 3)
	defer f.shutdown()
	d := newDrainedServers(f)
	f.start()
	time.Sleep(time.Second)
	for n := range f.processes {
		f.pauseFor(n, 3*time.Second)
	}
	d.drain()
	time.Sleep(5 * time.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.violations {
		t.Error(v)
	}
}
