package clientlimits_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/harness"
	"foxtailspoke/internal/standin/rowstore"
)

const (
	// machineMB is the memory of the smallest machines, which no process may exceed.
	machineMB = 136
	// answerTimeout is when a request that isn't answered counts as lost, however slow the machine is.
	answerTimeout = 20 * time.Second
	// maxHeaderBytes and headerTimeoutS are the limits of the configuration, as of the users' sites.
	maxHeaderBytes = 16384
	headerTimeoutS = 3
	// slowWork is how long servers take for a slow request.
	slowWork = 1200 * time.Millisecond
)

// Ports of an instance.
const (
	portCallers = iota
	portReadiness
	portDirectory
	portPeers
	portMetrics
	portForwarding
	portCount
)

var portNames = [portCount]string{"callers", "readiness", "directory", "peers", "metrics", "forwarding"}

func TestMain(m *testing.M) {
	code := m.Run()
	harness.Cleanup()
	os.Exit(code)
}

// fleet runs instances as processes beside stand-ins of the store and of a backend server.
type fleet struct {
	t         *testing.T
	dir       string
	ports     [portCount]int
	store     *rowstore.Store
	storeURL  string
	processes []*harness.Process
}

// startFleet starts instances on machines of machineMB with a limit on descriptors, 0 for that of the
// test, beside a server at the given address.
func startFleet(t *testing.T, instances, descriptors int, server string) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), store: rowstore.New("op", "servers")}
	s := httptest.NewServer(f.store)
	t.Cleanup(s.Close)
	f.storeURL = strings.TrimPrefix(s.URL, "http://")
	f.choosePorts()
	f.publish(server)
	return f.start(instances, descriptors)
}

// choosePorts chooses ports that are free on the loopback addresses.
func (f *fleet) choosePorts() {
	for i := range f.ports {
		l, err := net.Listen("tcp4", "0.0.0.0:0")
		must.NoError(f.t, err)
		// All listeners stay open until the last port is chosen, so that the ports differ.
		defer func() { _ = l.Close() }()
		f.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
}

func (f *fleet) start(instances, descriptors int) *fleet {
	program, err := harness.Program("foxtailspoke-edge")
	must.NoError(f.t, err)
	for n := range instances {
		p, err := harness.Start(specWithin(descriptors, program, "--settings", f.settings(n)))
		must.NoError(f.t, err)
		f.t.Cleanup(p.Kill)
		f.processes = append(f.processes, p)
	}
	for n := range instances {
		f.awaitStatus(n, portReadiness, "/api/readyz")
	}
	return f
}

// specWithin returns the process of a program with a limit on descriptors, 0 for that of the test.
func specWithin(descriptors int, program string, args ...string) harness.Spec {
	if descriptors == 0 {
		return harness.Spec{Path: program, Args: args}
	}
	script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, descriptors)
	return harness.Spec{Path: "/bin/sh", Args: append([]string{"-c", script, program}, args...)}
}

func (f *fleet) publish(server string) {
	route := func(prefix, kind string) map[string]any {
		return map[string]any{
			"name": strings.Trim(prefix, "/"), "host": "h", "prefix": prefix, "route_kind": kind, "timeout_s": 10, "aim_s": 5,
			"service": "s", "max_attempts": 2,
		}
	}
	config, err := json.Marshal(map[string]any{
		"version": "00000001", "services": []any{map[string]any{"name": "s"}},
		"routes": []any{route("/lookup/", "idempotent"), route("/order/", "non_idempotent"), route("/slow/", "non_idempotent")},
		"limits": map[string]any{
			"max_header_bytes": maxHeaderBytes, "header_timeout_s": headerTimeoutS, "max_body_bytes": 16 << 20, "idle_timeout_s": 60,
		},
	})
	must.NoError(f.t, err)
	entry, err := json.Marshal(map[string]any{
		"service": "s", "address": server, "zone": "dc", "slots": 1000, "state": "ready", "seq": 1, "born": 1,
	})
	must.NoError(f.t, err)
	f.store.Put("op", "config", config)
	f.store.Put("servers", "i-0", entry)
}

func (f *fleet) settings(n int) string {
	b, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("edge-%d", n), "dataCentre": "dc", "ip": f.ip(n), "firstStart": true,
		"listen": map[string]string{
			"callers": f.address(n, portCallers), "readiness": f.address(n, portReadiness), "directory": f.address(n, portDirectory),
			"peers": f.address(n, portPeers), "metrics": f.address(n, portMetrics), "forwarding": f.address(n, portForwarding),
		},
		"store": map[string]string{"address": f.storeURL}, "memoryMB": machineMB,
		"bounds": map[string]any{"retrySlack": 30},
		"seeds":  []string{f.address(0, portPeers)},
	})
	must.NoError(f.t, err)
	path := filepath.Join(f.dir, fmt.Sprintf("edge-%d.jsonc", n))
	must.NoError(f.t, os.WriteFile(path, b, 0o600))
	return path
}

// ip returns the address of an instance. The process ID in it keeps tests apart that run at the
// same time.
func (f *fleet) ip(n int) string { return fmt.Sprintf("127.60.%d.%d", 1+os.Getpid()%250, n+1) }

func (f *fleet) address(n, port int) string { return fmt.Sprintf("%s:%d", f.ip(n), f.ports[port]) }

// awaitStatus repeats a request on new connections until it is answered with 200.
func (f *fleet) awaitStatus(n, port int, path string) {
	f.t.Helper()
	c := http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, err := http.NewRequest(http.MethodGet, "http://"+f.address(n, port)+path, nil)
		must.NoError(f.t, err)
		r.Host = "h"
		r.Header.Set("X-Attempt-Id", "ordinary")
		r.Header.Set("X-Deadline-Ms", "10000")
		resp, err := c.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprintf("%d %s", resp.StatusCode, body)
	}
	f.t.Fatalf("%s%s of instance %d isn't served: %s\n%s", portNames[port], path, n, last, f.processes[n].Log())
}

// fetchSnapshot fetches a snapshot of an instance as another instance does.
func (f *fleet) fetchSnapshot(n int) {
	f.t.Helper()
	c, err := net.DialTimeout("tcp4", f.address(n, portPeers), answerTimeout)
	must.NoError(f.t, err)
	must.NoError(f.t, c.SetDeadline(time.Now().Add(answerTimeout)))
	client := rpc.NewClient(c)
	defer func() { _ = client.Close() }()
	var reply struct{ Data []byte }
	must.NoError(f.t, client.Call("Snapshots.Get", struct{ None bool }{}, &reply))
	must.SliceNotEmpty(f.t, reply.Data)
}

// verify checks that all processes live, have stayed within the memory of their machines and
// serve an ordinary request.
func (f *fleet) verify() {
	f.t.Helper()
	for n, p := range f.processes {
		peak := peakMB(f.t, p)
		f.t.Logf("instance %d: peak memory %d MB", n, peak)
		if peak > machineMB {
			f.t.Errorf("instance %d took %d MB of %d MB", n, peak, machineMB)
		}
		f.awaitStatus(n, portCallers, "/lookup/1")
	}
}

// peakMB returns the largest resident memory that a process has had.
func peakMB(t *testing.T, p *harness.Process) int {
	t.Helper()
	select {
	case <-p.Exited():
		t.Fatalf("process ended:\n%s", p.Log())
	default:
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	must.NoError(t, err)
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	must.NoError(t, err)
	return kb >> 10
}

// openDescriptors returns the number of descriptors that a process has open.
func openDescriptors(t *testing.T, p *harness.Process) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	must.NoError(t, err)
	return len(entries)
}

// startServer starts a backend server that answers all requests.
func startServer(t *testing.T) (address string) {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasPrefix(r.URL.Path, "/slow/") || r.URL.Path == "/lookup/slow" {
			time.Sleep(slowWork)
		}
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Seal", "seal")
		_, _ = io.WriteString(w, "ok")
	}))
	s.Config.MaxHeaderBytes = 1 << 20
	s.Start()
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}
