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
	// waitTimeout bounds each wait for an expected state change.
	waitTimeout = 20 * time.Second
	// platformTimeout bounds the test's own calls to the platform.
	platformTimeout = 2 * time.Second
	operatorToken   = "a token of the operators"
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.Cleanup()
	os.Exit(code)
}

// testCluster is a platform, backend servers and entry instances. Entry
// instances are real processes; the platform and the backend servers run in the
// test process, which gives the checks direct access to their logs.
type testCluster struct {
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
	// requestNumber makes request paths unique.
	requestNumber atomic.Int64
}

// instance is one entry process with its network links.
type instance struct {
	name       string
	dataCentre string
	process    *harness.Process
	callers    string
	operators  string
	// toPeers carries calls from other instances to this one; toPlatform
	// carries its calls to the platform.
	toPeers, toPlatform *standin.Link
}

// backend is a backend server with its start time, to which the times in its log
// are relative.
type backend struct {
	*standin.Backend
	service string
	started time.Time
}

type testClusterOptions struct {
	// endAfter is how long an instance may send no announcement before the
	// platform considers it ended.
	endAfter time.Duration
	// locateTTL is how long callers may cache a locate answer.
	locateTTL time.Duration
}

func newTestCluster(t *testing.T, o testClusterOptions) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, dir: t.TempDir(), ttl: o.locateTTL}
	tc.write("secret", "a secret of all instances")
	tc.write("token", operatorToken)
	var err error
	tc.platform, err = standin.StartPlatform(standin.PlatformOptions{InstanceTimeout: o.endAfter})
	must.NoError(t, err)
	t.Cleanup(tc.platform.Close)
	tc.client, err = client.New(tc.platform.URL(), client.Settings{Timeout: platformTimeout})
	must.NoError(t, err)
	t.Cleanup(tc.client.Close)
	tc.operator = operator.New(tc.client, operator.Settings{OperatorName: "proofs"})
	tc.fleet = fleet.New(tc.client, operatorToken, time.Second)
	return tc
}

func (tc *testCluster) write(name, text string) string {
	path := filepath.Join(tc.dir, name)
	must.NoError(tc.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// startBackend starts a backend server of a service.
func (tc *testCluster) startBackend(service, dataCentre string, o standin.BackendOptions) *backend {
	o.Service, o.DataCentre, o.Region = service, dataCentre, "luzon"
	o.Instances = tc.client
	o.AnnounceInterval = time.Second
	b := &backend{service: service, started: time.Now()}
	var err error
	b.Backend, err = standin.StartBackend(o)
	must.NoError(tc.t, err)
	tc.t.Cleanup(b.Close)
	tc.backends = append(tc.backends, b)
	return b
}

// list encodes texts as a JSON list.
func list(texts []string) string {
	data, err := json.Marshal(append([]string{}, texts...))
	if err != nil {
		panic(err)
	}
	return string(data)
}

// startEntry starts an entry instance and waits until it listens. Other instances
// reach it, and it reaches the platform, through its own links. seeds are the
// peer addresses of other instances.
func (tc *testCluster) startEntry(dataCentre string, seeds ...string) *instance {
	tc.mu.Lock()
	tc.started++
	name := fmt.Sprintf("entry%d", tc.started)
	tc.mu.Unlock()
	peers := freeAddress(tc.t)
	e := &instance{name: name, dataCentre: dataCentre}
	e.toPeers = tc.link(name+" peers", peers)
	e.toPlatform = tc.link(name+" platform", tc.platform.Address())
	settings := tc.write(name+".json", fmt.Sprintf(`{
		"dataCentre": %q, "region": "luzon",
		"callers": { "listen": "127.0.0.1:0" },
		"peers": { "listen": %q, "advertise": %q, "secretFile": %q, "seeds": %s },
		"operators": { "listen": "127.0.0.1:0", "tokenFile": %q },
		"platform": { "url": %q, "announceEvery": "1s", "recordsEvery": "5s" },
		"fleet": { "locateTTL": %q },
		"stop": { "patience": "10s" },
	}`, dataCentre, peers, e.toPeers.Address(), filepath.Join(tc.dir, "secret"), list(seeds),
		filepath.Join(tc.dir, "token"), "http://"+e.toPlatform.Address(), tc.ttl))
	program, err := harness.Program("foxtailspoke-entry")
	must.NoError(tc.t, err)
	e.process, err = harness.Start(harness.Spec{Path: program, Args: []string{"--settings", settings}})
	must.NoError(tc.t, err)
	tc.t.Cleanup(e.process.Kill)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	e.callers, err = e.process.Address(ctx, "callers")
	must.NoError(tc.t, err)
	e.operators, err = e.process.Address(ctx, "operators")
	must.NoError(tc.t, err)
	tc.mu.Lock()
	tc.entries = append(tc.entries, e)
	tc.mu.Unlock()
	return e
}

func (tc *testCluster) link(name, to string) *standin.Link {
	l, err := standin.StartLink(standin.LinkOptions{Name: name, Target: to}, nil)
	must.NoError(tc.t, err)
	tc.t.Cleanup(l.Close)
	return l
}

// callerAddresses returns the caller addresses of all instances started so far.
func (tc *testCluster) callerAddresses() []string {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	var all []string
	for _, e := range tc.entries {
		all = append(all, e.callers)
	}
	return all
}

// apply proposes and commits the lists.
func (tc *testCluster) apply(l lists.Lists) operator.Applied {
	tc.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	p, err := tc.operator.Propose(ctx, l)
	must.NoError(tc.t, err)
	a, err := tc.operator.Commit(ctx, p)
	must.NoError(tc.t, err)
	must.Eq(tc.t, operator.Accepted, a.Outcome)
	return a
}

// giveKey creates a key for a workspace and waits until it is in force on all
// instances.
func (tc *testCluster) giveKey(workspace, label string) string {
	tc.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	k, err := tc.operator.IssueKey(ctx, workspace, label)
	must.NoError(tc.t, err)
	inForce, err := tc.operator.WaitInForce(ctx, tc.fleet, k.Revision)
	must.NoError(tc.t, err)
	must.True(tc.t, inForce.InForce, must.Sprintf("key is not in force on all instances: missing %v", inForce.Missing))
	return k.Secret.Reveal()
}

// running returns a copy of the list of instances started so far.
func (tc *testCluster) running() []*instance {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return slices.Clone(tc.entries)
}

// dumpLogsOnFailure prints the end of each instance's log if the test failed.
func (tc *testCluster) dumpLogsOnFailure() {
	if !tc.t.Failed() {
		return
	}
	for _, e := range tc.entries {
		text := e.process.Log()
		tc.t.Logf("%s in %s:\n%s", e.name, e.dataCentre, text[max(0, len(text)-2000):])
	}
}

// addressCount counts the addresses that freeAddress has returned.
var addressCount atomic.Uint32

// freeAddress returns an unused local address. A link needs its target address before
// the process that listens there is started. Each address has a loopback IP of its own:
// on a shared one, another listener may take the port before the process does.
func freeAddress(t *testing.T) string {
	t.Helper()
	n := addressCount.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.201.%d.%d:0", n/250, n%250+1))
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// service returns a service with a single route.
func service(name, prefix string, floor int, timeout time.Duration) config.Service {
	return config.Service{
		Name: name, Floor: floor, Timeout: config.Duration(timeout),
		Routes: []config.Route{{Prefix: prefix}},
	}
}
