package standin_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin"
)

// Each way in which a server goes wrong while its health report is fine.
// Whatever comes back, the work was done, and what the caller's side can see
// of it is what tells it from a good answer.
func TestBackendResponseFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.BackendFaults
		check  func(t *testing.T, r response)
	}{
		{"half", standin.BackendFaults{TruncatedRatio: 1}, func(t *testing.T, r response) {
			must.ErrorIs(t, r.err, io.ErrUnexpectedEOF)
			must.Eq(t, http.StatusOK, r.status)
			must.Positive(t, len(r.body))
		}},
		{"stalled", standin.BackendFaults{StalledRatio: 1}, func(t *testing.T, r response) {
			must.ErrorIs(t, r.err, context.DeadlineExceeded)
			must.Eq(t, http.StatusOK, r.status)
			must.Positive(t, len(r.body))
		}},
		{"error", standin.BackendFaults{ErrorRatio: 1}, func(t *testing.T, r response) {
			must.Eq(t, http.StatusInternalServerError, r.status)
			must.Eq(t, "a1", r.header.Get(standin.AttemptHeader))
			must.Eq(t, "", r.header.Get(standin.OutcomeHeader))
		}},
		{"error for one", standin.BackendFaults{ErrorRatio: 1, ErrorWorkspace: "cebu"}, func(t *testing.T, r response) {
			must.Eq(t, http.StatusInternalServerError, r.status)
		}},
		{"error for another", standin.BackendFaults{ErrorRatio: 1, ErrorWorkspace: "davao"}, func(t *testing.T, r response) {
			must.Eq(t, http.StatusOK, r.status)
		}},
		{"crossed", standin.BackendFaults{MismatchedRatio: 1}, func(t *testing.T, r response) {
			must.Eq(t, http.StatusOK, r.status)
			must.Eq(t, "a0", r.header.Get(standin.AttemptHeader))
			must.StrContains(t, r.body, "/before")
		}},
		{"no echo", standin.BackendFaults{MissingAttemptRatio: 1}, func(t *testing.T, r response) {
			must.Eq(t, http.StatusOK, r.status)
			must.MapNotContainsKey(t, r.header, standin.AttemptHeader)
		}},
		{"late", standin.BackendFaults{
			LateRatio: 1, LateDelay: config.Duration(20 * time.Millisecond), AddedLatency: config.Duration(20 * time.Millisecond),
		}, func(t *testing.T, r response) {
			must.Eq(t, http.StatusOK, r.status)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startBackend(t, standin.BackendOptions{Latency: time.Millisecond})
			before := request{path: "/before", header: map[string]string{standin.AttemptHeader: "a0"}}
			must.Eq(t, http.StatusOK, before.send(t, newClient(t), b.URL()).status)
			must.NoError(t, b.SetFaults(c.faults))
			header := map[string]string{}
			if c.faults.LateRatio > 0 {
				header[standin.TimeoutHeader] = "10"
			}
			one := request{path: "/x", header: header}
			if c.faults.StalledRatio > 0 {
				one.timeout = glance
			}
			r := one.send(t, newClient(t), b.URL())
			must.Eq(t, c.faults.TruncatedRatio+c.faults.StalledRatio > 0, r.err != nil)
			c.check(t, r)
			log, _ := b.Executions()
			must.Eq(t, standin.ExecutionCompleted, log[1].State)
			must.Eq(t, http.StatusOK, request{path: standin.HealthPath}.send(t, newClient(t), b.URL()).status)
		})
	}
}

// The same answer comes twice on one connection. The copy would be taken for
// the answer to the next request.
func TestBackendDuplicatesResponse(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{Faults: standin.BackendFaults{DuplicateRatio: 1}})
	conn, err := net.Dial("tcp", b.Address())
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nFoxtailspoke-Attempt: a1\r\n\r\n")
	must.NoError(t, err)
	reader := bufio.NewReader(conn)
	for range 2 {
		r, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		must.Eq(t, "a1", r.Header.Get(standin.AttemptHeader))
		_, err = io.Copy(io.Discard, r.Body)
		must.NoError(t, err)
	}
	log, _ := b.Executions()
	must.Len(t, 1, log)
}

// A slow server runs into the request's time; a hanging one ignores it and
// keeps its slot until the connection is closed.
func TestBackendSlowAndHanging(t *testing.T) {
	timed := request{header: map[string]string{standin.TimeoutHeader: "30"}, timeout: 200 * time.Millisecond}
	b := startBackend(t, standin.BackendOptions{Latency: time.Millisecond})
	for _, f := range []standin.BackendFaults{{LatencyFactor: 1e6}, {AddedLatency: config.Duration(time.Hour)}} {
		must.NoError(t, b.SetFaults(f))
		must.Eq(t, http.StatusGatewayTimeout, timed.send(t, newClient(t), b.URL()).status)
	}
	must.NoError(t, b.SetFaults(standin.BackendFaults{HangRatio: 1}))
	must.ErrorIs(t, timed.send(t, newClient(t), b.URL()).err, context.DeadlineExceeded)
	eventually(t, "the slot is free", func() bool { return b.Load().InFlight == 0 })
	log, _ := b.Executions()
	must.Eq(t, standin.ExecutionCancelled, log[2].State)
}

// New connections are refused while those that stand go on; then all is well
// again on the same address.
func TestBackendRefusesConnections(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{})
	standing := newClient(t)
	must.Eq(t, http.StatusOK, request{}.send(t, standing, b.URL()).status)
	for range 3 {
		must.NoError(t, b.UpdateFaults(func(f *standin.BackendFaults) { f.RefuseConnections = true }))
		eventually(t, "refused", func() bool {
			return errors.Is(request{}.send(t, newClient(t), b.URL()).err, syscall.ECONNREFUSED)
		})
		must.Eq(t, http.StatusOK, request{}.send(t, standing, b.URL()).status)
		must.NoError(t, b.UpdateFaults(func(f *standin.BackendFaults) { f.RefuseConnections = false }))
		eventually(t, "taken", func() bool { return request{}.send(t, newClient(t), b.URL()).status == http.StatusOK })
	}
	must.NoError(t, b.UpdateFaults(func(f *standin.BackendFaults) { f.RefuseConnections = true }))
}

// The server's process is stuck: it takes connections and reads nothing. Once
// it reads again the request that waited gets its answer.
func TestBackendStopsReading(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{Faults: standin.BackendFaults{StopReading: true}})
	must.Error(t, request{timeout: glance}.send(t, newClient(t), b.URL()).err)
	waiting := request{path: "/waits"}.sendAsync(t.Context(), t, b.URL())
	log, _ := b.Executions()
	must.Len(t, 0, log)
	must.NoError(t, b.SetFaults(standin.BackendFaults{}))
	r := <-waiting
	must.NoError(t, r.err)
	must.StrContains(t, r.body, "/waits")

	must.NoError(t, b.SetFaults(standin.BackendFaults{StopReading: true}))
	must.Error(t, request{timeout: glance}.send(t, newClient(t), b.URL()).err)
}

// The server stops reading while it works on a request. It can still write,
// so the answer comes; here twice, for which the server takes the connection
// over and must not wait for a read that never ends.
func TestBackendRespondsWithoutReading(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{
		Latency: 30 * time.Millisecond, Faults: standin.BackendFaults{DuplicateRatio: 1},
	})
	running := request{path: "/x"}.sendAsync(t.Context(), t, b.URL())
	eventually(t, "it runs", func() bool { return b.Load().InFlight == 1 })
	must.NoError(t, b.SetFaults(standin.BackendFaults{StopReading: true}))
	r := <-running
	must.NoError(t, r.err)
	must.StrContains(t, r.body, "/x")
}

func TestBackendFaultsOverHTTP(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{})
	url := b.ControlURL() + "/control/faults"
	must.Eq(t, http.StatusOK, control(t, http.MethodPost, url, `{"halfRatio":0.5,"delay":"1ms"}`).status)
	must.Eq(t, http.StatusOK, control(t, http.MethodPost, url, `{"hangRatio":0.5}`).status)
	want := standin.BackendFaults{TruncatedRatio: 0.5, HangRatio: 0.5, AddedLatency: config.Duration(time.Millisecond)}
	must.Eq(t, want, b.Faults())
	for _, bad := range []string{
		`{"errorRatio":0.1}`, `{"halfRatio":-1}`, `{"factor":-1}`, `{"health":"fine"}`, `{"lateBy":"-1s"}`, `{"x":1}`,
	} {
		must.Eq(t, http.StatusBadRequest, control(t, http.MethodPost, url, bad).status, must.Sprint(bad))
	}
	must.Eq(t, want, b.Faults())
	report := control(t, http.MethodGet, strings.Replace(url, "faults", "executions", 1), "").body
	must.Eq(t, `{"executions":null,"dropped":0}`+"\n", report)
}
