// Package callers serves callers: the generated API that tells them which
// addresses to use, and a plain handler for the requests themselves, whose
// paths are free and whose bodies are streamed. OpenAPI can't describe those,
// so that handler stands beside the generated server.
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

// ownPrefix begins the paths that aren't passed on.
const ownPrefix = "/-/"

// Submitter takes events for the node.
type Submitter interface{ Submit(node.Event) }

// Settings of the service for callers.
type Settings struct {
	// MaxBufferedBytes of a request's body are held, so that it can be sent again
	// when an attempt was proved not run.
	MaxBufferedBytes int64
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// WriteTimeout is how long a caller may take nothing of its answer.
	WriteTimeout time.Duration
	// MaxStoredAnswerBytes bounds the answer kept for repeats of an operation.
	MaxStoredAnswerBytes int
}

// Service serves callers' requests.
type Service struct {
	instance string
	settings Settings
	loop     Submitter
	sender   *attempt.Sender
	metrics  Metrics
	ready    Readiness
	record   func(decision.Record)
	api      http.Handler

	number atomic.Uint64
	mu     sync.Mutex
	open   map[string]*exchange
	// cancels gives up attempts that are under way.
	cancels map[string]context.CancelFunc
	now     func() time.Duration
	wg      sync.WaitGroup
}

// Readiness tells whether the instance accepts requests, and if not, by which
// rule it refuses them.
type Readiness func() (decision.Rule, bool)

// Metrics counts what callers see. Its methods must not block.
type Metrics interface {
	// Answered counts an answer.
	Answered(outcome decision.Outcome, rule decision.Rule)
	// Added takes the time that the instance added to an answer: from arrival
	// to its first byte, less the time of the attempt that brought it.
	Added(time.Duration)
	// Attempt counts an attempt that has ended, by the server's service.
	Attempt(service, result string)
}

// New returns the service of an instance. Record takes the records of requests
// that are refused before the node hears of them; it must not block. Now is the
// node's clock.
func New(instance string, s Settings, loop Submitter, sender *attempt.Sender, m Metrics, ready Readiness, record func(decision.Record), now func() time.Duration) (*Service, error) {
	c := &Service{
		instance: instance,
		settings: s,
		loop:     loop,
		sender:   sender,
		metrics:  m,
		ready:    ready,
		record:   record,
		now:      now,
		open:     map[string]*exchange{},
		cancels:  map[string]context.CancelFunc{},
	}
	api, err := newAPI(c)
	c.api = api
	return c, err
}

// ServeHTTP implements http.Handler.
func (c *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The deadline of the connection's last answer would still stand.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	if why := notUnderstood(r); why != "" {
		c.refuseMalformed(w, r, why)
		return
	}
	if strings.HasPrefix(r.URL.Path, ownPrefix) {
		c.api.ServeHTTP(w, r)
		return
	}
	c.serve(w, r)
}

// InFlight returns how many requests have no answer yet.
func (c *Service) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Drain waits for the attempts under way. When ctx ends it gives up those
// that are left and returns their number: an operation with a key runs to its
// end though its caller has gone, and that end may be an hour away.
func (c *Service) Drain(ctx context.Context) (cut int) {
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
	cut = c.cancelAll()
	<-done
	return cut
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
	id := decision.NewRequestID(c.instance, start, c.number.Add(1))
	key, has := presentedKey(r)
	body := attempt.NoBody()
	var err error
	if has {
		// Without a key the request is refused: its body needn't be held.
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
		HasKey:    has,
		Method:    r.Method,
		Path:      r.URL.Path,
		Held:      body.Buffered(),
		Operation: operationOf(r),
		Digest:    digest(r, body),
		Forwarded: r.Header.Get(wire.HeaderForwarded) != "",
	})
	passedOn := c.await(w, r, x, start)
	c.remove(x, passedOn)
}

// await writes the node's answer. It returns the attempt that was passed on.
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
	c.open[x.id] = x
}

func (c *Service) remove(x *exchange, passedOn string) {
	c.mu.Lock()
	delete(c.open, x.id)
	c.mu.Unlock()
	for _, id := range x.finish(passedOn) {
		c.loop.Submit(node.StreamEnded{Attempt: id})
	}
}

func (c *Service) exchange(id string) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[id]
}

// StartAttempt carries out StartAttempt. It doesn't block.
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

// CancelAttempt carries out CancelAttempt.
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

// ended reports an attempt. An answer that nobody waits for any more, because
// the caller has gone, counts as cut off.
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
	kept := x.keep(e.Attempt, o)
	c.loop.Submit(event)
	if !kept && event.Streaming {
		c.loop.Submit(node.StreamEnded{Attempt: e.Attempt})
	}
}

// Answer carries out Relay, Refuse, Repeat and Located. It doesn't block.
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

// presentedKey returns the hash of the key that came with a request.
func presentedKey(r *http.Request) (config.KeyHash, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return config.KeyHash{}, false
	}
	return config.HashKey(key), true
}

// operationOf returns the caller's idempotency key. Another entry instance
// passes it on under another name; see package attempt.
func operationOf(r *http.Request) string {
	if forwarded := r.Header.Get(wire.HeaderOperation); forwarded != "" && r.Header.Get(wire.HeaderForwarded) != "" {
		return forwarded
	}
	return r.Header.Get("Idempotency-Key")
}

// HealthResult translates an attempt's ending for package health.
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

// details says in plain words how an attempt failed.
var details = map[attempt.Result]string{
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

func detail(o attempt.Outcome) string { return details[o.Result] }

// errTooLarge reports a body beyond MaxBodyBytes.
var errTooLarge = errors.New("callers: body too large")
