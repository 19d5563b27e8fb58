package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/standin"
	"foxtailspoke/internal/standin/rowstore"
)

const (
	revoke     = 3 * time.Second
	drain      = 2 * time.Second
	servers    = 6
	callers    = 8
	recovery   = 8 * time.Second
	keepsStill = 3 * time.Second

	// A workspace that sends several times what it may: its limit, and the
	// platform's tolerance in a window.
	limitedKey   = "key-limited"
	limitedRate  = 10
	limitedBurst = 10
	rateWindow   = 5 * time.Second
	overshoot    = 0.1
	slack        = 20
)

func build(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "foxtailspoke-edge")
	out, err := exec.Command("go", "build", "-o", path, "foxtailspoke/cmd/foxtailspoke-edge").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return path
}

// world is a fleet of real processes, the stand-in of the store and backend
// servers in this process, and callers.
type world struct {
	t      *testing.T
	binary string
	dir    string
	net    int
	ports  [5]int
	store  *rowstore.Store
	http   *httptest.Server
	client *http.Client
	backs  []*backend
	procs  []*process
	// toStore and toFront are the links of each instance to the store and of
	// callers to it.
	toStore, toFront []*standin.Link

	mu      sync.Mutex
	rng     *rand.Rand
	version int
	key     string
	// withdrawn is when each key was taken away.
	withdrawn map[string]time.Time
	requests  map[string]*request
	runs      map[string][]time.Time
	// disturbed is when a fault last excused late knowledge.
	disturbed time.Time
	faults    []string
	// evacuated is since when nothing may reach each evacuated data centre.
	evacuated map[string]time.Time
	// limited is when requests of the limited workspace ran.
	limited []time.Time
	// launched is when each process was started again; restores and limits count
	// drills of the store and limits that servers named.
	launched         []time.Time
	restores, limits int
	stop             chan struct{}
	wg               sync.WaitGroup
}

type request struct {
	key    string
	order  bool
	sent   time.Time
	status int
	failed bool
}

type process struct {
	n     int
	cmd   *exec.Cmd
	done  chan struct{}
	still bool
}

var worlds int

func newWorld(t *testing.T, binary string, seed uint64) *world {
	t.Helper()
	worlds++
	w := &world{
		t: t, binary: binary, dir: t.TempDir(), net: 100 + worlds%100, store: rowstore.New("op", "servers"),
		rng: rand.New(rand.NewPCG(seed, 1)), withdrawn: make(map[string]time.Time),
		evacuated: make(map[string]time.Time), requests: make(map[string]*request), runs: make(map[string][]time.Time), stop: make(chan struct{}),
	}
	w.http = httptest.NewServer(w.store)
	w.client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{
		MaxIdleConnsPerHost: callers, DialContext: w.dialThroughLinks,
	}}
	for i := range w.ports {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		must.NoError(t, err)
		// All are held until the last is drawn, so that none is drawn twice.
		defer func() { _ = l.Close() }()
		w.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return w
}

func (w *world) ip(n int) string { return fmt.Sprintf("127.%d.0.%d", w.net, n+1) }

func (w *world) link(to string) *standin.Link {
	l, err := standin.StartLink(standin.LinkOptions{Name: to, Target: to}, nil)
	must.NoError(w.t, err)
	return l
}

// dialThroughLinks has callers reach the instances over their links.
func (w *world) dialThroughLinks(ctx context.Context, network, address string) (net.Conn, error) {
	for n, l := range w.toFront {
		if address == w.at(n, 0) {
			address = l.Address()
		}
	}
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// links are all links, each a place where the network can fail.
func (w *world) links() []*standin.Link {
	all := append(append([]*standin.Link(nil), w.toStore...), w.toFront...)
	for _, b := range w.backs {
		all = append(all, b.link)
	}
	return all
}

func (w *world) at(n, port int) string { return fmt.Sprintf("%s:%d", w.ip(n), w.ports[port]) }

func (w *world) start() {
	for i := range servers {
		w.backs = append(w.backs, newBackend(w, fmt.Sprintf("i-%d", i), fmt.Sprintf("dc-%d", i%2), 0))
	}
	w.configure()
	for n := range *processes {
		w.procs = append(w.procs, &process{n: n})
		w.toStore = append(w.toStore, w.link(strings.TrimPrefix(w.http.URL, "http://")))
		w.toFront = append(w.toFront, w.link(w.at(n, 0)))
		w.launch(w.procs[n])
	}
	end := time.Now().Add(10 * time.Second)
	for n := range *processes {
		for !w.ready(n) {
			must.True(w.t, time.Now().Before(end), must.Sprintf("instance %d isn't ready", n))
			time.Sleep(20 * time.Millisecond)
		}
	}
	for c := range callers {
		w.wg.Go(func() { w.call(c) })
	}
}

// configure puts a configuration with a new key in force. The old key is taken
// away by it.
func (w *world) configure() {
	w.mu.Lock()
	old := w.key
	w.version += 1 + w.rng.IntN(3)
	w.key = fmt.Sprintf("key-%d", w.version)
	key, version := w.key, w.version
	w.mu.Unlock()
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "prefix": prefix, "route_kind": kind, "timeout_s": 1.5, "aim_s": 0.5,
			"service": "s", "max_attempts": 2,
		}
	}
	b, err := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("%08x", version),
		"routes":   []any{route("lookup", "/lookup/", "idempotent"), route("order", "/order/", "non_idempotent")},
		"services": []any{map[string]any{"name": "s", "warmup_s": warmUp.Seconds(), "warmup_per_s": coldRate}},
		"tenants": []any{
			map[string]any{"name": "w", "api_keys": []string{key}},
			map[string]any{"name": "limited", "api_keys": []string{limitedKey}, "rate_per_s": limitedRate, "burst": limitedBurst},
		},
	})
	must.NoError(w.t, err)
	w.store.Put("op", "config", b)
	w.mu.Lock()
	w.withdrawn[old] = time.Now()
	w.mu.Unlock()
}

func (w *world) settings(n int) string {
	b, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("edge-%d", n), "dataCentre": fmt.Sprintf("dc-%d", n%2), "ip": w.ip(n),
		"listen": map[string]string{
			"callers": w.at(n, 0), "readiness": w.at(n, 1), "directory": w.at(n, 2), "peers": w.at(n, 3), "metrics": w.at(n, 4),
		},
		"store": map[string]string{"address": w.toStore[n].Address()},
		"bounds": map[string]any{
			"revokeS": revoke.Seconds(), "graceS": 4, "addressTTLS": 1, "retryRatio": 0.2, "retrySlack": 30, "rateWindowS": rateWindow.Seconds(),
			"rateOvershoot": overshoot, "rateSlack": slack,
		},
		"seeds": []string{w.at(0, 3), w.at(1, 3)},
	})
	must.NoError(w.t, err)
	path := filepath.Join(w.dir, fmt.Sprintf("edge-%d.jsonc", n))
	must.NoError(w.t, os.WriteFile(path, b, 0o600))
	return path
}

func (w *world) launch(p *process) {
	w.mu.Lock()
	w.launched = append(w.launched, time.Now())
	w.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(w.dir, fmt.Sprintf("edge-%d.log", p.n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(w.t, err)
	p.cmd = exec.Command(w.binary, "--settings", w.settings(p.n))
	p.cmd.Stdout, p.cmd.Stderr = log, log
	must.NoError(w.t, p.cmd.Start())
	done := make(chan struct{})
	p.done = done
	go func() {
		// How it ended is in its log.
		_ = p.cmd.Wait()
		_ = log.Close()
		close(done)
	}()
}

// signal signals a process that this test started and hasn't ended yet.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

func (w *world) ready(n int) bool {
	resp, err := w.client.Get("http://" + w.at(n, 1) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) end() {
	close(w.stop)
	for _, p := range w.procs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	w.wg.Wait()
	w.client.CloseIdleConnections()
	for _, l := range w.links() {
		l.Close()
	}
	for _, b := range w.backs {
		b.http.CloseClientConnections()
		b.http.Close()
	}
	w.http.CloseClientConnections()
	w.http.Close()
}

// keepLogs moves the processes' logs to where they outlast the test.
func (w *world) keepLogs() string {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return err.Error()
	}
	for _, p := range w.procs {
		name := fmt.Sprintf("edge-%d.log", p.n)
		b, err := os.ReadFile(filepath.Join(w.dir, name))
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, name), b, 0o600)
		}
		if err != nil {
			return err.Error()
		}
	}
	return dir
}
