package soak_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	configSeed      = flag.Uint64("config.seed", 1, "first seed of TestConfigChangesComeIntoForce")
	configSeeds     = flag.Int("config.seeds", 1, "number of seeds")
	configPeriod    = flag.Duration("config.for", 12*time.Second, "duration of the changes and faults per seed")
	configInstances = flag.Int("config.instances", 12, "number of instances")
	configFaults    = flag.String("config.faults", "", "comma-separated names of the faults to inject; default: all")
	configLoad      = flag.Int("config.load", 0, "number of processes that keep a core busy")
)

const (
	// configApplyBound is how long after its confirmation a change may not be in force yet.
	configApplyBound = 2 * time.Second
	// regressionSlack is how long after a server saw a version an older one may still be used.
	regressionSlack = 250 * time.Millisecond
	// probeInterval is the time between two requests of a prober, probersPerInstance the
	// number of connections to each instance.
	probeInterval      = 50 * time.Millisecond
	probersPerInstance = 2
	// probeTimeout is how long a prober waits. Its request may still be in the buffer of a
	// paused process after that.
	probeTimeout = 1200 * time.Millisecond
	probeKey     = "key-of-probes"
	// probeWorkspacePrefix is followed by the index of the version, so that the workspace of a
	// request names the version that handled it.
	probeWorkspacePrefix = "version-"
)

// TestConfigChangesComeIntoForce changes the configuration again and again while instances
// are killed, restarted and paused and the store fails. It checks that instances that have
// had no fault for contactPeriod handle no request by a version that was replaced more than
// configApplyBound before the request was sent, that a resumed process doesn't either, and
// that no instance returns to an older version.
func TestConfigChangesComeIntoForce(t *testing.T) {
	binary := buildEdge(t)
	for range *configLoad {
		startBusyProcess(t)
	}
	for i := range *configSeeds {
		playConfigChanges(t, binary, *configSeed+uint64(i))
	}
}

// A process stands still for three seconds while the configuration changes. Guards against
// handling the requests that waited in its buffers by the replaced version once it runs again.
func TestResumedInstanceUsesNoReplacedConfiguration(t *testing.T) {
	f := newConfigFleet(t, buildEdge(t), 1, 3)
	defer f.shutdown()
	f.start()
	for n := range f.processes {
		f.pauseFor(n, 3*time.Second)
		f.change()
		time.Sleep(4 * time.Second)
	}
	for _, v := range f.history.report() {
		t.Error(v)
	}
	for _, line := range f.history.summary() {
		t.Log(line)
	}
}

func startBusyProcess(t *testing.T) {
	t.Helper()
	cmd := exec.Command("sh", "-c", "while :; do :; done")
	must.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

func playConfigChanges(t *testing.T, binary string, seed uint64) {
	t.Helper()
	f := newConfigFleet(t, binary, seed, *configInstances)
	defer f.shutdown()
	f.start()
	f.play(*configPeriod)
	f.endFaults()
	time.Sleep(configApplyBound + time.Second)
	violations := f.history.report()
	for _, line := range f.history.summary() {
		t.Logf("seed %d: %s", seed, line)
	}
	for _, v := range violations {
		t.Errorf("seed %d: %s", seed, v)
	}
	if len(violations) > 0 {
		t.Logf("seed %d: process logs in %s", seed, f.saveLogs())
	}
}

// configFleet is a cluster whose only workspace sends probes on routes that change with each
// version of the configuration.
type configFleet struct {
	*cluster
	history *configHistory
	servers *httptest.Server
	// storeServers are the servers of the store, one for each instance.
	storeServers []*httptest.Server
	probes       atomic.Int64
	// size is the number of instances.
	size int
}

// probedServices is the number of services that the probed route goes to in turn.
const probedServices = 8

func newConfigFleet(t *testing.T, binary string, seed uint64, size int) *configFleet {
	t.Helper()
	f := &configFleet{cluster: newCluster(t, binary, seed), history: newConfigHistory(), size: size}
	f.revokeS = 5
	f.servers = httptest.NewServer(http.HandlerFunc(f.serveProbe))
	for i := range probedServices {
		entry, err := json.Marshal(map[string]any{
			"service": fmt.Sprintf("s%d", i), "address": strings.TrimPrefix(f.servers.URL, "http://"), "zone": "dc-0",
			"slots": 1000, "state": "ready", "seq": 1, "born": firstStartTimeMS,
		})
		must.NoError(t, err)
		f.store.Put("servers", fmt.Sprintf("i-%d", i), entry)
	}
	return f
}

// serveProbe is the backend server of all services.
func (f *configFleet) serveProbe(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	service, err := strconv.Atoi(strings.TrimPrefix(r.Header.Get("X-Expect-Instance"), "i-"))
	if err != nil {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	version, err := strconv.Atoi(strings.TrimPrefix(r.Header.Get("X-Tenant"), probeWorkspacePrefix))
	if err != nil {
		f.t.Errorf("probe %s names no version: X-Tenant is %q", id, r.Header.Get("X-Tenant"))
		return
	}
	f.history.handled(id, version, service, time.Now())
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Seal", "seal")
	_, _ = io.WriteString(w, strconv.Itoa(service))
}

func (f *configFleet) start() {
	f.change()
	for n := range f.size {
		f.processes = append(f.processes, &process{index: n})
		f.storeLinks = append(f.storeLinks, f.startLink(strings.TrimPrefix(f.startStoreServer(n).URL, "http://")))
		f.launch(f.processes[n])
	}
	deadline := time.Now().Add(20 * time.Second)
	for n := range f.processes {
		for !f.ready(n) {
			must.True(f.t, time.Now().Before(deadline), must.Sprintf("instance %d is not ready; its log:\n%s", n, f.processLog(n)))
			time.Sleep(20 * time.Millisecond)
		}
		for range probersPerInstance {
			f.wg.Go(func() { f.probe(n) })
		}
	}
	f.onLaunch = func(n int) { f.recordFault(n, faultRestart) }
}

// startStoreServer starts a server of the store for one instance. All instances call it from the
// same loopback address, so that the server sets the one by which the store selects its faults.
func (f *configFleet) startStoreServer(n int) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.RemoteAddr = net.JoinHostPort(f.instanceIP(n), "1")
		f.store.ServeHTTP(w, r)
	}))
	f.storeServers = append(f.storeServers, server)
	return server
}

// change writes the next version: the probed route goes to the next service, a route is
// added, and one is removed.
func (f *configFleet) change() {
	index := f.history.begin()
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "prefix": prefix, "route_kind": "idempotent", "timeout_s": 1.5, "aim_s": 0.5,
			"service": service, "max_attempts": 1,
		}
	}
	service := fmt.Sprintf("s%d", index%probedServices)
	routes := []any{route("moved", "/moved/", service)}
	for i := max(0, index-3); i <= index; i++ {
		routes = append(routes, route(fmt.Sprintf("added-%d", i), fmt.Sprintf("/added-%d/", i), service))
	}
	services := make([]any, probedServices)
	for i := range services {
		services[i] = map[string]any{"name": fmt.Sprintf("s%d", i)}
	}
	b, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", 2*index+1), "routes": routes, "services": services,
		"tenants": []any{map[string]any{"name": fmt.Sprintf("%s%d", probeWorkspacePrefix, index), "api_keys": []string{probeKey}}},
	})
	must.NoError(f.t, err)
	f.store.Put("op", "config", b)
	f.history.confirm(index, time.Now())
}

// probe sends requests to one instance on a kept connection until the test ends.
func (f *configFleet) probe(n int) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: probeTimeout}).DialContext, MaxIdleConnsPerHost: 1,
	}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(probeInterval/2 + rand.N(probeInterval)):
		}
		f.sendProbe(client, n)
	}
}

func (f *configFleet) sendProbe(client *http.Client, n int) {
	path := "/moved/"
	index := f.history.latest()
	added := rand.IntN(3) == 0
	if added {
		path = fmt.Sprintf("/added-%d/", index)
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+f.instanceAddress(n, 0)+path, nil)
	must.NoError(f.t, err)
	id := fmt.Sprintf("p%d", f.probes.Add(1))
	req.Host = "h"
	req.Header.Set("Authorization", "Token "+probeKey)
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "1500")
	sentAt := time.Now()
	f.history.sent(id, n, sentAt)
	resp, err := client.Do(req)
	if err != nil {
		f.history.failed()
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	f.history.answered(resp.StatusCode)
	if added && resp.StatusCode == http.StatusNotFound {
		f.history.routeMissing(id, index, time.Now())
	}
}
