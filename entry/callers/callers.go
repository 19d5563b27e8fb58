// Package callers serves callers: the generated API that returns the addresses
// to use, and a plain HTTP handler for the requests themselves. Their paths are
// arbitrary and their bodies are streamed, which OpenAPI cannot describe, so
// that handler is separate from the generated server.
package callers

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/claim"
	"foxtailspoke/config"
	"foxtailspoke/decision"
	"foxtailspoke/entry/attempt"
	"foxtailspoke/health"
	"foxtailspoke/node"
	"foxtailspoke/wire"
)

// reservedPrefix is the prefix of the paths that are not forwarded to backend
// servers.
const reservedPrefix = "/-/"

// Submitter queues events for the node.
type Submitter interface{ Submit(node.Event) }

// Settings configures a Service.
type Settings struct {
	// MaxBufferedBytes is how much of a request body is buffered, so that the
	// request can be sent again if an attempt is proved not to have been
	// executed.
	MaxBufferedBytes int64
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// WriteTimeout is how long a write to a caller may block.
	WriteTimeout time.Duration
	// MaxStoredAnswerBytes is the maximum size of a response that is stored for
	// retries of an operation.
	MaxStoredAnswerBytes int
}

// Service serves the requests of callers.
type Service struct {
	instance string
	settings Settings
	loop     Submitter
	sender   *attempt.Sender
	metrics  Metrics
	ready    Readiness
	record   func(decision.Record)
	api      http.Handler

	requestNumber atomic.Uint64
	mu            sync.Mutex
	exchanges     map[string]*exchange
	// cancels holds the cancel functions of the running attempts by attempt id.
	cancels map[string]context.CancelFunc
	now     func() time.Duration
	wg      sync.WaitGroup
}

// Readiness reports whether the instance accepts requests and, if not, by which
// rule it refuses them.
type Readiness func() (decision.Rule, bool)

// Metrics counts responses and attempts. Its methods must not block.
type Metrics interface {
	// Answered counts a response.
	Answered(outcome decision.Outcome, rule decision.Rule)
	// Added records the latency that the instance added to a response: from
	// arrival to the first byte, less the latency of the attempt that returned
	// it.
	Added(time.Duration)
	// Attempt counts a finished attempt by the service of its backend server.
	Attempt(service, result string)
}

// New returns the service of an instance. Record takes the records of requests
// that are refused before they reach the node; it must not block. Now is the
// clock of the node.
func New(instance string, s Settings, loop Submitter, sender *attempt.Sender, m Metrics, ready Readiness, record func(decision.Record), now func() time.Duration) (*Service, error) {
	c := &Service{
		instance:  instance,
		settings:  s,
		loop:      loop,
		sender:    sender,
		metrics:   m,
		ready:     ready,
		record:    record,
		now:       now,
		exchanges: map[string]*exchange{},
		cancels:   map[string]context.CancelFunc{},
	}
	api, err := newAPI(c)
	c.api = api
	return c, err
}

// ServeHTTP implements http.Handler.
func (c *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The write deadline of the previous response on the connection would
	// otherwise still apply.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	if reason := rejectReason(r); reason != "" {
		c.refuseMalformed(w, r, reason)
		return
	}
	if strings.HasPrefix(r.URL.Path, reservedPrefix) {
		c.api.ServeHTTP(w, r)
		return
	}
	c.serve(w, r)
}

// InFlight returns the number of requests that have not been answered.
func (c *Service) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.exchanges)
}

// Drain waits for the running attempts. When ctx is done it cancels the
// remaining ones and returns their number: an operation with a key runs to
// completion even if its caller has disconnected, which may take an hour.
func (c *Service) Drain(ctx context.Context) (cancelled int) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.wg.Wait()
	}()
	select {
	case <-done:
		return 0
	case <-ctx.Done():
	}
	cancelled = c.cancelAll()
	<-done
	return cancelled
}

func (c *Service) cancelAll() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.cancels {
		cancel()
	}
	return len(c.cancels)
}

func (c *Service) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	id := decision.NewRequestID(c.instance, start, c.requestNumber.Add(1))
	key, hasKey := bearerKey(r)
	body := attempt.NoBody()
	var err error
	if hasKey {
		// A request without a key is refused, so its body is not buffered.
		body, err = c.readBody(w, r)
	}
	if err != nil {
		c.refuseBody(w, r, id, err)
		return
	}
	x := newExchange(id, r, body)
	c.add(x)
	c.loop.Submit(node.RequestArrived{
		Request:   id,
		At:        start,
		Key:       key,
		HasKey:    hasKey,
		Method:    r.Method,
		Path:      r.URL.Path,
		Held:      body.Buffered(),
		Operation: operationOf(r),
		Digest:    digest(r, body),
		Forwarded: r.Header.Get(wire.HeaderForwarded) != "",
	})
	relayed := c.await(w, r, x, start)
	c.remove(x, relayed)
}

// await writes the response that the node decided on. It returns the id of the
// attempt whose response was relayed, or an empty string.
func (c *Service) await(w http.ResponseWriter, r *http.Request, x *exchange, start time.Time) string {
	select {
	case a := <-x.answers:
		c.write(w, r, x, a, start)
		return a.attempt
	case <-r.Context().Done():
		c.loop.Submit(node.RequestGone{Request: x.id})
		return ""
	}
}

func (c *Service) add(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges[x.id] = x
}

func (c *Service) remove(x *exchange, relayed string) {
	c.mu.Lock()
	delete(c.exchanges, x.id)
	c.mu.Unlock()
	for _, id := range x.finish(relayed) {
		c.loop.Submit(node.StreamEnded{Attempt: id})
	}
}

func (c *Service) exchange(id string) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchanges[id]
}

// StartAttempt executes the effect node.StartAttempt. It does not block.
func (c *Service) StartAttempt(e node.StartAttempt) {
	x := c.exchange(e.Request)
	if x == nil {
		go c.loop.Submit(node.AttemptEnded{Attempt: e.Attempt, Result: health.Cancelled})
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	c.cancels[e.Attempt] = cancel
	c.mu.Unlock()
	c.wg.Go(func() {
		o := c.sender.Send(ctx, c.request(x, e))
		c.mu.Lock()
		delete(c.cancels, e.Attempt)
		c.mu.Unlock()
		c.ended(x, e, o)
		if o.Rest == nil {
			cancel()
		}
	})
}

// CancelAttempt executes the effect node.CancelAttempt.
func (c *Service) CancelAttempt(e node.CancelAttempt) {
	c.mu.Lock()
	cancel := c.cancels[e.Attempt]
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *Service) request(x *exchange, e node.StartAttempt) attempt.Request {
	return attempt.Request{
		Attempt:   e.Attempt,
		Address:   e.Server.Address,
		Method:    x.http.Method,
		URI:       x.http.URL.RequestURI(),
		Header:    x.http.Header,
		Body:      x.body,
		Workspace: e.Workspace,
		Operation: e.Operation,
		Timeout:   e.Timeout,
		Valid:     func() bool { return c.now() <= e.Until },
		Forward:   e.Forward,
	}
}

// ended reports a finished attempt to the node. A streamed response whose caller
// has disconnected is reported as truncated.
func (c *Service) ended(x *exchange, e node.StartAttempt, o attempt.Outcome) {
	event := node.AttemptEnded{
		Attempt:    e.Attempt,
		Result:     HealthResult(o),
		Latency:    o.Latency,
		RetryAfter: o.RetryAfter,
		Leaving:    o.Leaving,
		Replayable: x.body.Available(),
		Streaming:  o.Rest != nil && o.Result == attempt.Answered,
		Detail:     detail(o),
	}
	if o.Rest == nil && e.Operation != "" && len(o.Body) <= c.settings.MaxStoredAnswerBytes {
		event.Answer = &claim.Answer{Status: o.Status, ContentType: o.Header.Get("Content-Type"), Body: o.Body}
	}
	c.metrics.Attempt(e.Server.Service, event.Result.String())
	kept := x.addOutcome(e.Attempt, o)
	c.loop.Submit(event)
	if !kept && event.Streaming {
		c.loop.Submit(node.StreamEnded{Attempt: e.Attempt})
	}
}

// Answer executes the effects Relay, Refuse, Repeat and Located. It does not
// block.
func (c *Service) Answer(e node.Effect) {
	switch e := e.(type) {
	case node.Relay:
		c.deliver(e.Request, answer{attempt: e.Attempt, forwarded: e.Forwarded})
	case node.Refuse:
		c.deliver(e.Request, answer{refusal: &e.Record, addresses: e.Addresses})
	case node.Repeat:
		c.deliver(e.Request, answer{stored: &e.Answer})
	case node.Located:
		c.deliver(e.Request, answer{located: &e})
	}
}

func (c *Service) deliver(request string, a answer) {
	if x := c.exchange(request); x != nil {
		x.deliver(a)
	}
}

// bearerKey returns the hash of the API key of a request.
func bearerKey(r *http.Request) (config.KeyHash, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return config.KeyHash{}, false
	}
	return config.HashKey(key), true
}

// operationOf returns the caller's idempotency key. Another entry instance
// forwards it in a different header; see package attempt.
func operationOf(r *http.Request) string {
	if forwarded := r.Header.Get(wire.HeaderOperation); forwarded != "" && r.Header.Get(wire.HeaderForwarded) != "" {
		return forwarded
	}
	return r.Header.Get("Idempotency-Key")
}

// HealthResult converts the result of an attempt for package health.
func HealthResult(o attempt.Outcome) health.Result {
	switch o.Result {
	case attempt.Answered:
		if o.Status >= http.StatusInternalServerError {
			return health.ServerError
		}
		return health.OK
	case attempt.ConnectFailed, attempt.Unwritten:
		return health.ConnectFailed
	case attempt.TimedOut:
		return health.Timeout
	case attempt.Mismatched:
		return health.Mismatch
	case attempt.Refused:
		if o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests {
			return health.Shed
		}
		return health.NotRun
	case attempt.Expired:
		return health.NotRun
	case attempt.Cancelled, attempt.BodyFailed:
		return health.Cancelled
	default:
		return health.Incomplete
	}
}

// failureDetails describes to people how an attempt failed.
var failureDetails = map[attempt.Result]string{
	attempt.ConnectFailed:  "no connection could be made",
	attempt.Expired:        "the instance stood still before it could be sent",
	attempt.Unwritten:      "the connection failed before anything was sent",
	attempt.TimedOut:       "no whole answer came in time",
	attempt.ConnectionLost: "the connection broke before the answer",
	attempt.Incomplete:     "the answer ended too early",
	attempt.Mismatched:     "the answer belonged to another request",
	attempt.BodyFailed:     "the caller's body didn't arrive whole",
	attempt.Refused:        "the backend server had no room",
}

func detail(o attempt.Outcome) string { return failureDetails[o.Result] }

// errTooLarge means that a request body exceeds MaxBodyBytes.
var errTooLarge = errors.New("callers: request body too large")
