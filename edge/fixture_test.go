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
	"foxtailspoke/internal/standin"
	"foxtailspoke/internal/standin/rowstore"
	"foxtailspoke/logging"
)

const (
	key     = "key-of-w"
	revokeS = 2
)

// fleet is a store with backend servers and edge instances, each on its own
// loopback address.
type fleet struct {
	t         *testing.T
	store     *rowstore.Store
	ports     [6]int
	net       byte
	instances []*instance
	version   int
}

type instance struct {
	ip string
	// path is the network path to the backend servers.
	path   *standin.Partition
	cancel context.CancelFunc
	done   chan error
	log    *syncBuffer
}

// syncBuffer is a log buffer that may be read while it is written.
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

var lastNetwork atomic.Uint32

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, store: rowstore.New("op", "servers"), net: byte(10 + lastNetwork.Add(1))}
	t.Cleanup(f.stopAll)
	// All listeners stay open until the last port is assigned; a port that was
	// released might be assigned twice.
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

// stopAll stops all instances concurrently, as each planned stop takes a while.
func (f *fleet) stopAll() {
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

// storeAddress returns an address of the store for one instance. All instances
// would reach the store from the same loopback address, so this one sets the
// caller's address.
func (f *fleet) storeAddress(ip string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.RemoteAddr = net.JoinHostPort(ip, "1")
		f.store.ServeHTTP(w, r)
	}))
	f.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// start starts an instance and returns its index.
func (f *fleet) start(change func(*settings.Settings)) int {
	f.t.Helper()
	n := len(f.instances)
	s := settings.Settings{
		Name: fmt.Sprintf("edge-%d", n), DataCentre: "dc", IP: f.ip(n),
		Listen: settings.Listen{
			Callers: f.address(n, 0), Readiness: f.address(n, 1), Directory: f.address(n, 2), Peers: f.address(n, 3), Metrics: f.address(n, 4),
			Forwarding: f.address(n, 5),
		},
		Store: settings.Store{Address: f.storeAddress(f.ip(n))},
		Bounds: settings.Bounds{
			RevokeS: revokeS, ApplyS: 2, DrainS: 2, GraceS: 3, AddressTTLS: 5, RetryRatio: 0.2, RetrySlack: 50, RateWindowS: 5,
		},
		Log: settings.Log{LinesPerSecond: 1000},
	}
	if n > 0 {
		s.Seeds = []string{f.address(0, 3)}
	}
	if change != nil {
		change(&s)
	}
	i := &instance{ip: s.IP, path: standin.NewPartition(), done: make(chan error, 1), log: &syncBuffer{}}
	e, err := edge.New("", s, logging.NewWriter(i.log), edge.WithServerDialer(i.path.Dial))
	must.NoError(f.t, err)
	var ctx context.Context
	ctx, i.cancel = context.WithCancel(context.Background())
	go func() { i.done <- e.Run(ctx) }()
	f.instances = append(f.instances, i)
	return n
}

// configure puts a configuration in force. The keys belong to workspace w.
func (f *fleet) configure(rate float64, keys ...string) { f.configureWith(nil, rate, keys...) }

// configureWith is configure with a change to the configuration.
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

// backend is a backend server that counts its executions.
type backend struct {
	id     string
	zone   string
	server *httptest.Server
	mu     sync.Mutex
	// writes is the sequence number of its last entry in the store.
	writes int
	// startTimeMS is the start time in its entry.
	startTimeMS int64
	executed    map[string]int
	last        http.Header
	lastURI     string
	answer      func(w http.ResponseWriter, r *http.Request)
}

// backend starts a server of service s; answer replaces its default response.
func (f *fleet) backend(id string, answer func(w http.ResponseWriter, r *http.Request)) *backend {
	f.t.Helper()
	return f.backendIn("dc", id, answer)
}

// backendIn starts a server in the given data centre.
func (f *fleet) backendIn(zone, id string, answer func(w http.ResponseWriter, r *http.Request)) *backend {
	f.t.Helper()
	b := &backend{id: id, zone: zone, executed: make(map[string]int), answer: answer, startTimeMS: 1790000000000}
	b.server = httptest.NewServer(b)
	f.t.Cleanup(b.server.Close)
	f.writeEntry(b, "ready")
	return b
}

func (f *fleet) writeEntry(b *backend, state string) { f.writeColdEntry(b, state, 0) }

// writeColdEntry writes the entry of a server that stays cold for coldS more
// seconds.
func (f *fleet) writeColdEntry(b *backend, state string, coldS float64) {
	b.writes++
	f.writeServer(b.id, map[string]any{
		"service": "s", "address": strings.TrimPrefix(b.server.URL, "http://"), "zone": b.zone, "version": "v1",
		"slots": 4, "state": state, "warmup_left_s": coldS, "seq": b.writes, "born": b.startTimeMS,
	})
}

func (f *fleet) writeServer(id string, entry map[string]any) {
	v, err := json.Marshal(entry)
	must.NoError(f.t, err)
	f.store.Put("servers", id, v)
}

// entry writes the entry of a server that this fixture doesn't run.
func (f *fleet) entry(id, service, address string, startTimeMS int64) {
	f.writeServer(id, map[string]any{
		"service": service, "address": address, "zone": "dc", "version": "v1", "slots": 4, "state": "ready", "warmup_left_s": 0,
		"seq": 1, "born": startTimeMS,
	})
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
	b.executed[id]++
	b.last, b.lastURI = r.Header.Clone(), r.RequestURI
	b.mu.Unlock()
	if b.answer != nil {
		b.answer(w, r)
		return
	}
	w.Header().Set("X-Response-Seal", "seal")
	_, _ = w.Write(append([]byte(b.id+":"), body...))
}

func (b *backend) executions(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.executed[id]
}

func (b *backend) total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, k := range b.executed {
		n += k
	}
	return n
}

func resetConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func rejectNotExecuted(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// result is a response as the caller receives it.
type result struct {
	status int
	header http.Header
	body   string
	err    error
	// closes is set if the instance closes the connection after this response.
	closes bool
}

var lastAttempt atomic.Uint32

// call sends a request to instance n and returns the result and the request's id.
func (f *fleet) call(n int, method, path, body string, change func(*http.Request)) (result, string) {
	f.t.Helper()
	id := fmt.Sprintf("attempt-%d", lastAttempt.Add(1))
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

func (f *fleet) addresses(n int) []string { return f.addressesIn(n, "dc") }

// addressesIn returns the addresses that instance n returns to callers in a zone.
func (f *fleet) addressesIn(n int, zone string) []string {
	resp, err := http.Get("http://" + f.address(n, 2) + "/api/resolve?name=h.example&zone=" + zone)
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

// eventually waits until a condition holds, and fails the test if it does not in
// time.
func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", within, what)
}

// startAll starts n instances and waits until all are ready and know each other.
func (f *fleet) startAll(n int) { f.startAllWith(n, nil) }

// startFirst is startAll for the first start of the fleet.
func (f *fleet) startFirst(n int) {
	f.startAllWith(n, func(s *settings.Settings) { s.FirstStart = true })
}

func (f *fleet) startAllWith(n int, change func(*settings.Settings)) {
	f.t.Helper()
	for range n {
		f.start(change)
	}
	for i := range n {
		eventually(f.t, 5*time.Second, "instance is ready and knows all others", func() bool {
			return f.ready(i) && len(f.addresses(i)) == n
		})
	}
}

// metric returns the line of a metric of instance n, "" if it has none.
func (f *fleet) metric(n int, name string) string {
	f.t.Helper()
	resp, err := http.Get("http://" + f.address(n, 4) + "/metrics")
	must.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	must.NoError(f.t, err)
	for line := range strings.Lines(string(b)) {
		if strings.HasPrefix(line, name) {
			return line
		}
	}
	return ""
}
