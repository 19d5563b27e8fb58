package cli

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	api "foxtailspoke/api/operator"
	"foxtailspoke/api/operator/oas"
	"foxtailspoke/decision"
	"foxtailspoke/internal/standin"
	"foxtailspoke/storage"
	"foxtailspoke/storage/client"
)

const testToken = "test-token"

// fixture is a stand-in platform with one fake entry instance and announced
// backend servers.
type fixture struct {
	t        *testing.T
	platform *standin.Platform
	entry    *fakeEntry
	// entryAddress is the operator address of entry.
	entryAddress string
	dir          string
	env          map[string]string
}

// fakeEntry implements the operator API.
type fakeEntry struct {
	oas.UnimplementedHandler
	inForce bool
	records []decision.Record
}

func (f *fakeEntry) GetInForce(_ context.Context, p oas.GetInForceParams) (*oas.InForce, error) {
	return &oas.InForce{Revision: p.Revision, InForce: f.inForce, KnownBy: []string{"w1"}, Missing: []string{"w2"}}, nil
}

func (f *fakeEntry) ListDecisions(_ context.Context, p oas.ListDecisionsParams) (*oas.Decisions, error) {
	out := &oas.Decisions{Decisions: []oas.Decision{}}
	for _, r := range f.records {
		if (decision.Query{Request: p.Request.Or(""), Workspace: p.Workspace.Or("")}).Matches(r) {
			out.Decisions = append(out.Decisions, api.FromRecord(r))
		}
	}
	return out, nil
}

func (f *fakeEntry) GetStatus(context.Context) (*oas.Status, error) {
	return &oas.Status{
		Instance: "0f8fad5b-entry", DataCentre: "a", Serving: oas.StatusServingServing, ListsVersion: 1, Revision: 9,
		Confirmation: oas.Confirmation{Source: oas.ConfirmationSourceTable, AgeSeconds: 0.4, LimitSeconds: 3},
		Services: []oas.ServiceStatus{{
			Name: "catalogue", Floor: 6, Servers: 10, Usable: 10, Ejected: []oas.EjectedServer{},
			Lowered: []oas.LoweredServer{{Server: "catalogue-3", Weight: 0.25, Reason: "its answers take 8 times as long as the others'"}},
		}},
		WorkspacesNearLimit: []oas.WorkspaceUse{{Workspace: "cebu-boatyard", Service: "catalogue", Rate: 20, Burst: 40, Tokens: 1.5, Parts: 20, Refused: 7}},
	}, nil
}

func (f *fakeEntry) NewError(_ context.Context, err error) *oas.ProblemStatusCode {
	return &oas.ProblemStatusCode{StatusCode: 500, Response: oas.Problem{Status: 500, Title: err.Error()}}
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	p, err := standin.StartPlatform(standin.PlatformOptions{})
	must.NoError(t, err)
	t.Cleanup(p.Close)
	f := &fixture{t: t, platform: p, entry: &fakeEntry{inForce: true}, dir: t.TempDir()}
	server, err := oas.NewServer(f.entry, api.NewTokenCheck(testToken))
	must.NoError(t, err)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	token := filepath.Join(f.dir, "token")
	must.NoError(t, os.WriteFile(token, []byte(testToken+"\n"), 0o600))
	f.env = map[string]string{envPlatform: p.URL(), envTokenFile: token, envUser: "maria"}
	f.entryAddress = strings.TrimPrefix(listener.URL, "http://")
	f.announce(storage.Instance{ID: "0f8fad5b-entry", Kind: storage.Entry, State: storage.Live, DataCentre: "a", OperatorAddress: f.entryAddress})
	for service, n := range map[string]int{"catalogue": 10, "diagnosis": 10, "ordering": 15, "billing": 15} {
		for i := range n {
			f.announce(storage.Instance{ID: service + string(rune('a'+i)), Kind: storage.BackendServer, Service: service, State: storage.Live, Slots: 2})
		}
	}
	return f
}

func (f *fixture) announce(i storage.Instance) {
	c, err := client.New(f.platform.URL(), client.Settings{})
	must.NoError(f.t, err)
	defer c.Close()
	must.NoError(f.t, c.Announce(context.Background(), i))
}

// run executes a command line and returns the exit code and both outputs.
func (f *fixture) run(stdin string, args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Run(context.Background(), args, Streams{In: strings.NewReader(stdin), Out: &out, Err: &err},
		func(name string) string { return f.env[name] })
	return code, out.String(), err.String()
}

// mustRun fails the test unless the command line ends with the wanted exit code.
// It returns both outputs.
func (f *fixture) mustRun(want int, args ...string) string {
	f.t.Helper()
	code, stdout, stderr := f.run("", args...)
	must.Eq(f.t, want, code, must.Sprintf("%v: %s%s", args, stdout, stderr))
	return stdout + stderr
}

func exampleListFiles() []string {
	dir := filepath.Join("..", "..", "examples", "dimaculangan")
	return []string{filepath.Join(dir, "customers.json"), filepath.Join(dir, "plans.json")}
}

// writeEditedLists writes copies of the example lists with the first occurrence of
// old in each replaced, and returns their paths.
func (f *fixture) writeEditedLists(old, replacement string) []string {
	var files []string
	for _, path := range exampleListFiles() {
		data, err := os.ReadFile(path)
		must.NoError(f.t, err)
		copied := filepath.Join(f.dir, filepath.Base(path))
		must.NoError(f.t, os.WriteFile(copied, bytes.Replace(data, []byte(old), []byte(replacement), 1), 0o600))
		files = append(files, copied)
	}
	return files
}
