// Package attempt sends one request to one backend server and classifies the
// result: whether the response is complete and belongs to this attempt and, if
// there is no response, whether the request can have been executed.
//
// The Transport of net/http retries some requests by itself when a kept-alive
// connection turns out to be closed. For a request that is not idempotent this
// is safe only if no byte was written. Requests are therefore sent without the
// headers that make Transport treat them as idempotent, and the bytes written to
// the connection are counted.
package attempt

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/httphead"
	"foxtailspoke/wire"
)

// Result classifies how an attempt ended.
type Result int

const (
	// Answered means that a complete response to this attempt was received, or
	// the beginning of one that is too large to buffer.
	Answered Result = iota
	// ConnectFailed means that no connection could be established.
	ConnectFailed
	// Unwritten means that the connection failed before a byte was written.
	Unwritten
	// TimedOut means that the response did not arrive within the timeout.
	TimedOut
	// ConnectionLost means that the connection failed after a byte was written.
	ConnectionLost
	// Incomplete means that the response was truncated.
	Incomplete
	// Mismatched means that the response carried the id of another attempt,
	// several ids or none.
	Mismatched
	// Refused means that the backend server reported that it did not execute the
	// request.
	Refused
	// Cancelled means that the instance cancelled the attempt.
	Cancelled
	// Expired means that nothing was written because Request.Valid returned
	// false.
	Expired
	// BodyFailed means that the request body was truncated or too long. This is
	// not a fault of the backend server.
	BodyFailed
)

// Request describes one attempt.
type Request struct {
	// Attempt is the id of the attempt.
	Attempt string
	// Address is the address of the backend server or entry instance, as
	// "ip:port".
	Address string
	// Method and URI (path with query) are those of the caller's request.
	Method, URI string
	// Header holds the headers of the caller's request. Hop-by-hop and
	// idempotency headers are not sent, API key headers only if Forward is set.
	Header http.Header
	Body   *Body
	// Workspace is the workspace that the request is executed for.
	Workspace string
	// Operation is the caller's idempotency key, or empty.
	Operation string
	// Timeout bounds the time until the buffered part of the response has been
	// received. Each later read of Outcome.Rest is bounded by the same duration.
	Timeout time.Duration
	// Valid is called immediately before the first byte is written; if it
	// returns false, nothing is written. Without it, a process that is suspended
	// between the decision and the write would send the request on resuming,
	// possibly long after the API key was revoked. Nil means always valid.
	Valid func() bool
	// Forward sends the request to another entry instance as the caller sent it,
	// with its API key.
	Forward bool
}

// Outcome is the result of an attempt, with the response if there is one.
type Outcome struct {
	Result Result
	Status int
	Header http.Header
	// Body is the entire response body, or its beginning if Rest is not nil.
	Body []byte
	// Rest reads the part of the response body after Body. It must be closed.
	Rest io.ReadCloser
	// Length is the declared length of the entire response body, or -1.
	Length int64
	// RetryAfter is the delay that the backend server requested, or 0.
	RetryAfter time.Duration
	// Leaving means that the backend server refused the request because it is
	// shutting down.
	Leaving bool
	// Latency is the time until the response header was received or the attempt
	// failed.
	Latency time.Duration
	Err     error
}

// ProvedNotRun reports whether it is certain that the request was not executed.
func (o Outcome) ProvedNotRun() bool {
	return o.Result == ConnectFailed || o.Result == Unwritten || o.Result == Refused || o.Result == Expired
}

// Sender sends attempts over kept-alive connections.
type Sender struct {
	transport *http.Transport
	// maxBufferedBytes is how much of a response body is buffered before its
	// first byte is relayed to the caller.
	maxBufferedBytes int64
}

// Send executes one attempt. It returns when the response is complete, its
// buffered part has reached the limit, the attempt has failed or ctx is done.
func (s *Sender) Send(ctx context.Context, r Request) Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(r.Timeout, func() { cancel(errTimeout) })
	tracker := &connTracker{valid: r.Valid}
	start := time.Now()
	resp, err := s.roundTrip(httptrace.WithClientTrace(ctx, tracker.clientTrace()), r)
	if err != nil {
		o := classifyFailure(ctx, err, tracker)
		if r.Body.Failed() && o.Result != Unwritten && o.Result != ConnectFailed {
			o.Result = BodyFailed
		}
		release(timer, cancel)
		o.Latency = time.Since(start)
		return o
	}
	latency := time.Since(start)
	o := s.readResponse(ctx, r, resp)
	o.Latency = latency
	if o.Rest == nil {
		release(timer, cancel)
		return o
	}
	timer.Stop()
	o.Rest = &remainder{ReadCloser: o.Rest, timer: timer, idleTimeout: r.Timeout, cancel: cancel}
	return o
}

// errTimeout distinguishes the attempt's own timeout from a cancellation.
var errTimeout = errors.New("attempt: timed out")

func (s *Sender) roundTrip(ctx context.Context, r Request) (*http.Response, error) {
	out, err := newHTTPRequest(ctx, r)
	if err != nil {
		return nil, err
	}
	return httphead.Transport{Next: s.transport}.RoundTrip(out)
}

func newHTTPRequest(ctx context.Context, r Request) (*http.Request, error) {
	body, err := r.Body.Open()
	if err != nil {
		return nil, err
	}
	if r.Body.Length() == 0 {
		body = http.NoBody
	}
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.URI, body)
	if err != nil {
		return nil, err
	}
	out.ContentLength = r.Body.Length()
	out.Header = forwardedHeader(r.Header, r.Forward)
	out.Header.Set(wire.HeaderAttempt, r.Attempt)
	out.Header.Set(wire.HeaderTimeout, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	if r.Forward {
		out.Header.Set(wire.HeaderForwarded, r.Attempt)
		out.Header.Set(wire.HeaderOperation, r.Operation)
		return out, nil
	}
	out.Header.Set(wire.HeaderWorkspace, r.Workspace)
	if r.Operation != "" {
		out.Header.Set(wire.HeaderOperation, r.Operation)
	}
	return out, nil
}

// classifyFailure classifies a round trip that returned no response.
func classifyFailure(ctx context.Context, err error, t *connTracker) Outcome {
	o := Outcome{Err: err, Result: ConnectionLost}
	switch {
	case t.expired.Load() && !t.wrote():
		o.Result = Expired
	case !t.connected():
		o.Result = ConnectFailed
	case !t.wrote():
		o.Result = Unwritten
	case errors.Is(context.Cause(ctx), errTimeout):
		o.Result = TimedOut
	case ctx.Err() != nil:
		o.Result = Cancelled
	}
	return o
}

func (s *Sender) readResponse(ctx context.Context, r Request, resp *http.Response) Outcome {
	o := Outcome{
		Status:     resp.StatusCode,
		Header:     resp.Header,
		Length:     resp.ContentLength,
		RetryAfter: retryAfter(resp.Header),
	}
	if ids := resp.Header.Values(wire.HeaderAttempt); len(ids) != 1 || ids[0] != r.Attempt {
		_ = resp.Body.Close()
		o.Result = Mismatched
		return o
	}
	if closeDelimited(resp) {
		_ = resp.Body.Close()
		o.Result = Incomplete
		return o
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.maxBufferedBytes+1))
	o.Body = body
	if err != nil {
		_ = resp.Body.Close()
		o.Err = err
		o.Result = Incomplete
		if errors.Is(context.Cause(ctx), errTimeout) {
			o.Result = TimedOut
		}
		return o
	}
	if int64(len(body)) > s.maxBufferedBytes {
		o.Rest = resp.Body
		return o
	}
	_ = resp.Body.Close()
	if o.Header.Get(wire.HeaderOutcome) == wire.OutcomeNotRun {
		o.Result = Refused
		o.Leaving = o.Header.Get(wire.HeaderLeaving) != ""
	}
	return o
}

// closeDelimited reports whether the body is delimited only by the close of the
// connection. A truncated body could not be told from a complete one then.
func closeDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(strings.TrimSpace(h.Get("Retry-After")))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// remainder is the part of a response body that is not buffered. The timeout
// bounds each read and not the whole transfer; otherwise a large response to a
// caller on a slow link would be truncated.
type remainder struct {
	io.ReadCloser
	timer       *time.Timer
	idleTimeout time.Duration
	cancel      context.CancelCauseFunc
}

func (s *remainder) Read(p []byte) (int, error) {
	s.timer.Reset(s.idleTimeout)
	defer s.timer.Stop()
	return s.ReadCloser.Read(p)
}

func (s *remainder) Close() error {
	err := s.ReadCloser.Close()
	release(s.timer, s.cancel)
	return err
}

func release(timer *time.Timer, cancel context.CancelCauseFunc) {
	timer.Stop()
	cancel(nil)
}
