package edgecommand

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/edge"
	"foxtailspoke/logreport"
)

func run(args ...string) (status int, stdout, stderr string) {
	var out, err bytes.Buffer
	status = Run(context.Background(), args, &out, &err)
	return status, out.String(), err.String()
}

func TestStatusOutput(t *testing.T) {
	s := edge.Status{
		Instance: "edge-1", DataCentre: "luz-a", Ready: true, Version: 12, ConfigAgeMS: 230, ReplacedMS: 640, OwnReadMS: -1, ServersAgeMS: -1,
		Reader: "10.1.0.31", RateShare: 0.5, Evacuated: []string{"luz-c"},
		Instances:  []edge.InstanceStatus{{IP: "10.1.0.31", DataCentre: "luz-a", Alive: true, Leaving: true, HeardMS: 120, SlowLink: true}},
		Services:   []edge.ServiceStatus{{Service: "order-desk", Servers: 15, Draining: 1, Cold: 2, Limited: 3, Evacuated: 4, Outstanding: 9, Suspects: 1}},
		Suspects:   []edge.SuspectStatus{{Server: "i-7", Service: "order-desk", Risk: 0.81, LastFailure: "incomplete", LastFailureMS: 1500}},
		Workspaces: []edge.WorkspaceStatus{{Workspace: "boatyard", Rate: 34, Burst: 34, Tokens: 0.4}},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		must.Eq(t, edge.PathStatus, r.URL.Path)
		must.NoError(t, json.NewEncoder(w).Encode(s))
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	code, out, _ := run("status", address)
	must.Eq(t, exitOK, code)
	for _, part := range []string{
		"edge-1 in luz-a, ready", "configuration 12, proved 230ms ago; servers as of unknown ago; read by 10.1.0.31",
		"announced a newer configuration 640ms ago; the store was last read by this instance unknown ago",
		"50% of each workspace's rate", "incomplete 1.5s ago", "boatyard", "not ready, slow link",
		"evacuated data centres: luz-c",
	} {
		must.StrContains(t, out, part)
	}
	code, out, _ = run("status", "--json", address)
	must.Eq(t, exitOK, code)
	var back edge.Status
	must.NoError(t, json.Unmarshal([]byte(out), &back))
	must.Eq(t, s, back)
}

func TestStatusOfNonInstanceAddress(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	code, _, stderr := run("status", address)
	must.Eq(t, exitFailed, code)
	must.StrContains(t, stderr, "is "+address+" the metrics address of an instance?")
	server.Close()
	code, _, stderr = run("status", address)
	must.Eq(t, exitFailed, code)
	must.StrContains(t, stderr, "the instance doesn't answer")
	code, _, stderr = run("status", "nowhere")
	must.Eq(t, exitFailed, code)
	must.StrContains(t, stderr, `"nowhere" isn't ip:port`)
	code, _, _ = run("status")
	must.Eq(t, exitUsage, code)
}

func TestSettingsAreCheckedFirst(t *testing.T) {
	code, _, stderr := run("--settings", "nosuch.jsonc", "--check")
	must.Eq(t, exitUsage, code)
	must.StrContains(t, stderr, "nosuch.jsonc")
}

// The logs of two instances, one file each, are combined into one report. A
// file without request lines is an error, not an empty report.
func TestExplainReadsManyLogs(t *testing.T) {
	write := func(lines string) string {
		name := filepath.Join(t.TempDir(), "log")
		must.NoError(t, os.WriteFile(name, []byte(lines), 0o600))
		return name
	}
	one := write(`{"event":531,"request":"a","status":200,"rule":"served","service":"s","workspace":"w"}` + "\n")
	two := write(`edge-2: {"event":531,"request":"b","status":503,"rule":"no-room","service":"s","workspace":"w"}` + "\n")
	status, out, _ := run("explain", "--json", one, two)
	must.Zero(t, status)
	var r logreport.Report
	must.NoError(t, json.Unmarshal([]byte(out), &r))
	must.Eq(t, logreport.Count{Served: 1, Refused: 1}, r.Workspaces["w"])
	status, out, _ = run("explain", one, two)
	must.Zero(t, status)
	must.StrContains(t, out, "no-room 1")
	status, _, errs := run("explain", write("nothing\n"))
	must.Eq(t, exitFailed, status)
	must.StrContains(t, errs, "no line")
	status, _, errs = run("explain", one+"-missing")
	must.Eq(t, exitFailed, status)
	must.StrContains(t, errs, "no such file")
}
