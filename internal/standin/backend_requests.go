package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/wire"
)

// maxRequestBodyBytes is the maximum size of a request body.
const maxRequestBodyBytes = 64 << 20

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

func (b *Backend) requestHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(HealthPath, b.serveHealth)
	mux.HandleFunc(LoadPath, b.serveLoad)
	mux.HandleFunc("/", b.serveRequest)
	return mux
}

// connPolicy returns the connection policy that follows from the current faults.
func (b *Backend) connPolicy() connPolicy {
	f, changed := b.faults.get()
	return connPolicy{refuseConnections: f.RefuseConnections, stopReading: f.StopReading, changed: changed}
}

// contextWithConn makes the connection available to serveRequest, which captures
// the header block received on it.
func contextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

func (b *Backend) serveRequest(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*faultConn); ok {
		conn.capture.addRequest(r.Method + " " + r.RequestURI + " HTTP/")
	}
	b.setLeavingHeader(w)
	execution, err := b.readRequest(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel, err := withRequestTimeout(r)
	if err != nil {
		rejectRequest(w, r, http.StatusBadRequest, err.Error())
		return
	}
	defer cancel()
	if b.isDraining() {
		w.Header().Set(wire.HeaderLeaving, "1")
		shedRequest(w, r)
		return
	}
	switch err := b.slots.acquire(ctx); {
	case errors.Is(err, errQueueFull):
		shedRequest(w, r)
		return
	case err != nil:
		rejectRequest(w, r, http.StatusGatewayTimeout, "no slot within the request's time")
		return
	}
	defer b.slots.release()
	if ctx.Err() != nil {
		rejectRequest(w, r, http.StatusGatewayTimeout, "no slot within the request's time")
		return
	}
	b.execute(ctx, w, r, execution)
}

// setLeavingHeader sets leavingHeader if the server is draining.
func (b *Backend) setLeavingHeader(w http.ResponseWriter) {
	if b.isDraining() {
		w.Header().Set(leavingHeader, "1")
	}
}

// readRequest reads the entire request body. It fails for truncated requests,
// which must not be executed.
func (b *Backend) readRequest(r *http.Request) (Execution, error) {
	hash := sha256.New()
	n, err := io.Copy(hash, io.LimitReader(r.Body, maxRequestBodyBytes+1))
	if err != nil {
		return Execution{}, err
	}
	if n > maxRequestBodyBytes {
		return Execution{}, errors.New("request body exceeds the size limit")
	}
	return Execution{
		Attempt:    r.Header.Get(AttemptHeader),
		Workspace:  r.Header.Get(WorkspaceHeader),
		Method:     r.Method,
		Path:       r.URL.Path,
		Operation:  r.Header.Get(OperationHeader),
		BodyLength: n,
		BodySHA256: hex.EncodeToString(hash.Sum(nil)),
	}, nil
}

// execute simulates the execution of a request and sends the response.
func (b *Backend) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, execution Execution) {
	now := b.now()
	faults := b.Faults().activeAt(now)
	fault := faults.responseFault(execution.Workspace, b.random())
	latency := faults.latency(b.baseLatency(now))
	execution.StartedAt = now
	index := b.executions.start(execution)

	if fault == hangingRequest {
		<-r.Context().Done()
		b.executions.finish(index, b.now(), ExecutionCancelled, "")
		panic(http.ErrAbortHandler)
	}
	if fault == lateResponse {
		ctx = context.WithoutCancel(ctx)
	}
	if state := waitFor(ctx, r.Context(), latency); state != ExecutionCompleted {
		b.executions.finish(index, b.now(), state, "")
		w.Header().Set(OutcomeHeader, OutcomeGaveUp)
		writeText(w, r, http.StatusGatewayTimeout, "gave up\n")
		return
	}
	if faults.FatalPath != "" && strings.HasPrefix(execution.Path, faults.FatalPath) {
		b.end()
		panic(http.ErrAbortHandler)
	}
	completions := b.executions.finish(index, b.now(), ExecutionCompleted, execution.Operation)
	if fault == lateResponse {
		_ = waitFor(ctx, ctx, time.Duration(faults.LateDelay))
	}
	b.sendResponse(w, r, fault, executionResponse(execution, b.options.Service, completions, r.URL.Query().Get("size")))
}

// baseLatency counts a request and returns its execution time without faults,
// which is longer during the cold start.
func (b *Backend) baseLatency(now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requestsStarted++
	if now < b.options.ColdStartDuration || b.requestsStarted <= b.options.ColdStartRequests {
		return time.Duration(float64(b.options.Latency) * b.options.ColdStartFactor)
	}
	return b.options.Latency
}

// waitFor waits for d and returns ExecutionCompleted. If ctx is done earlier, it
// returns ExecutionCancelled if connCtx is done too, otherwise ExecutionTimedOut.
func waitFor(ctx, connCtx context.Context, d time.Duration) ExecutionState {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ExecutionCompleted
	case <-ctx.Done():
	}
	if connCtx.Err() != nil {
		return ExecutionCancelled
	}
	return ExecutionTimedOut
}

// withRequestTimeout returns the request's context with the timeout of
// TimeoutHeader, if there is one.
func withRequestTimeout(r *http.Request) (context.Context, context.CancelFunc, error) {
	value := r.Header.Get(TimeoutHeader)
	if value == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	timeout, err := parseTimeout(value)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	return ctx, cancel, nil
}

// maxRequestTimeout is the largest value accepted in TimeoutHeader.
const maxRequestTimeout = time.Hour

// parseTimeout parses the value of TimeoutHeader, a number of milliseconds that
// consists of digits only.
func parseTimeout(value string) (time.Duration, error) {
	if strings.Trim(value, "0123456789") != "" {
		return 0, errors.Newf("%s: %q isn't a number of milliseconds", TimeoutHeader, value)
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms > maxRequestTimeout.Milliseconds() {
		return 0, errors.Newf("%s: %q is out of range", TimeoutHeader, value)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// shedRequest rejects a request because the server is overloaded or draining.
func shedRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Retry-After", "1")
	rejectRequest(w, r, http.StatusServiceUnavailable, "shed")
}

// rejectRequest sends the response to a request that was not executed and never
// will be.
func rejectRequest(w http.ResponseWriter, r *http.Request, status int, reason string) {
	w.Header().Set(OutcomeHeader, OutcomeNotRun)
	writeText(w, r, status, reason+"\n")
}

// writeText sends a plain-text response that echoes the attempt ID.
func writeText(w http.ResponseWriter, r *http.Request, status int, body string) {
	if attempt := r.Header.Get(AttemptHeader); attempt != "" {
		w.Header().Set(AttemptHeader, attempt)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}
