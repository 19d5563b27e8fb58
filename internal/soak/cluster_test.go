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
	revocationBound     = 3 * time.Second
	drainBound      = 2 * time.Second
	serverCount    = 6
	callerCount    = 8
	recoveryTimeout   = 8 * time.Second
	settlePeriod = 3 * time.Second

	// A workspace that sends several times what it may: its limit, and the
	// platform's tolerance in a window.
	limitedKey   = "key-limited"
	limitedRate  = 10
	limitedBurst = 10
	rateWindow   = 5 * time.Second
	rateOvershoot    = 0.1
	rateSlack        = 20
)

func buildEdge(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "foxtailspoke-edge")
	out, err := exec.Command("go", "build", "-o", path, "foxtailspoke/cmd/foxtailspoke-edge").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return path
}

// cluster is a fleet of real processes, the stand-in of the store and backend
// servers in this process, and callers.
type cluster struct {
	t      *testing.T
	binary string
	dir    string
	subnet    int
	ports  [5]int
	store  *rowstore.Store
	storeServer   *httptest.Server
	client *http.Client
	backends  []*backend
	processes  []*process
	// storeLinks and callerLinks are the links of each instance to the store and of
	// callers to it.
	storeLinks, callerLinks []*standin.Link

	mu      sync.Mutex
	rng     *rand.Rand
	version int
	currentKey     string
	// withdrawnAt is when each key was taken away.
	withdrawnAt map[string]time.Time
	requests  map[string]*request
	executions      map[string][]time.Time
	// lastDisturbance is when a fault last excused late knowledge.
	lastDisturbance time.Time
	violations    []string
	// evacuatedSince is since when nothing may reach each evacuatedSince data centre.
	evacuatedSince map[string]time.Time
	// limitedExecutions is when requests of the limitedExecutions workspace ran.
	limitedExecutions []time.Time
	// launchTimes is when each process was started again; restores and limits count
	// drills of the store and limits that servers named.
	launchTimes         []time.Time
	restoreCount, limitCount int
	stop             chan struct{}
	wg               sync.WaitGroup
}

type request struct {
	key    string
	order  bool
	sentAt   time.Time
	status int
	failed bool
}

type process struct {
	index     int
	cmd   *exec.Cmd
	done  chan struct{}
	restarting bool
}

var clusterCount int

func newCluster(t *testing.T, binary string, seed uint64) *cluster {
	t.Helper()
	clusterCount++
	c := &cluster{
		t: t, binary: binary, dir: t.TempDir(), subnet: 100 + clusterCount%100, store: rowstore.New("op", "servers"),
		rng: rand.New(rand.NewPCG(seed, 1)), withdrawnAt: make(map[string]time.Time),
		evacuatedSince: make(map[string]time.Time), requests: make(map[string]*request), executions: make(map[string][]time.Time), stop: make(chan struct{}),
	}
	c.storeServer = httptest.NewServer(c.store)
	c.client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{
		MaxIdleConnsPerHost: callerCount, DialContext: c.dialThroughLinks,
	}}
	for i := range c.ports {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		must.NoError(t, err)
		// All are held until the last is drawn, so that none is drawn twice.
		defer func() { _ = l.Close() }()
		c.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return c
}

func (c *cluster) instanceIP(n int) string { return fmt.Sprintf("127.%d.0.%d", c.subnet, n+1) }

func (c *cluster) startLink(to string) *standin.Link {
	l, err := standin.StartLink(standin.LinkOptions{Name: to, To: to}, nil)
	must.NoError(c.t, err)
	return l
}

// dialThroughLinks has callers reach the instances over their links.
func (c *cluster) dialThroughLinks(ctx context.Context, network, address string) (net.Conn, error) {
	for n, l := range c.callerLinks {
		if address == c.instanceAddress(n, 0) {
			address = l.Address()
		}
	}
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// allLinks are all allLinks, each a place where the network can fail.
func (c *cluster) allLinks() []*standin.Link {
	all := append(append([]*standin.Link(nil), c.storeLinks...), c.callerLinks...)
	for _, b := range c.backends {
		all = append(all, b.link)
	}
	return all
}

func (c *cluster) instanceAddress(n, port int) string { return fmt.Sprintf("%s:%d", c.instanceIP(n), c.ports[port]) }

func (c *cluster) start() {
	for i := range serverCount {
		c.backends = append(c.backends, newBackend(c, fmt.Sprintf("i-%d", i), fmt.Sprintf("dc-%d", i%2), 0))
	}
	c.publishConfig()
	for n := range *instanceCount {
		c.processes = append(c.processes, &process{index: n})
		c.storeLinks = append(c.storeLinks, c.startLink(strings.TrimPrefix(c.storeServer.URL, "http://")))
		c.callerLinks = append(c.callerLinks, c.startLink(c.instanceAddress(n, 0)))
		c.launch(c.processes[n])
	}
	deadline := time.Now().Add(10 * time.Second)
	for n := range *instanceCount {
		for !c.ready(n) {
			must.True(c.t, time.Now().Before(deadline), must.Sprintf("instance %d isn't ready", n))
			time.Sleep(20 * time.Millisecond)
		}
	}
	for caller := range callerCount {
		c.wg.Go(func() { c.runCaller(caller) })
	}
}

// publishConfig puts a configuration with a new key in force. The old key is taken
// away by it.
func (c *cluster) publishConfig() {
	c.mu.Lock()
	old := c.currentKey
	c.version += 1 + c.rng.IntN(3)
	c.currentKey = fmt.Sprintf("key-%d", c.version)
	key, version := c.currentKey, c.version
	c.mu.Unlock()
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "prefix": prefix, "route_kind": kind, "timeout_s": 1.5, "aim_s": 0.5,
			"service": "s", "max_attempts": 2,
		}
	}
	b, err := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("%08x", version),
		"routes":   []any{route("lookup", "/lookup/", "idempotent"), route("order", "/order/", "non_idempotent")},
		"services": []any{map[string]any{"name": "s", "warmup_s": warmupDuration.Seconds(), "warmup_per_s": warmupRate}},
		"tenants": []any{
			map[string]any{"name": "w", "api_keys": []string{key}},
			map[string]any{"name": "limited", "api_keys": []string{limitedKey}, "rate_per_s": limitedRate, "burst": limitedBurst},
		},
	})
	must.NoError(c.t, err)
	c.store.Put("op", "config", b)
	c.mu.Lock()
	c.withdrawnAt[old] = time.Now()
	c.mu.Unlock()
}

func (c *cluster) writeSettings(n int) string {
	b, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("edge-%d", n), "dataCentre": fmt.Sprintf("dc-%d", n%2), "ip": c.instanceIP(n),
		"listen": map[string]string{
			"callers": c.instanceAddress(n, 0), "readiness": c.instanceAddress(n, 1), "directory": c.instanceAddress(n, 2), "peers": c.instanceAddress(n, 3), "metrics": c.instanceAddress(n, 4),
		},
		"store": map[string]string{"address": c.storeLinks[n].Address()},
		"bounds": map[string]any{
			"revokeS": revocationBound.Seconds(), "graceS": 4, "addressTTLS": 1, "retryRatio": 0.2, "retrySlack": 30, "rateWindowS": rateWindow.Seconds(),
			"rateOvershoot": rateOvershoot, "rateSlack": rateSlack,
		},
		"seeds": []string{c.instanceAddress(0, 3), c.instanceAddress(1, 3)},
	})
	must.NoError(c.t, err)
	path := filepath.Join(c.dir, fmt.Sprintf("edge-%d.jsonc", n))
	must.NoError(c.t, os.WriteFile(path, b, 0o600))
	return path
}

func (c *cluster) launch(p *process) {
	c.mu.Lock()
	c.launchTimes = append(c.launchTimes, time.Now())
	c.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(c.dir, fmt.Sprintf("edge-%d.log", p.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(c.t, err)
	p.cmd = exec.Command(c.binary, "--settings", c.writeSettings(p.index))
	p.cmd.Stdout, p.cmd.Stderr = log, log
	must.NoError(c.t, p.cmd.Start())
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

func (c *cluster) ready(n int) bool {
	resp, err := c.client.Get("http://" + c.instanceAddress(n, 1) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) shutdown() {
	close(c.stop)
	for _, p := range c.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	c.wg.Wait()
	c.client.CloseIdleConnections()
	for _, l := range c.allLinks() {
		l.Close()
	}
	for _, b := range c.backends {
		b.http.CloseClientConnections()
		b.http.Close()
	}
	c.storeServer.CloseClientConnections()
	c.storeServer.Close()
}

// saveLogs moves the processes' logs to where they outlast the test.
func (c *cluster) saveLogs() string {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return err.Error()
	}
	for _, p := range c.processes {
		name := fmt.Sprintf("edge-%d.log", p.index)
		b, err := os.ReadFile(filepath.Join(c.dir, name))
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, name), b, 0o600)
		}
		if err != nil {
			return err.Error()
		}
	}
	return dir
}
