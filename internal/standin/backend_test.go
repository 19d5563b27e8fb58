package standin_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin"
)

func TestBackendResponses(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{})
	sum := fmt.Sprintf("%x", sha256.Sum256([]byte("glue")))
	order := request{
		method: http.MethodPost, path: "/orders", body: "glue",
		header: map[string]string{standin.OperationHeader: "op1"},
	}
	for _, c := range []struct {
		req  request
		want string
	}{
		{request{path: "/woods/narra?q=1"}, "catalogue GET /woods/narra workspace=cebu\n"},
		{request{path: "/x?size=100"}, "catalogue GET /x workspace=cebu\n" + strings.Repeat(".", 68)},
		{order, "length=4 sha256=" + sum + " operation=op1 times=1\n"},
		{order, "length=4 sha256=" + sum + " operation=op1 times=2\n"},
	} {
		r := c.req.send(t, newClient(t), b.URL())
		must.NoError(t, r.err)
		must.Eq(t, http.StatusOK, r.status)
		must.Eq(t, "a1", r.header.Get(standin.AttemptHeader))
		must.StrContains(t, r.body, c.want)
	}
	executions, dropped := b.Executions()
	must.Zero(t, dropped)
	must.Len(t, 4, executions)
	must.Eq(t, fmt.Sprintf("%x", sha256.Sum256(nil)), executions[0].BodySHA256)
	must.Eq(t, sum, executions[2].BodySHA256)
	must.Eq(t, "op1", executions[2].Operation)
	must.Eq(t, standin.ExecutionCompleted, executions[3].State)
}

// With all slots in use and the queue full, the server must reject a request
// immediately as not executed, and must not execute it later. A queued request is
// rejected when its timeout expires, which frees its place in the queue.
func TestBackendShedsLoad(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{
		Slots: 1, QueueSize: 1, Faults: standin.BackendFaults{HangRatio: 1},
	})
	first, cancelFirst := context.WithCancel(t.Context())
	defer cancelFirst()
	running := request{path: "/first"}.sendAsync(first, t, b.URL())
	eventually(t, "first request is running", func() bool { return b.Load().InFlight == 1 })
	late := request{path: "/late", header: map[string]string{standin.TimeoutHeader: "20"}}.send(t, newClient(t), b.URL())
	requireNotExecuted(t, late, http.StatusGatewayTimeout)

	queued := request{path: "/queued"}.sendAsync(t.Context(), t, b.URL())
	eventually(t, "second request is queued", func() bool { return b.Load().Queued == 1 })
	shed := request{path: "/shed"}.send(t, newClient(t), b.URL())
	requireNotExecuted(t, shed, http.StatusServiceUnavailable)
	must.NotEq(t, "", shed.header.Get("Retry-After"))

	must.NoError(t, b.SetFaults(standin.BackendFaults{}))
	cancelFirst()
	must.Error(t, (<-running).err)
	must.Eq(t, http.StatusOK, (<-queued).status)
	executions, _ := b.Executions()
	must.Len(t, 2, executions)
	must.Eq(t, "/queued", executions[1].Path)
	must.Eq(t, standin.Load{Slots: 1}, b.Load())
}

func requireNotExecuted(t *testing.T, resp response, status int) {
	t.Helper()
	must.NoError(t, resp.err)
	must.Eq(t, status, resp.status)
	must.Eq(t, standin.OutcomeNotRun, resp.header.Get(standin.OutcomeHeader))
	must.Eq(t, "a1", resp.header.Get(standin.AttemptHeader))
}

// An execution must be aborted and its slot released when the request's timeout
// expires or its connection is closed.
func TestBackendAbortsExecution(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{Slots: 1, Latency: time.Hour})
	expired := request{header: map[string]string{standin.TimeoutHeader: "0"}}
	requireNotExecuted(t, expired.send(t, newClient(t), b.URL()), http.StatusGatewayTimeout)
	r := request{header: map[string]string{standin.TimeoutHeader: "20"}}.send(t, newClient(t), b.URL())
	must.Eq(t, http.StatusGatewayTimeout, r.status)
	must.Eq(t, standin.OutcomeGaveUp, r.header.Get(standin.OutcomeHeader))

	ctx, cancel := context.WithCancel(t.Context())
	running := request{method: http.MethodPost, body: "x"}.sendAsync(ctx, t, b.URL())
	eventually(t, "request is running", func() bool { return b.Load().InFlight == 1 })
	cancel()
	must.Error(t, (<-running).err)
	eventually(t, "slot is released", func() bool { return b.Load().InFlight == 0 })
	executions, _ := b.Executions()
	must.Eq(t, standin.ExecutionTimedOut, executions[0].State)
	must.Eq(t, standin.ExecutionCancelled, executions[1].State)
}

func TestBackendRejectsMalformedTimeout(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{})
	for _, value := range []string{"-1", "1s", "+1", "0x1", "99999999999999999999", "3600001"} {
		r := request{header: map[string]string{standin.TimeoutHeader: value}}.send(t, newClient(t), b.URL())
		requireNotExecuted(t, r, http.StatusBadRequest)
	}
	executions, _ := b.Executions()
	must.Len(t, 0, executions)
}

func TestBackendColdStart(t *testing.T) {
	for name, o := range map[string]standin.BackendOptions{
		"first requests": {ColdStartRequests: 1, ColdStartFactor: 1e6},
		"first seconds":  {ColdStartDuration: time.Hour, ColdStartFactor: 1e6},
	} {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, o)
			req := request{header: map[string]string{standin.TimeoutHeader: "500"}}
			must.Eq(t, http.StatusGatewayTimeout, req.send(t, newClient(t), b.URL()).status)
			if o.ColdStartRequests > 0 {
				must.Eq(t, http.StatusOK, req.send(t, newClient(t), b.URL()).status)
			}
		})
	}
}

// A request whose body ends before its declared length must not be executed,
// because that would accept a partial order.
func TestBackendDoesNotExecuteTruncatedRequest(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{})
	conn, err := net.Dial("tcp", b.Address())
	must.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf"))
	must.NoError(t, err)
	must.NoError(t, conn.(*net.TCPConn).CloseWrite())
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = conn.Read(make([]byte, 1))
	must.Error(t, err)
	executions, _ := b.Executions()
	must.Len(t, 0, executions)
}

// A draining server must announce this to the platform, reject new requests as
// not executed and complete the executions in progress.
func TestBackendDrains(t *testing.T) {
	p, instances := startPlatform(t, standin.PlatformOptions{})
	b := startBackend(t, standin.BackendOptions{
		Slots: 3, DataCentre: "a", Region: "luzon", Instances: instances, Latency: 50 * time.Millisecond,
	})
	state := func() string {
		list, err := instances.List(t.Context(), 0)
		if err != nil || len(list.Changed) == 0 {
			return ""
		}
		i := list.Changed[0]
		must.Eq(t, b.Address(), i.Address)
		must.Eq(t, 3, i.Slots)
		return i.Service + " " + i.DataCentre + " " + i.Region + " " + string(i.State)
	}
	eventually(t, "instance is announced", func() bool { return state() == "catalogue a luzon live" })
	running := request{}.sendAsync(t.Context(), t, b.URL())
	eventually(t, "request is running", func() bool { return b.Load().InFlight == 1 })

	must.Eq(t, http.StatusNoContent, callControlAPI(t, http.MethodPost, b.ControlURL()+"/control/drain", "").status)
	must.Eq(t, "catalogue a luzon leaving", state())
	rejected, served := request{}.send(t, newClient(t), b.URL()), <-running
	requireNotExecuted(t, rejected, http.StatusServiceUnavailable)
	must.NotEq(t, "", rejected.header.Get("Retry-After"))
	must.Eq(t, http.StatusOK, served.status)
	for _, r := range []response{rejected, served} {
		must.Eq(t, "1", r.header.Get("Server-Leaving"))
	}
	b.Shutdown(t.Context())
	must.Eq(t, "catalogue a luzon ended", state())
	must.Positive(t, p.Counts().Writes)
}

// The platform may declare a server ended that announced itself too late. The
// server must announce itself under a new ID, because an ended ID stays ended.
func TestBackendAnnouncesUnderNewID(t *testing.T) {
	_, instances := startPlatform(t, standin.PlatformOptions{InstanceTimeout: time.Nanosecond})
	b := startBackend(t, standin.BackendOptions{Instances: instances, AnnounceInterval: time.Millisecond})
	first := b.ID()
	eventually(t, "ID is replaced", func() bool { return b.ID() != first })
}

// Health and load reports must follow ReportLag, HealthOverride and
// ReportZeroLoad instead of the actual state.
func TestBackendReportFaults(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{Slots: 1, Faults: standin.BackendFaults{HangRatio: 1}})
	ctx, cancel := context.WithCancel(t.Context())
	running := request{}.sendAsync(ctx, t, b.URL())
	eventually(t, "request is running", func() bool { return b.Load().InFlight == 1 })
	b.Drain()
	hour := config.Duration(time.Hour)
	for _, c := range []struct {
		faults   standin.BackendFaults
		health   string
		inFlight int
	}{
		{standin.BackendFaults{}, "draining", 1},
		{standin.BackendFaults{ReportLag: hour}, "ok", 0},
		{standin.BackendFaults{HealthOverride: "ok", ReportZeroLoad: true}, "ok", 0},
		{standin.BackendFaults{HealthOverride: "bad"}, "bad", 1},
	} {
		must.NoError(t, b.SetFaults(c.faults))
		health := request{path: standin.HealthPath}.send(t, newClient(t), b.URL())
		must.Eq(t, c.health == "ok", health.status == http.StatusOK)
		must.StrContains(t, health.body, `"`+c.health+`"`)
		var load standin.Load
		must.NoError(t, json.Unmarshal([]byte(request{path: standin.LoadPath}.send(t, newClient(t), b.URL()).body), &load))
		must.Eq(t, standin.Load{Slots: 1, InFlight: c.inFlight}, load)
	}
	cancel()
	<-running
}

// Callers' API keys must not reach a backend server. For tests to check this, the
// stand-in must detect secrets in all bytes received and capture the headers.
func TestBackendDetectsSecrets(t *testing.T) {
	b := startBackend(t, standin.BackendOptions{})
	secrets := `["fsk_header","fsk_body","fsk_path","fsk_never"]`
	must.Eq(t, http.StatusNoContent, callControlAPI(t, http.MethodPost, b.ControlURL()+"/control/secrets", secrets).status)
	must.Eq(t, http.StatusBadRequest, callControlAPI(t, http.MethodPost, b.ControlURL()+"/control/secrets", `[""]`).status)
	req := request{
		method: http.MethodPost, path: "/p", body: "..fsk_body..",
		header: map[string]string{"X-odd": "fsk_header"},
	}
	must.Eq(t, http.StatusOK, req.send(t, newClient(t), b.URL()).status)

	must.Eq(t, http.StatusOK, request{path: "/fsk_path"}.send(t, newClient(t), b.URL()).status)

	must.Eq(t, []string{"fsk_body", "fsk_header", "fsk_path"}, b.DetectedSecrets())
	raw := b.RawHeaders()
	must.Zero(t, raw.Incomplete)
	must.Len(t, 2, raw.Headers)
	must.StrHasPrefix(t, "POST /p HTTP/1.1\r\nHost: ", raw.Headers[0])
	must.StrContains(t, raw.Headers[0], "\r\nX-Odd: fsk_header\r\n")
	must.StrHasPrefix(t, "GET /fsk_path HTTP/1.1\r\n", raw.Headers[1])
}
