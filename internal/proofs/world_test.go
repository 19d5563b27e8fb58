package proofs

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/config/lists"
	"foxtailspoke/internal/harness"
	"foxtailspoke/internal/standin"
	"foxtailspoke/operator"
	"foxtailspoke/operator/fleet"
	"foxtailspoke/storage/client"
)

const (
	// patience bounds every wait for something that is to happen soon.
	patience = 20 * time.Second
	// platformTimeout bounds the test's own calls to the platform.
	platformTimeout = 2 * time.Second
	operatorToken   = "a token of the operators"
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.Cleanup()
	os.Exit(code)
}

// world is a platform, backend servers and entry instances. The entries are
// real processes; the rest runs here, so that its logs are at hand.
type world struct {
	t        *testing.T
	dir      string
	ttl      time.Duration
	platform *standin.Platform
	client   *client.Client
	operator *operator.Operator
	fleet    *fleet.Fleet
	backends []*backend

	mu      sync.Mutex
	entries []*instance
	started int
	// number makes the paths of all requests different.
	number atomic.Int64
}

// instance is one entry process with the links before it.
type instance struct {
	name       string
	dataCentre string
	process    *harness.Process
	callers    string
	operators  string
	// toPeers carries the calls of all others to this instance; toPlatform
	// carries its own calls to the platform.
	toPeers, toPlatform *standin.Link
}

// backend is a backend server with the time of its start, from which its log
// counts.
type backend struct {
	*standin.Backend
	service string
	started time.Time
}

type worldOptions struct {
	// endAfter is how long an instance is silent before the platform takes
	// it for ended.
	endAfter time.Duration
	// locateTTL is how long callers keep what locate answers.
	locateTTL time.Duration
}

func newWorld(t *testing.T, o worldOptions) *world {
	t.Helper()
	w := &world{t: t, dir: t.TempDir(), ttl: o.locateTTL}
	w.write("secret", "a secret of all instances")
	w.write("token", operatorToken)
	var err error
	w.platform, err = standin.StartPlatform(standin.PlatformOptions{EndAfter: o.endAfter})
	must.NoError(t, err)
	t.Cleanup(w.platform.Close)
	w.client, err = client.New(w.platform.URL(), client.Settings{Timeout: platformTimeout})
	must.NoError(t, err)
	t.Cleanup(w.client.Close)
	w.operator = operator.New(w.client, operator.Settings{Who: "proofs"})
	w.fleet = fleet.New(w.client, operatorToken, time.Second)
	return w
}

func (w *world) write(name, text string) string {
	path := filepath.Join(w.dir, name)
	must.NoError(w.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// startBackend starts a backend server of a service.
func (w *world) startBackend(service, dataCentre string, o standin.BackendOptions) *backend {
	o.Service, o.DataCentre, o.Region = service, dataCentre, "luzon"
	o.Instances = w.client
	o.AnnounceEvery = time.Second
	b := &backend{service: service, started: time.Now()}
	var err error
	b.Backend, err = standin.StartBackend(o)
	must.NoError(w.t, err)
	w.t.Cleanup(b.Close)
	w.backends = append(w.backends, b)
	return b
}

// startEntry starts an entry instance and waits until it listens. Others
// reach it, and it reaches the platform, by links of its own.
// list writes texts as a JSON list.
func list(texts []string) string {
	data, err := json.Marshal(append([]string{}, texts...))
	if err != nil {
		panic(err)
	}
	return string(data)
}

// startEntry starts an entry instance; seeds are peer addresses of others.
func (w *world) startEntry(dataCentre string, seeds ...string) *instance {
	w.mu.Lock()
	w.started++
	name := fmt.Sprintf("entry%d", w.started)
	w.mu.Unlock()
	peers := freeAddress(w.t)
	e := &instance{name: name, dataCentre: dataCentre}
	e.toPeers = w.link(name+" peers", peers)
	e.toPlatform = w.link(name+" platform", w.platform.Address())
	settings := w.write(name+".json", fmt.Sprintf(`{
		"dataCentre": %q, "region": "luzon",
		"callers": { "listen": "127.0.0.1:0" },
		"peers": { "listen": %q, "advertise": %q, "secretFile": %q, "seeds": %s },
		"operators": { "listen": "127.0.0.1:0", "tokenFile": %q },
		"platform": { "url": %q, "announceEvery": "1s", "recordsEvery": "5s" },
		"fleet": { "locateTTL": %q },
		"stop": { "patience": "10s" },
	}`, dataCentre, peers, e.toPeers.Address(), filepath.Join(w.dir, "secret"), list(seeds),
		filepath.Join(w.dir, "token"), "http://"+e.toPlatform.Address(), w.ttl))
	program, err := harness.Program("foxtailspoke-entry")
	must.NoError(w.t, err)
	e.process, err = harness.Start(harness.Spec{Path: program, Args: []string{"--settings", settings}})
	must.NoError(w.t, err)
	w.t.Cleanup(e.process.Kill)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	e.callers, err = e.process.Address(ctx, "callers")
	must.NoError(w.t, err)
	e.operators, err = e.process.Address(ctx, "operators")
	must.NoError(w.t, err)
	w.mu.Lock()
	w.entries = append(w.entries, e)
	w.mu.Unlock()
	return e
}

func (w *world) link(name, to string) *standin.Link {
	l, err := standin.StartLink(standin.LinkOptions{Name: name, To: to}, nil)
	must.NoError(w.t, err)
	w.t.Cleanup(l.Close)
	return l
}

// callerAddresses of all instances ever started.
func (w *world) callerAddresses() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []string
	for _, e := range w.entries {
		all = append(all, e.callers)
	}
	return all
}

// apply makes the lists the accepted ones.
func (w *world) apply(l lists.Lists) operator.Applied {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	p, err := w.operator.Propose(ctx, l)
	must.NoError(w.t, err)
	a, err := w.operator.Commit(ctx, p)
	must.NoError(w.t, err)
	must.Eq(w.t, operator.Accepted, a.Outcome)
	return a
}

// giveKey gives a workspace a key and waits until it works everywhere.
func (w *world) giveKey(workspace, label string) string {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	k, err := w.operator.IssueKey(ctx, workspace, label)
	must.NoError(w.t, err)
	force, err := w.operator.WaitInForce(ctx, w.fleet, k.Revision)
	must.NoError(w.t, err)
	must.True(w.t, force.InForce, must.Sprintf("the key isn't in force: missing %v", force.Missing))
	return k.Secret.Reveal()
}

// running returns the instances as they were started so far.
func (w *world) running() []*instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.entries)
}

// logs shows the end of what every instance logged, for failures.
func (w *world) logs() {
	if !w.t.Failed() {
		return
	}
	for _, e := range w.entries {
		text := e.process.Log()
		w.t.Logf("%s in %s:\n%s", e.name, e.dataCentre, text[max(0, len(text)-2000):])
	}
}

// freeAddress returns an address that nobody listens on just now. A link
// must know the address behind it before the process that listens there.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// service returns a service of one route.
func service(name, prefix string, floor int, timeout time.Duration) config.Service {
	return config.Service{
		Name: name, Floor: floor, Timeout: config.Duration(timeout),
		Routes: []config.Route{{Prefix: prefix}},
	}
}
