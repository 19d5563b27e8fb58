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

// Each response fault must be visible to the client as described, although the
// request is executed and the server reports itself as healthy.
func TestBackendResponseFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.BackendFaults
		check  func(t *testing.T, r response)
	}{
		{"truncated", standin.BackendFaults{TruncatedRatio: 1}, func(t *testing.T, r response) {
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
		{"error in workspace", standin.BackendFaults{ErrorRatio: 1, ErrorWorkspace: "cebu"}, func(t *testing.T, r response) {
			must.Eq(t, http.StatusInternalServerError, r.status)
		}},
		{"error elsewhere", standin.BackendFaults{ErrorRatio: 1, ErrorWorkspace: "davao"}, func(t *testing.T, r response) {
			must.Eq(t, http.StatusOK, r.status)
		}},
		{"mismatched", standin.BackendFaults{MismatchedRatio: 1}, func(t *testing.T, r response) {
			must.Eq(t, http.StatusOK, r.status)
			must.Eq(t, "a0", r.header.Get(standin.AttemptHeader))
			must.StrContains(t, r.body, "/before")
		}},
		{"missing attempt", standin.BackendFaults{MissingAttemptRatio: 1}, func(t *testing.T, r response) {
			must.Eq(t, http.StatusOK, r.status)
			must.MapNotContainsKey(t, r.header, standin.AttemptHeader)
		}},
		{"late", standin.BackendFaults{
			LateRatio: 1, LateDelay: config.Duration(20 * time.Millisecond),
			AddedLatency: config.Duration(20 * time.Millisecond),
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
			req := request{path: "/x", header: header}
			if c.faults.StalledRatio > 0 {
				req.timeout = shortTimeout
			}
			r := req.send(t, newClient(t), b.URL())
			must.Eq(t, c.faults.TruncatedRatio+c.faults.StalledRatio > 0, r.err != nil)
			c.check(t, r)
			executions, _ := b.Executions()
			must.Eq(t, standin.ExecutionCompleted, executions[1].State)
			must.Eq(t, http.StatusOK, request{path: standin.HealthPath}.send(t, newClient(t), b.URL()).status)
		})
	}
}

// A duplicated response must arrive twice on the connection: the client could
// take the duplicate for the response to its next request.
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
	executions, _ := b.Executions()
	must.Len(t, 1, executions)
}

// A slow execution must be aborted at the request's timeout. A hanging request
// must ignore the timeout and occupy its slot until the connection is closed.
func TestBackendSlowAndHanging(t *testing.T) {
	withTimeout := request{header: map[string]string{standin.TimeoutHeader: "30"}, timeout: 200 * time.Millisecond}
	b := startBackend(t, standin.BackendOptions{Latency: time.Millisecond})
	for _, f := range []standin.BackendFaults{{LatencyFactor: 1e6}, {AddedLatency: config.Duration(time.Hour)}} {
		must.NoError(t, b.SetFaults(f))
		must.Eq(t, http.StatusGatewayTimeout, withTimeout.send(t, newClient(t), b.URL()).status)
	}
	must.NoError(t, b.SetFaults(standin.BackendFaults{HangRatio: 1}))
	must.ErrorIs(t, withTimeout.send(t, newClient(t), b.URL()).err, context.DeadlineExceeded)
	eventually(t, "slot is released", func() bool { return b.Load().InFlight == 0 })
	executions, _ := b.Executions()
	must.Eq(t, standin.ExecutionCancelled, executions[2].State)
}

// RefuseConnections must refuse new connections and leave established ones alone.
// When it ends, connections must be accepted on the same address again.
func TestBackendRefusesConnections(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{})
	established := newClient(t)
	must.Eq(t, http.StatusOK, request{}.send(t, established, b.URL()).status)
	for range 3 {
		must.NoError(t, b.UpdateFaults(func(f *standin.BackendFaults) { f.RefuseConnections = true }))
		eventually(t, "connection is refused", func() bool {
			return errors.Is(request{}.send(t, newClient(t), b.URL()).err, syscall.ECONNREFUSED)
		})
		must.Eq(t, http.StatusOK, request{}.send(t, established, b.URL()).status)
		must.NoError(t, b.UpdateFaults(func(f *standin.BackendFaults) { f.RefuseConnections = false }))
		eventually(t, "connection is accepted", func() bool {
			return request{}.send(t, newClient(t), b.URL()).status == http.StatusOK
		})
	}
	must.NoError(t, b.UpdateFaults(func(f *standin.BackendFaults) { f.RefuseConnections = true }))
}

// StopReading simulates a blocked server process: connections are accepted and
// nothing is read. When it ends, the waiting request must get its response.
func TestBackendStopsReading(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{Faults: standin.BackendFaults{StopReading: true}})
	must.Error(t, request{timeout: shortTimeout}.send(t, newClient(t), b.URL()).err)
	waiting := request{path: "/waits"}.sendAsync(t.Context(), t, b.URL())
	executions, _ := b.Executions()
	must.Len(t, 0, executions)
	must.NoError(t, b.SetFaults(standin.BackendFaults{}))
	r := <-waiting
	must.NoError(t, r.err)
	must.StrContains(t, r.body, "/waits")

	must.NoError(t, b.SetFaults(standin.BackendFaults{StopReading: true}))
	must.Error(t, request{timeout: shortTimeout}.send(t, newClient(t), b.URL()).err)
}

// A server that stops reading during an execution must still send the response.
// DuplicateRatio makes the server hijack the connection, which must not wait for
// the pending Read: it does not return while reading is stopped.
func TestBackendRespondsWithoutReading(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{
		Latency: 30 * time.Millisecond, Faults: standin.BackendFaults{DuplicateRatio: 1},
	})
	running := request{path: "/x"}.sendAsync(t.Context(), t, b.URL())
	eventually(t, "request is running", func() bool { return b.Load().InFlight == 1 })
	must.NoError(t, b.SetFaults(standin.BackendFaults{StopReading: true}))
	r := <-running
	must.NoError(t, r.err)
	must.StrContains(t, r.body, "/x")
}

func TestBackendFaultsOverHTTP(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{})
	url := b.ControlURL() + "/control/faults"
	must.Eq(t, http.StatusOK, callControlAPI(t, http.MethodPost, url, `{"halfRatio":0.5,"delay":"1ms"}`).status)
	must.Eq(t, http.StatusOK, callControlAPI(t, http.MethodPost, url, `{"hangRatio":0.5}`).status)
	want := standin.BackendFaults{TruncatedRatio: 0.5, HangRatio: 0.5, AddedLatency: config.Duration(time.Millisecond)}
	must.Eq(t, want, b.Faults())
	for _, bad := range []string{
		`{"errorRatio":0.1}`, `{"halfRatio":-1}`, `{"factor":-1}`, `{"health":"fine"}`, `{"lateBy":"-1s"}`, `{"x":1}`,
	} {
		must.Eq(t, http.StatusBadRequest, callControlAPI(t, http.MethodPost, url, bad).status, must.Sprint(bad))
	}
	must.Eq(t, want, b.Faults())
	report := callControlAPI(t, http.MethodGet, strings.Replace(url, "faults", "executions", 1), "").body
	must.Eq(t, `{"executions":null,"dropped":0}`+"\n", report)
}

// A fatal request must end the server with all of its connections, after the execution time.
func TestBackendEndsUnderFatalRequest(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{Faults: standin.BackendFaults{FatalPath: "/fatal/"}})
	must.Eq(t, http.StatusOK, request{path: "/x"}.send(t, newClient(t), b.URL()).status)
	must.Error(t, request{path: "/fatal/1"}.send(t, newClient(t), b.URL()).err)
	select {
	case <-b.Ended():
	case <-time.After(time.Second):
		t.Fatal("server did not end")
	}
	must.ErrorIs(t, request{path: "/x"}.send(t, newClient(t), b.URL()).err, syscall.ECONNREFUSED)
}

// An endless response must last until the client closes the connection.
func TestBackendSendsHeadersWithoutEnd(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{Faults: standin.BackendFaults{EndlessRatio: 1}})
	conn, err := net.Dial("tcp", b.Address())
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nFoxtailspoke-Attempt: a1\r\n\r\n")
	must.NoError(t, err)
	n, err := io.CopyN(io.Discard, conn, 4<<20)
	must.NoError(t, err)
	must.Eq(t, 4<<20, n)
}
