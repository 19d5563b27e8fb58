package edge_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/edge"
	"foxtailspoke/edge/settings"
	"foxtailspoke/internal/standin/rowstore"
	"foxtailspoke/logging"
)

const (
	key     = "key-of-w"
	revokeS = 2
)

// fleet is a store, backend servers and instances, each at an address of its
// own of the loopback network.
type fleet struct {
	t         *testing.T
	store     *rowstore.Store
	ports     [5]int
	net       byte
	instances []*instance
	version   int
}

type instance struct {
	ip     string
	cancel context.CancelFunc
	done   chan error
	log    *syncBuffer
}

// syncBuffer is a buffer for a log that is read while it is written.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

var networks atomic.Uint32

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, store: rowstore.New("op", "servers"), net: byte(10 + networks.Add(1))}
	t.Cleanup(f.end)
	// All are held until the last is drawn: one that was given back might be
	// drawn a second time.
	for i := range f.ports {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		must.NoError(t, err)
		defer func() { _ = l.Close() }()
		f.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return f
}

func (f *fleet) ip(n int) string { return fmt.Sprintf("127.%d.0.%d", f.net, n+1) }

func (f *fleet) address(n, port int) string { return fmt.Sprintf("%s:%d", f.ip(n), f.ports[port]) }

// end stops all instances, together: each takes a while for a planned stop.
func (f *fleet) end() {
	for _, i := range f.instances {
		i.cancel()
	}
	for n, i := range f.instances {
		<-i.done
		if f.t.Failed() {
			f.t.Logf("log of instance %d:\n%s", n, i.log)
		}
	}
}

// storeAddress returns an address of the store for one instance. The kernel has
// all of them call from the same address; this one tells the store who calls.
func (f *fleet) storeAddress(ip string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.RemoteAddr = net.JoinHostPort(ip, "1")
		f.store.ServeHTTP(w, r)
	}))
	f.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// start starts an instance and returns its number.
func (f *fleet) start(change func(*settings.Settings)) int {
	f.t.Helper()
	n := len(f.instances)
	s := settings.Settings{
		Name: fmt.Sprintf("edge-%d", n), DataCentre: "dc", IP: f.ip(n),
		Listen: settings.Listen{
			Callers: f.address(n, 0), Readiness: f.address(n, 1), Directory: f.address(n, 2), Peers: f.address(n, 3), Metrics: f.address(n, 4),
		},
		Store: settings.Store{Address: f.storeAddress(f.ip(n))},
		Bounds: settings.Bounds{
			RevokeS: revokeS, GraceS: 3, AddressTTLS: 5, RetryRatio: 0.2, RetrySlack: 50, RateWindowS: 5,
		},
		Log: settings.Log{LinesPerSecond: 1000},
	}
	if n > 0 {
		s.Seeds = []string{f.address(0, 3)}
	}
	if change != nil {
		change(&s)
	}
	i := &instance{ip: s.IP, done: make(chan error, 1), log: &syncBuffer{}}
	e, err := edge.New("", s, logging.NewWriter(i.log))
	must.NoError(f.t, err)
	var ctx context.Context
	ctx, i.cancel = context.WithCancel(context.Background())
	go func() { i.done <- e.Run(ctx) }()
	f.instances = append(f.instances, i)
	return n
}

// configure puts a configuration in force. The keys belong to workspace w.
func (f *fleet) configure(rate float64, keys ...string) { f.configureWith(nil, rate, keys...) }

// configureWith changes the configuration before it puts it in force.
func (f *fleet) configureWith(change func(config map[string]any), rate float64, keys ...string) {
	f.version += 3
	route := func(name, prefix, kind string, public bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "prefix": prefix, "route_kind": kind, "timeout_s": 1.5, "aim_s": 0.5,
			"service": "s", "max_attempts": 2, "public": public,
		}
	}
	config := map[string]any{
		"version": fmt.Sprintf("%08x", f.version),
		"routes": []any{
			route("lookup", "/lookup/", "idempotent", false),
			route("order", "/order/", "non_idempotent", false),
			route("public", "/public/", "idempotent", true),
		},
		"services": []any{map[string]any{"name": "s", "health_path": "/healthz", "max_conns": 100}},
		"limits":   map[string]any{"max_body_bytes": 100000, "idle_timeout_s": 15},
		"tenants":  []any{map[string]any{"name": "w", "api_keys": keys, "rate_per_s": rate, "burst": rate}},
	}
	if change != nil {
		change(config)
	}
	b, err := json.Marshal(config)
	must.NoError(f.t, err)
	f.store.Put("op", "config", b)
}

// backend is a backend server.
type backend struct {
	id     string
	zone   string
	server *httptest.Server
	mu     sync.Mutex
	// writes counts its entries in the store.
	writes  int
	ran     map[string]int
	last    http.Header
	lastURI string
	answer  func(w http.ResponseWriter, r *http.Request)
}

// backend starts a server of service s; answer replaces its usual answer.
func (f *fleet) backend(id string, answer func(w http.ResponseWriter, r *http.Request)) *backend {
	f.t.Helper()
	return f.backendIn("dc", id, answer)
}

// backendIn starts a server in a data centre.
func (f *fleet) backendIn(zone, id string, answer func(w http.ResponseWriter, r *http.Request)) *backend {
	f.t.Helper()
	b := &backend{id: id, zone: zone, ran: make(map[string]int), answer: answer}
	b.server = httptest.NewServer(b)
	f.t.Cleanup(b.server.Close)
	f.writeEntry(b, "ready")
	return b
}

func (f *fleet) writeEntry(b *backend, state string) { f.writeColdEntry(b, state, 0) }

// writeColdEntry writes the entry of a server that is cold for some seconds yet.
func (f *fleet) writeColdEntry(b *backend, state string, coldS float64) {
	b.writes++
	v, err := json.Marshal(map[string]any{
		"service": "s", "address": strings.TrimPrefix(b.server.URL, "http://"), "zone": b.zone, "version": "v1",
		"slots": 4, "state": state, "warmup_left_s": coldS, "seq": b.writes, "born": 1790000000000,
	})
	must.NoError(f.t, err)
	f.store.Put("servers", b.id, v)
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if r.Header.Get("X-Expect-Instance") != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	b.ran[id]++
	b.last, b.lastURI = r.Header.Clone(), r.RequestURI
	b.mu.Unlock()
	if b.answer != nil {
		b.answer(w, r)
		return
	}
	w.Header().Set("X-Response-Seal", "seal")
	_, _ = w.Write(append([]byte(b.id+":"), body...))
}

func (b *backend) runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran[id]
}

func (b *backend) total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, k := range b.ran {
		n += k
	}
	return n
}

func resetConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func rejectNotExecuted(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// result is an answer as a caller sees it.
type result struct {
	status int
	header http.Header
	body   string
	err    error
	// closes: the instance asks the caller to use another connection.
	closes bool
}

var attempts atomic.Uint32

// call sends a request to an instance.
func (f *fleet) call(n int, method, path, body string, change func(*http.Request)) (result, string) {
	f.t.Helper()
	id := fmt.Sprintf("attempt-%d", attempts.Add(1))
	req, err := http.NewRequest(method, "http://"+f.address(n, 0)+path, strings.NewReader(body))
	must.NoError(f.t, err)
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "2000")
	req.Header.Set("Authorization", "Token "+key)
	if change != nil {
		change(req)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{err: err}, id
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header, string(b), err, resp.Close}, id
}

func (f *fleet) order(n int) (result, string) {
	f.t.Helper()
	return f.call(n, http.MethodPost, "/order/1", "body", nil)
}

func (f *fleet) lookup(n int) (result, string) {
	f.t.Helper()
	return f.call(n, http.MethodGet, "/lookup/1", "", nil)
}

func (f *fleet) ready(n int) bool {
	resp, err := http.Get("http://" + f.address(n, 1) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) addresses(n int) []string {
	resp, err := http.Get("http://" + f.address(n, 2) + "/api/resolve?name=h.example&zone=dc")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var d struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&d)
	return d.Addresses
}

// eventually waits until something holds.
func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", within, what)
}

// startAll starts instances and waits until they are ready and know each other.
func (f *fleet) startAll(n int) {
	f.t.Helper()
	for range n {
		f.start(nil)
	}
	for i := range n {
		eventually(f.t, 5*time.Second, "ready with all others known", func() bool {
			return f.ready(i) && len(f.addresses(i)) == n
		})
	}
}
