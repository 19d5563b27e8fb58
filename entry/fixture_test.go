package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/goleak"

	"foxtailspoke/config"
	"foxtailspoke/config/lists"
	"foxtailspoke/entry"
	"foxtailspoke/entry/settings"
	"foxtailspoke/internal/standin"
	"foxtailspoke/operator"
	"foxtailspoke/storage"
	"foxtailspoke/storage/client"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// patience bounds every wait for something that must happen.
	patience = 20 * time.Second
	// fresh is how old the proof of the configuration may be, the product's own
	// default. With half a second, a test process that got no processor for as
	// long refused requests as not run, rule cut-off, which is what it must do
	// and not what most of these tests are about.
	fresh = 2 * time.Second
	// token and secret are long enough to be found in a log, if they are there.
	token  = "operators-token-0123456789"
	secret = "peers-secret-0123456789"
)

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(patience), wait.Gap(5*time.Millisecond)), must.Sprint(what))
}

// world is a platform, backend servers of two services and entry instances.
type world struct {
	t         *testing.T
	platform  *standin.Platform
	client    *client.Client
	operator  *operator.Operator
	catalogue *standin.Backend
	orders    *standin.Backend
	entries   []*entry.Entry
	// stops begins the planned stop of an instance, and ends are how Run ended.
	stops []context.CancelFunc
	ends  []chan error
	log   *logged
	// key belongs to a workspace that may use the catalogue only; full to one
	// that may use everything.
	key, full string
	http      *http.Client
}

// logged collects what all parts log.
type logged struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logged) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logged) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// options of a world.
type options struct {
	entries int
	// catalogues is how many servers the catalogue has, at least 1.
	catalogues int
	// own serves the path /own/ if it is set; echoing the attempt is its job.
	own    http.HandlerFunc
	adjust func(*settings.Settings)
}

func newWorld(t *testing.T, o options) *world {
	t.Helper()
	t.Parallel()
	w := &world{t: t, log: &logged{}}
	var err error
	w.platform, err = standin.StartPlatform(standin.PlatformOptions{})
	must.NoError(t, err)
	t.Cleanup(w.platform.Close)
	w.client, err = client.New(w.platform.URL(), client.Settings{})
	must.NoError(t, err)
	t.Cleanup(w.client.Close)
	w.catalogue = w.backend("catalogue")
	for range o.catalogues - 1 {
		w.backend("catalogue")
	}
	w.orders = w.backend("ordering")
	if o.own != nil {
		w.serveOwn(o.own)
	}
	w.operator = operator.New(w.client, operator.Settings{Who: "test"})
	w.apply(worldLists())
	w.key, w.full = w.giveKey("boatyard"), w.giveKey("workshop")
	transport := &http.Transport{DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	w.http = &http.Client{Transport: transport}
	for range max(o.entries, 1) {
		w.start(o)
	}
	eventually(t, "all instances serve", func() bool {
		for _, e := range w.entries {
			if w.get(e, "/catalogue/glue", w.key).status != http.StatusOK || w.get(e, "/orders/1", w.full).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	return w
}

func worldLists() lists.Lists {
	l := lists.Empty()
	l.Services["catalogue"] = config.Service{Floor: 1, Timeout: config.Duration(time.Minute), Routes: []config.Route{{Prefix: "/catalogue/"}}}
	l.Services["ordering"] = config.Service{Floor: 1, Timeout: config.Duration(3 * time.Second), Routes: []config.Route{{Prefix: "/orders/"}}}
	l.Services["own"] = config.Service{Floor: 1, Timeout: config.Duration(time.Minute), Routes: []config.Route{{Prefix: "/own/"}}}
	limit := config.Limit{Rate: 5000, Burst: 5000}
	l.Plans["bench"] = config.Plan{Services: map[string]config.Limit{"catalogue": limit}}
	l.Plans["full"] = config.Plan{Services: map[string]config.Limit{"catalogue": limit, "ordering": limit, "own": limit}}
	l.Plans["tiny"] = config.Plan{Services: map[string]config.Limit{"catalogue": {Rate: 0.01, Burst: 1}}}
	l.Workspaces["boatyard"] = config.Workspace{Plan: "bench"}
	l.Workspaces["workshop"] = config.Workspace{Plan: "full"}
	l.Workspaces["till"] = config.Workspace{Plan: "tiny"}
	return l
}

func (w *world) backend(service string) *standin.Backend {
	b, err := standin.StartBackend(standin.BackendOptions{
		Service: service, DataCentre: "dc1", Slots: 16, Instances: w.client,
		AnnounceEvery: 100 * time.Millisecond, Latency: time.Millisecond,
	})
	must.NoError(w.t, err)
	w.t.Cleanup(b.Close)
	return b
}

// serveOwn lists a backend server whose answers the test makes up.
func (w *world) serveOwn(h http.HandlerFunc) {
	server := httptest.NewServer(h)
	w.t.Cleanup(server.Close)
	must.NoError(w.t, w.client.Announce(context.Background(), storage.Instance{
		ID: uuid.NewString(), Kind: storage.BackendServer, Service: "own", DataCentre: "dc1",
		Address: server.Listener.Addr().String(), Slots: 8, State: storage.Live,
	}))
}

func (w *world) apply(l lists.Lists) {
	p, err := w.operator.Propose(context.Background(), l)
	must.NoError(w.t, err)
	applied, err := w.operator.Commit(context.Background(), p)
	must.NoError(w.t, err)
	must.Eq(w.t, operator.Accepted, applied.Outcome)
}

func (w *world) giveKey(workspace string) string {
	k, err := w.operator.GiveKey(context.Background(), workspace, "")
	must.NoError(w.t, err)
	return k.Secret.Reveal()
}

func (w *world) start(o options) *entry.Entry {
	dir := w.t.TempDir()
	must.NoError(w.t, os.WriteFile(filepath.Join(dir, "secret"), []byte(secret), 0o600))
	must.NoError(w.t, os.WriteFile(filepath.Join(dir, "token"), []byte(token), 0o600))
	s := settings.Default()
	s.DataCentre = "dc1"
	s.Callers.Listen, s.Peers.Listen, s.Operators.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Peers.SecretFile, s.Operators.TokenFile = filepath.Join(dir, "secret"), filepath.Join(dir, "token")
	s.Platform.URL = w.platform.URL()
	s.Platform.AnnounceEvery = config.Duration(100 * time.Millisecond)
	s.Platform.RecordsEvery = config.Duration(100 * time.Millisecond)
	s.Fleet.LocateTTL = config.Duration(200 * time.Millisecond)
	s.Fleet.Shards = 2
	s.Fleet.MaxConfigAge = config.Duration(fresh)
	s.Stop.Timeout = config.Duration(2 * time.Second)
	if o.adjust != nil {
		o.adjust(&s)
	}
	must.NoError(w.t, s.Check())
	e, err := entry.New(s, slog.New(slog.NewJSONHandler(w.log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	must.NoError(w.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		defer close(done)
		done <- e.Run(ctx)
	}()
	w.stops, w.ends = append(w.stops, cancel), append(w.ends, done)
	w.t.Cleanup(func() {
		cancel()
		select {
		case err, open := <-done:
			must.NoError(w.t, err, must.Sprint(open))
		case <-time.After(patience):
			w.t.Error("the instance didn't stop")
		}
	})
	w.entries = append(w.entries, e)
	return e
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r reply) problem(t *testing.T) map[string]any {
	t.Helper()
	must.Eq(t, "application/problem+json", strings.Split(r.header.Get("Content-Type"), ";")[0])
	var p map[string]any
	must.NoError(t, json.Unmarshal([]byte(r.body), &p))
	must.Eq(t, float64(r.status), p["status"].(float64))
	return p
}

func (w *world) get(e *entry.Entry, path, key string) reply {
	return w.call(e, http.MethodGet, path, key, nil, nil)
}

func (w *world) call(e *entry.Entry, method, path, key string, body io.Reader, header map[string]string) reply {
	w.t.Helper()
	return w.callAt(e.Addresses().Address, method, path, key, body, header)
}

func (w *world) callAt(address, method, path, key string, body io.Reader, header map[string]string) reply {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	must.NoError(w.t, err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	answer, err := w.http.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, header: answer.Header, body: string(text), err: err}
}

// dial opens a bare connection to an instance's address for callers.
func (w *world) dial(e *entry.Entry) net.Conn {
	conn, err := net.Dial("tcp", e.Addresses().Address)
	must.NoError(w.t, err)
	w.t.Cleanup(func() { _ = conn.Close() })
	must.NoError(w.t, conn.SetDeadline(time.Now().Add(patience)))
	return conn
}
