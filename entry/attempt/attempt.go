// Package attempt sends one request to one backend server and tells how it
// ended: whether the answer is whole and belongs to this attempt, and, if
// there is none, whether the request can have run.
//
// net/http's Transport by itself sends some requests a second time when a
// kept connection turns out to be dead. For a request that isn't idempotent
// that is only right when no byte was written, so requests leave here without
// the headers that make Transport believe they are idempotent, and the bytes
// written to the connection are counted.
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

	"foxtailspoke/wire"
)

// Result is how an attempt ended.
type Result int

const (
	// Answered means a whole answer of this attempt, or the beginning of one
	// that is too large to hold.
	Answered Result = iota
	// ConnectFailed means that no connection came about.
	ConnectFailed
	// Unwritten means that the connection failed before a byte was written.
	Unwritten
	// TimedOut means that the answer didn't come in time.
	TimedOut
	// ConnectionLost means that the connection failed after a byte was written.
	ConnectionLost
	// Incomplete means that the answer ended early.
	Incomplete
	// Mismatched means that the answer carried another attempt's id or none.
	Mismatched
	// Refused means that the backend server said that it didn't run it.
	Refused
	// Cancelled means that the instance itself gave the attempt up.
	Cancelled
	// Expired means that nothing was written because Valid said no.
	Expired
	// BodyFailed means that the request's own body ended early or was too
	// long, so that the backend server can't be blamed.
	BodyFailed
)

// Request is what one attempt sends.
type Request struct {
	// Attempt is the attempt's id.
	Attempt string
	// Address of the backend server or entry instance, "ip:port".
	Address string
	// Method and URI (path with query) are the caller's.
	Method, URI string
	// Header is the caller's; hop-by-hop headers, the key and idempotency
	// headers are left out.
	Header http.Header
	Body   *Body
	// Workspace that the request runs for.
	Workspace string
	// Operation is the caller's idempotency key, or empty.
	Operation string
	// Timeout bounds the attempt from its start to the end of its answer,
	// also of the part that is passed on as it comes.
	Timeout time.Duration
	// Valid is asked right before the first byte is written; if it says no,
	// nothing is. A process that is frozen between its decision and the
	// sending would otherwise send a request when it wakes, for a key that was
	// withdrawn long before. Nil means always.
	Valid func() bool
	// Forward passes the request on to another entry instance as the caller
	// sent it, with its key.
	Forward bool
}

// Outcome is how an attempt ended, with its answer if there is one.
type Outcome struct {
	Result Result
	Status int
	Header http.Header
	// Body is the whole answer, or its beginning if Rest isn't nil.
	Body []byte
	// Rest is what follows Body. It must be closed.
	Rest io.ReadCloser
	// Length is the declared length of the whole answer, or -1.
	Length int64
	// RetryAfter is what the backend server asked for; 0 if nothing.
	RetryAfter time.Duration
	// Leaving says that the backend server refused because it is about to
	// stop.
	Leaving bool
	// Latency is the time to the answer's header, or to the failure.
	Latency time.Duration
	Err     error
}

// ProvedNotRun tells whether the request is proved not to have run.
func (o Outcome) ProvedNotRun() bool {
	return o.Result == ConnectFailed || o.Result == Unwritten || o.Result == Refused || o.Result == Expired
}

// Sender sends attempts over kept connections.
type Sender struct {
	transport *http.Transport
	// hold is how many bytes of an answer are held before the first goes to
	// the caller.
	hold int64
}

// Send carries out one attempt. It returns when the answer is held, or has
// filled the bound, or has failed, or ctx has ended.
func (s *Sender) Send(ctx context.Context, r Request) Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(r.Timeout, func() { cancel(errTimeout) })
	watch := &watch{valid: r.Valid}
	start := time.Now()
	answer, err := s.roundTrip(httptrace.WithClientTrace(ctx, watch.trace()), r)
	if err != nil {
		o := failed(ctx, err, watch)
		if r.Body.Failed() && o.Result != Unwritten && o.Result != ConnectFailed {
			o.Result = BodyFailed
		}
		end(timer, cancel)
		o.Latency = time.Since(start)
		return o
	}
	latency := time.Since(start)
	o := s.receive(ctx, r, answer)
	o.Latency = latency
	if o.Rest == nil {
		end(timer, cancel)
		return o
	}
	timer.Stop()
	o.Rest = &stream{ReadCloser: o.Rest, timer: timer, silence: r.Timeout, cancel: cancel}
	return o
}

// errTimeout tells an attempt's own timeout from a cancellation.
var errTimeout = errors.New("attempt: timed out")

func (s *Sender) roundTrip(ctx context.Context, r Request) (*http.Response, error) {
	out, err := outgoing(ctx, r)
	if err != nil {
		return nil, err
	}
	return s.transport.RoundTrip(out)
}

func outgoing(ctx context.Context, r Request) (*http.Request, error) {
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

// failed classifies a round trip that brought no answer.
func failed(ctx context.Context, err error, w *watch) Outcome {
	o := Outcome{Err: err, Result: ConnectionLost}
	switch {
	case w.expired.Load() && !w.wrote():
		o.Result = Expired
	case !w.connected():
		o.Result = ConnectFailed
	case !w.wrote():
		o.Result = Unwritten
	case errors.Is(context.Cause(ctx), errTimeout):
		o.Result = TimedOut
	case ctx.Err() != nil:
		o.Result = Cancelled
	}
	return o
}

func (s *Sender) receive(ctx context.Context, r Request, answer *http.Response) Outcome {
	o := Outcome{
		Status:     answer.StatusCode,
		Header:     answer.Header,
		Length:     answer.ContentLength,
		RetryAfter: retryAfter(answer.Header),
	}
	if echo := answer.Header.Values(wire.HeaderAttempt); len(echo) != 1 || echo[0] != r.Attempt {
		_ = answer.Body.Close()
		o.Result = Mismatched
		return o
	}
	if unbounded(answer) {
		_ = answer.Body.Close()
		o.Result = Incomplete
		return o
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, s.hold+1))
	o.Body = body
	if err != nil {
		_ = answer.Body.Close()
		o.Err = err
		o.Result = Incomplete
		if errors.Is(context.Cause(ctx), errTimeout) {
			o.Result = TimedOut
		}
		return o
	}
	if int64(len(body)) > s.hold {
		o.Rest = answer.Body
		return o
	}
	_ = answer.Body.Close()
	if o.Header.Get(wire.HeaderOutcome) == wire.OutcomeNotRun {
		o.Result = Refused
		o.Leaving = o.Header.Get(wire.HeaderLeaving) != ""
	}
	return o
}

// unbounded tells whether only the connection's end marks the body's end. A
// half answer looks whole then, and would reach the caller as one.
func unbounded(answer *http.Response) bool {
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(strings.TrimSpace(h.Get("Retry-After")))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// stream is the rest of an answer. The timeout bounds each wait for more of it
// and not the whole: otherwise a large answer to a caller with a slow line
// would be cut in the middle.
type stream struct {
	io.ReadCloser
	timer   *time.Timer
	silence time.Duration
	cancel  context.CancelCauseFunc
}

func (s *stream) Read(p []byte) (int, error) {
	s.timer.Reset(s.silence)
	defer s.timer.Stop()
	return s.ReadCloser.Read(p)
}

func (s *stream) Close() error {
	err := s.ReadCloser.Close()
	end(s.timer, s.cancel)
	return err
}

func end(timer *time.Timer, cancel context.CancelCauseFunc) {
	timer.Stop()
	cancel(nil)
}
