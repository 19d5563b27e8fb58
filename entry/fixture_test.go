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
	// waitTimeout bounds every wait for an expected condition.
	waitTimeout = 20 * time.Second
	// maxConfigAge is the maximum age of the configuration, the default of the
	// settings. With half a second, a test process that got no CPU time for as
	// long correctly refused requests with rule cut-off, which most of these
	// tests aren't about.
	maxConfigAge = 2 * time.Second
	// token and secret are long enough to search for them in logs.
	token  = "operators-token-0123456789"
	secret = "peers-secret-0123456789"
)

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(waitTimeout), wait.Gap(5*time.Millisecond)), must.Sprint(what))
}

// environment is a platform, backend servers of two services and entry
// instances, all in the test process.
type environment struct {
	t         *testing.T
	platform  *standin.Platform
	client    *client.Client
	operator  *operator.Operator
	catalogue *standin.Backend
	orders    *standin.Backend
	entries   []*entry.Entry
	// stops start the planned stop of an instance; ends receive Run's results.
	stops []context.CancelFunc
	ends  []chan error
	log   *logBuffer
	// key belongs to a workspace whose plan has the catalogue only, full to
	// one whose plan has all services.
	key, full string
	http      *http.Client
}

// logBuffer collects the log output of all instances.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// options configure an environment.
type options struct {
	entries int
	// catalogues is the number of catalogue servers; 0 means 1.
	catalogues int
	// own serves the path /own/ if it is set; it must echo the attempt header.
	own    http.HandlerFunc
	adjust func(*settings.Settings)
}

func newEnvironment(t *testing.T, o options) *environment {
	t.Helper()
	t.Parallel()
	env := &environment{t: t, log: &logBuffer{}}
	var err error
	env.platform, err = standin.StartPlatform(standin.PlatformOptions{})
	must.NoError(t, err)
	t.Cleanup(env.platform.Close)
	env.client, err = client.New(env.platform.URL(), client.Settings{})
	must.NoError(t, err)
	t.Cleanup(env.client.Close)
	env.catalogue = env.backend("catalogue")
	for range o.catalogues - 1 {
		env.backend("catalogue")
	}
	env.orders = env.backend("ordering")
	if o.own != nil {
		env.serveOwn(o.own)
	}
	env.operator = operator.New(env.client, operator.Settings{OperatorName: "test"})
	env.apply(testLists())
	env.key, env.full = env.giveKey("boatyard"), env.giveKey("workshop")
	transport := &http.Transport{DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	env.http = &http.Client{Transport: transport}
	for range max(o.entries, 1) {
		env.start(o)
	}
	eventually(t, "all instances serve", func() bool {
		for _, e := range env.entries {
			if env.get(e, "/catalogue/glue", env.key).status != http.StatusOK || env.get(e, "/orders/1", env.full).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	return env
}

func testLists() lists.Lists {
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

func (env *environment) backend(service string) *standin.Backend {
	b, err := standin.StartBackend(standin.BackendOptions{
		Service: service, DataCentre: "dc1", Slots: 16, Instances: env.client,
		AnnounceInterval: 100 * time.Millisecond, Latency: time.Millisecond,
	})
	must.NoError(env.t, err)
	env.t.Cleanup(b.Close)
	return b
}

// serveOwn announces a backend server that answers with the given handler.
func (env *environment) serveOwn(h http.HandlerFunc) {
	server := httptest.NewServer(h)
	env.t.Cleanup(server.Close)
	must.NoError(env.t, env.client.Announce(context.Background(), storage.Instance{
		ID: uuid.NewString(), Kind: storage.BackendServer, Service: "own", DataCentre: "dc1",
		Address: server.Listener.Addr().String(), Slots: 8, State: storage.Live,
	}))
}

func (env *environment) apply(l lists.Lists) {
	p, err := env.operator.Propose(context.Background(), l)
	must.NoError(env.t, err)
	applied, err := env.operator.Commit(context.Background(), p)
	must.NoError(env.t, err)
	must.Eq(env.t, operator.Accepted, applied.Outcome)
}

func (env *environment) giveKey(workspace string) string {
	k, err := env.operator.IssueKey(context.Background(), workspace, "")
	must.NoError(env.t, err)
	return k.Secret.Reveal()
}

func (env *environment) start(o options) *entry.Entry {
	dir := env.t.TempDir()
	must.NoError(env.t, os.WriteFile(filepath.Join(dir, "secret"), []byte(secret), 0o600))
	must.NoError(env.t, os.WriteFile(filepath.Join(dir, "token"), []byte(token), 0o600))
	s := settings.Default()
	s.DataCentre = "dc1"
	s.Callers.Listen, s.Peers.Listen, s.Operators.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Peers.SecretFile, s.Operators.TokenFile = filepath.Join(dir, "secret"), filepath.Join(dir, "token")
	s.Platform.URL = env.platform.URL()
	s.Platform.AnnounceEvery = config.Duration(100 * time.Millisecond)
	s.Platform.RecordsEvery = config.Duration(100 * time.Millisecond)
	s.Fleet.LocateTTL = config.Duration(200 * time.Millisecond)
	s.Fleet.Shards = 2
	s.Fleet.MaxConfigAge = config.Duration(maxConfigAge)
	s.Stop.Timeout = config.Duration(2 * time.Second)
	if o.adjust != nil {
		o.adjust(&s)
	}
	must.NoError(env.t, s.Check())
	e, err := entry.New(s, slog.New(slog.NewJSONHandler(env.log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	must.NoError(env.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		defer close(done)
		done <- e.Run(ctx)
	}()
	env.stops, env.ends = append(env.stops, cancel), append(env.ends, done)
	env.t.Cleanup(func() {
		cancel()
		select {
		case err, open := <-done:
			must.NoError(env.t, err, must.Sprint(open))
		case <-time.After(waitTimeout):
			env.t.Error("the instance did not stop in time")
		}
	})
	env.entries = append(env.entries, e)
	return e
}

// reply is the result of a call as the caller sees it.
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

func (env *environment) get(e *entry.Entry, path, key string) reply {
	return env.call(e, http.MethodGet, path, key, nil, nil)
}

func (env *environment) call(e *entry.Entry, method, path, key string, body io.Reader, header map[string]string) reply {
	env.t.Helper()
	return env.callAt(e.Addresses().Address, method, path, key, body, header)
}

func (env *environment) callAt(address, method, path, key string, body io.Reader, header map[string]string) reply {
	env.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	must.NoError(env.t, err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	answer, err := env.http.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, header: answer.Header, body: string(text), err: err}
}

// dial opens a TCP connection to an instance's address for callers.
func (env *environment) dial(e *entry.Entry) net.Conn {
	conn, err := net.Dial("tcp", e.Addresses().Address)
	must.NoError(env.t, err)
	env.t.Cleanup(func() { _ = conn.Close() })
	must.NoError(env.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return conn
}
