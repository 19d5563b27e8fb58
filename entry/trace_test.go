package entry_test

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"foxtailspoke/entry/settings"
	"foxtailspoke/entry/trace"
	"foxtailspoke/internal/standin"
	"foxtailspoke/node"
)

// An instance records a trace while backend servers fail. Replaying its events
// into a new node must give the same effects, which the replay reports.
func TestRecordedTraceReplays(t *testing.T) {
	file := filepath.Join(t.TempDir(), "trace")
	env := newEnvironment(t, options{catalogues: 3, adjust: func(s *settings.Settings) { s.Trace.File = file }})
	e := env.entries[0]
	must.NoError(t, env.catalogue.SetFaults(standin.BackendFaults{ErrorRatio: 0.5, TruncatedRatio: 0.5}))
	for i := range 30 {
		if i == 5 { // the retries of five lookups are within the budget
			must.NoError(t, env.catalogue.SetFaults(standin.BackendFaults{}))
		}
		lookup := env.get(e, "/catalogue/a", env.key)
		must.Eq(t, http.StatusOK, lookup.status, must.Sprint(lookup.body))
		env.call(e, http.MethodPost, "/orders/", env.full, strings.NewReader("x"), map[string]string{"Idempotency-Key": "mine"})
		env.get(e, "/orders/", env.key)
		env.get(e, "/-/v1/locate?operations=1", env.full)
	}
	env.metrics(e) // read on the event loop's goroutine without changing the node
	eventually(t, "the trace is written", func() bool {
		data, err := os.ReadFile(file)
		return err == nil && len(data) > 1<<14
	})
	data, err := os.ReadFile(file)
	must.NoError(t, err)
	refused := 0
	done, err := trace.Replay(bytes.NewReader(data), func(_ time.Duration, _ node.Event, effects []node.Effect) {
		for _, f := range effects {
			if r, ok := f.(node.Refuse); ok && r.Record.Rule == "service-not-in-plan" {
				refused++
			}
		}
	})
	t.Log(done.Steps, "steps,", len(data), "bytes")
	// The last step may have been read incompletely.
	must.False(t, errors.Is(err, trace.ErrMismatch), must.Sprint(err))
	must.False(t, done.ExternalChange)
	must.GreaterEq(t, 200, done.Steps)
	must.Eq(t, 30, refused)

	info, err := os.Stat(file)
	must.NoError(t, err)
	must.Eq(t, os.FileMode(0o600), info.Mode().Perm())
}

// Replay must report the step at which the node's effects differ from the
// trace, and the recorder must stop at its size limit.
func TestReplayReportsMismatch(t *testing.T) {
	s := node.DefaultSettings()
	s.Self.ID, s.Secret = "a", []byte("sixteen bytes of secret")
	var b bytes.Buffer
	r, err := trace.NewRecorder(&b, 1<<20, s)
	must.NoError(t, err)
	n := node.New(s)
	r.Record(time.Second, node.Wake{}, n.Step(time.Second, node.Wake{}))
	wrong := node.RequestArrived{Request: "r", Method: http.MethodGet, Path: "/"}
	r.Record(time.Second, wrong, n.Step(time.Second, node.RequestArrived{Request: "q", Method: http.MethodGet, Path: "/"}))
	must.NoError(t, r.Err())
	done, err := trace.Replay(&b, nil)
	must.ErrorIs(t, err, trace.ErrMismatch)
	must.Eq(t, 1, done.Steps)

	small, err := trace.NewRecorder(&b, 4<<10, s)
	must.NoError(t, err)
	for range 1000 {
		small.Record(time.Second, node.Wake{}, nil)
	}
	must.Error(t, small.Err())
	must.LessEq(t, 4<<10, b.Len())
}
