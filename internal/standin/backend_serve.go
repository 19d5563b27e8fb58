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

// maxWorkBody bounds a request's body, in bytes.
const maxWorkBody = 64 << 20

// connKey is the context key of the connection that a request came on.
type connKey struct{}

func (b *Backend) workHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(HealthPath, b.serveHealth)
	mux.HandleFunc(LoadPath, b.serveLoad)
	mux.HandleFunc("/", b.serveWork)
	return mux
}

// gates returns what connections may do.
func (b *Backend) gates() gates {
	f, changed := b.faults.get()
	return gates{refuse: f.RefuseConnections, stopReading: f.StopReading, changed: changed}
}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

func (b *Backend) serveWork(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*gatedConn); ok {
		conn.raw.request(r.Method + " " + r.RequestURI + " HTTP/")
	}
	e, err := b.receive(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel, err := requestTime(r)
	if err != nil {
		refuse(w, r, http.StatusBadRequest, err.Error())
		return
	}
	defer cancel()
	if b.isDraining() {
		w.Header().Set(wire.HeaderLeaving, "1")
		shed(w, r)
		return
	}
	switch err := b.slots.acquire(ctx); {
	case errors.Is(err, errFull):
		shed(w, r)
		return
	case err != nil:
		refuse(w, r, http.StatusGatewayTimeout, "no slot within the request's time")
		return
	}
	defer b.slots.release()
	if ctx.Err() != nil {
		refuse(w, r, http.StatusGatewayTimeout, "no slot within the request's time")
		return
	}
	b.run(ctx, w, r, e)
}

// receive reads the whole request. A request that isn't whole doesn't run.
func (b *Backend) receive(r *http.Request) (Execution, error) {
	hash := sha256.New()
	n, err := io.Copy(hash, io.LimitReader(r.Body, maxWorkBody+1))
	if err != nil {
		return Execution{}, err
	}
	if n > maxWorkBody {
		return Execution{}, errors.New("body too long")
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

// run does the work and answers.
func (b *Backend) run(ctx context.Context, w http.ResponseWriter, r *http.Request, e Execution) {
	now := b.now()
	faults := b.Faults().activeAt(now)
	q := faults.responseFault(e.Workspace, b.random())
	duration := faults.latency(b.baseTime(now))
	e.StartedAt = now
	index := b.executions.begin(e)

	if q == hangingRequest {
		<-r.Context().Done()
		b.executions.finish(index, b.now(), ExecutionCancelled, "")
		panic(http.ErrAbortHandler)
	}
	if q == lateResponse {
		ctx = context.WithoutCancel(ctx)
	}
	if end := wait(ctx, r.Context(), duration); end != ExecutionCompleted {
		b.executions.finish(index, b.now(), end, "")
		w.Header().Set(OutcomeHeader, OutcomeGaveUp)
		writeEchoed(w, r, http.StatusGatewayTimeout, "gave up\n")
		return
	}
	times := b.executions.finish(index, b.now(), ExecutionCompleted, e.Operation)
	if q == lateResponse {
		_ = wait(ctx, ctx, time.Duration(faults.LateDelay))
	}
	b.sendResponse(w, r, q, executionResponse(e, b.options.Service, times, r.URL.Query().Get("size")))
}

// baseTime returns how long work takes without faults.
func (b *Backend) baseTime(now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requestsStarted++
	if now < b.options.ColdStartDuration || b.requestsStarted <= b.options.ColdStartRequests {
		return time.Duration(float64(b.options.Latency) * b.options.ColdStartFactor)
	}
	return b.options.Latency
}

// wait returns Done after d, or how the request ended before.
func wait(ctx, connection context.Context, d time.Duration) ExecutionState {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ExecutionCompleted
	case <-ctx.Done():
	}
	if connection.Err() != nil {
		return ExecutionCancelled
	}
	return ExecutionTimedOut
}

// requestTime returns a context that ends with the request's time.
func requestTime(r *http.Request) (context.Context, context.CancelFunc, error) {
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

// maxTimeout bounds what TimeoutHeader may ask for.
const maxTimeout = time.Hour

// parseTimeout reads the value of TimeoutHeader: milliseconds, digits only.
func parseTimeout(value string) (time.Duration, error) {
	if strings.Trim(value, "0123456789") != "" {
		return 0, errors.Newf("%s: %q isn't a number of milliseconds", TimeoutHeader, value)
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms > maxTimeout.Milliseconds() {
		return 0, errors.Newf("%s: %q is out of range", TimeoutHeader, value)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// shed refuses work that there is no room for.
func shed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Retry-After", "1")
	refuse(w, r, http.StatusServiceUnavailable, "shed")
}

// refuse answers a request that wasn't run.
func refuse(w http.ResponseWriter, r *http.Request, status int, reason string) {
	w.Header().Set(OutcomeHeader, OutcomeNotRun)
	writeEchoed(w, r, status, reason+"\n")
}

func writeEchoed(w http.ResponseWriter, r *http.Request, status int, body string) {
	if attempt := r.Header.Get(AttemptHeader); attempt != "" {
		w.Header().Set(AttemptHeader, attempt)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}
