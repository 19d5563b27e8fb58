package edge

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/mechanism"
	"foxtailspoke/memory"
	"foxtailspoke/placement"
	"foxtailspoke/platform"
	"foxtailspoke/retry"
	"foxtailspoke/upstream"
)

// attempt is one attempt to have a call served by one backend server.
type attempt struct {
	choice placement.Choice
	answer upstream.Response
	result health.Result
	took   time.Duration
	number int
	// start is the time at which the attempt was sent.
	start  time.Duration
	cancel context.CancelFunc
	// allowance is the state of the retry budget when the end of the attempt was
	// handled, nil if no retry was considered.
	allowance *retry.Allowance
	// endPublished is set once the end of the attempt was published to the other
	// instances.
	endPublished bool
}

// run sends the call to backend servers until one has answered or no further
// attempt is allowed.
func (e *Edge) run(ctx context.Context, c *call) (*attempt, *refusal) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(c.deadline-e.now()))
	defer cancel()
	r := &runner{e: e, c: c, ctx: ctx, done: make(chan *attempt, maxConcurrentAttempts)}
	defer r.cancelRemaining()
	a, v := r.run()
	// A request that its caller gave up counts, too: servers that are idle meanwhile might
	// have answered in time.
	if !r.outcomePublished {
		c.abandoned = ctx.Err() == context.Canceled && len(r.running) > 0
		e.publishUnserved(c)
	}
	return a, v
}

// retryDelayAfterEnd is the time until a request under which a server ended is retried: reports
// of other servers that ended under it at the same moment arrive first.
const retryDelayAfterEnd = 30 * time.Millisecond

// maxConcurrentAttempts bounds the attempts of one call.
const maxConcurrentAttempts = 8

// runner drives the attempts of one call.
type runner struct {
	e       *Edge
	c       *call
	ctx     context.Context
	done    chan *attempt
	running []*attempt
	tried   []string
	// mayHaveRun is set once an attempt has ended without proof that the server did
	// not execute the request.
	mayHaveRun bool
	// lastServerError is the attempt with the latest complete response that reports
	// a failure of the server itself.
	lastServerError *attempt
	// outcomePublished is set once the outcome of the call was published with the end
	// of an attempt.
	outcomePublished bool
}

func (r *runner) run() (*attempt, *refusal) {
	if v := r.startAttempt(false); v != nil {
		return nil, v
	}
	late := time.NewTimer(r.e.lateAfter(r.c))
	defer late.Stop()
	for {
		select {
		case a := <-r.done:
			r.remove(a)
			if done, v := r.handleEnd(a); done != nil || v != nil {
				return done, v
			}
		case <-late.C:
			r.handleLate()
		case <-r.ctx.Done():
			return r.lastServerError, r.timedOut()
		}
	}
}

// startAttempt starts an attempt at the best available server. hedge means that another
// attempt is late.
func (r *runner) startAttempt(hedge bool) *refusal {
	choice, v := r.e.chooseServer(r.c, r.tried)
	if v != nil {
		return v
	}
	ctx, cancel := context.WithCancel(r.ctx)
	a := &attempt{choice: choice, number: len(r.tried) + 1, start: r.e.now(), cancel: cancel}
	r.tried = append(r.tried, choice.Server.ID)
	r.running = append(r.running, a)
	r.e.publishAttemptStart(r.c, a)
	go func() {
		var sentAt time.Duration
		a.answer, sentAt = r.e.sendToServer(ctx, r.c, choice, hedge)
		a.took = r.e.now() - sentAt
		a.result = classify(a.answer)
		cancel()
		r.done <- a
	}()
	return nil
}

func (r *runner) remove(a *attempt) {
	for i, x := range r.running {
		if x == a {
			r.running = append(r.running[:i], r.running[i+1:]...)
			return
		}
	}
}

// handleEnd decides what follows the end of an attempt. It returns a response or a
// refusal for the caller, or neither if the call goes on.
func (r *runner) handleEnd(a *attempt) (*attempt, *refusal) {
	if a.result == health.OK {
		r.publishOutcome(a, evidence.RequestServed)
		return a, nil
	}
	mayHaveRun := r.mayHaveRun
	r.mayHaveRun = r.mayHaveRun || !a.result.ProvedNotRun()
	if a.result == health.ServerError {
		r.lastServerError = a
	}
	d := r.e.decideRetry(r.c, a, len(r.tried), len(r.running), mayHaveRun)
	switch d.Action {
	case retry.Wait:
		r.e.publishAttemptEnd(r.c, a, evidence.RequestPending)
		return nil, nil
	case retry.Retry:
		r.e.publishAttemptEnd(r.c, a, evidence.RequestPending)
		if a.answer.ServerEnded {
			sleepContext(r.ctx, retryDelayAfterEnd)
		}
		if v := r.startAttempt(false); v == nil {
			return nil, nil
		}
	case retry.Deliver, retry.GiveUp, retry.Hedge:
		r.publishOutcome(a, evidence.RequestUnserved)
	}
	if r.lastServerError != nil {
		return r.lastServerError, nil
	}
	if a.result == health.Timeout {
		return nil, r.timedOut()
	}
	return nil, r.notServed(d)
}

// publishOutcome publishes the end of an attempt and the outcome of the call.
func (r *runner) publishOutcome(a *attempt, o evidence.RequestOutcome) {
	r.e.publishAttemptEnd(r.c, a, o)
	r.outcomePublished = true
}

// notServed returns the refusal of a call that has no response. It reports the
// call as not executed only if that is certain.
func (r *runner) notServed(d retry.Decision) *refusal {
	if r.mayHaveRun {
		return &refusal{status: http.StatusBadGateway, rule: RuleServerFailed}
	}
	return r.e.notRun(r.c, d)
}

func (r *runner) timedOut() *refusal {
	if r.lastServerError != nil {
		return nil
	}
	return &refusal{status: http.StatusGatewayTimeout, rule: RuleTimeout}
}

// handleLate publishes that the attempt is late and hedges it with a second server
// if the request may be executed twice.
func (r *runner) handleLate() {
	if len(r.running) != 1 {
		return
	}
	a := r.running[0]
	r.e.publishLate(a)
	if r.e.mayHedge(r.c, len(r.tried), r.mayHaveRun) {
		// If no server is available for a second attempt, the first one continues
		// alone.
		_ = r.startAttempt(true)
	}
}

// cancelRemaining cancels the attempts whose results are no longer needed and
// records how they ended, so that a caller that has disconnected or been answered
// does not keep servers busy.
func (r *runner) cancelRemaining() {
	running := r.running
	for _, a := range running {
		a.cancel()
	}
	if len(running) == 0 {
		return
	}
	timedOut := r.ctx.Err() == context.DeadlineExceeded
	go func() {
		for range running {
			a := <-r.done
			if a.result != health.OK && !timedOut {
				a.result = health.Cancelled
			}
			r.e.publishAttemptEnd(r.c, a, evidence.RequestPending)
		}
	}()
}

// decideRetry applies the retry rules to an attempt that has ended.
func (e *Edge) decideRetry(c *call, a *attempt, number, running int, mayHaveRun bool) retry.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.retryState(c, a.result, number, running, mayHaveRun)
	state.HadFreeSlot = !a.choice.MustQueue()
	c.rejectedByFull = e.rejectedByFull(a)
	state.UntriedHasSlot = !c.rejectedByFull || e.hasSlotElsewhere(c, a.choice.Server.ID)
	allowance := e.retryAllowance(c.service)
	a.allowance = &allowance
	d := retry.Decide(e.now(), state, e.retryBudget(c.service))
	e.countRetry(c.service, d)
	return d
}

func (e *Edge) mayHedge(c *call, number int, mayHaveRun bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !c.route.Kind.Repeatable() || !e.mechanisms.Enabled(mechanism.Hedge) {
		return false
	}
	a := e.retryState(c, health.Late, number, 1, mayHaveRun)
	a.UntriedHasSlot = e.hasSlotElsewhere(c, "")
	d := retry.DecideHedge(e.now(), a, e.retryBudget(c.service))
	e.countRetry(c.service, d)
	return d.Action == retry.Hedge
}

func (e *Edge) retryState(c *call, result health.Result, number, running int, mayHaveRun bool) retry.Attempt {
	others := c.route.MaxAttempts - number
	return retry.Attempt{
		Result:         result,
		Idempotent:     c.route.Kind.Repeatable(),
		AttemptCount:   number,
		MayHaveRun:     mayHaveRun,
		InFlight:       running,
		Deadline:       c.deadline,
		Untried:        max(others, 0),
		UntriedHasSlot: true,
	}
}

// lateAfter returns the time after which an attempt counts as late.
func (e *Edge) lateAfter(c *call) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return retry.LateThreshold(e.routeStatsFor(c.route).work)
}

// classify returns what the end of an attempt says about the server.
func classify(a upstream.Response) health.Result {
	switch a.Outcome {
	case upstream.NotSent:
		if errors.Is(a.Err, errDeclined) || errors.Is(a.Err, upstream.ErrTooManyConnections) {
			return health.NotRun
		}
		return health.ConnectFailed
	case upstream.Broken:
		if errors.Is(a.Err, upstream.ErrNoBodyMemory) {
			// This instance has broken it off.
			return health.Cancelled
		}
		return health.Incomplete
	case upstream.TimedOut:
		return health.Timeout
	case upstream.Cancelled:
		return health.Cancelled
	case upstream.Completed:
	}
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return health.Misdirected
	case platform.NotExecuted(a.Status, a.Header) && a.Status == http.StatusServiceUnavailable:
		return health.Shed
	case platform.NotExecuted(a.Status, a.Header):
		return health.NotRun
	case a.Status >= http.StatusInternalServerError:
		return health.ServerError
	case a.Status < http.StatusMultipleChoices && a.Header.Get(platform.HeaderResponseSeal) == "":
		// A successful response without a signature does not come from a backend
		// server.
		return health.Mismatch
	}
	return health.OK
}

// upstreamRequest builds the request to send to the chosen server.
func (e *Edge) upstreamRequest(c *call, choice placement.Choice) upstream.Request {
	h := c.header.Clone()
	h.Set(platform.HeaderExpectInstance, choice.Server.ID)
	h.Set(platform.HeaderDeadline, platform.FormatDeadline(c.deadline-e.now()))
	if c.workspace != nil {
		h.Set(platform.HeaderWorkspace, c.workspace.Name)
	}
	return upstream.Request{
		Method: c.method, Target: c.target, Host: c.host, Header: h, Body: c.body,
		IDHeader: platform.HeaderAttempt, ID: c.id, DetectEnd: true, Lifetime: c.lifetime, Memory: e.heldBy(c.workspaceName(), memory.Response),
		NonIdempotent: !c.route.Kind.Repeatable() && e.mechanisms.Enabled(mechanism.FreshConnections),
	}
}

// logAttempt logs the expected and the actual outcome of an attempt. Successful
// attempts are covered by the log line of their request.
func (e *Edge) logAttempt(c *call, a *attempt, now time.Duration) {
	if a.result == health.OK || !e.budget.Allow(now, 1) {
		return
	}
	attrs := []slog.Attr{
		slog.String("request", c.id), slog.Int("attempt", a.number),
		slog.String("server", a.choice.Server.ID), slog.String("service", c.service),
		slog.String("result", a.result.String()), slog.Int64("took_ms", a.took.Milliseconds()),
		slog.Int("outstanding", a.choice.Outstanding), slog.Float64("risk", round3(a.choice.Risk)),
		slog.Int64("expected_ms", a.choice.ExpectedLatency.Milliseconds()),
	}
	if a.answer.Reused {
		attrs = append(attrs, slog.Bool("reused", true))
	}
	if a.answer.Err != nil {
		attrs = append(attrs, slog.String("error", a.answer.Err.Error()))
	}
	if a.result == health.Incomplete || a.result == health.Timeout {
		attrs = append(attrs, slog.String("fingerprint", c.fingerprint().String()), slog.Bool("server_ended", a.answer.ServerEnded))
	}
	if d, named, err := platform.ServerRetryAfter(a.answer.Status, a.answer.Header); named && err == nil {
		attrs = append(attrs, slog.Int64("retry_after_ms", d.Milliseconds()))
	}
	if a.allowance != nil {
		attrs = append(attrs, slog.Int("window_requests", a.allowance.Requests), slog.Int("window_retries", a.allowance.Retries),
			slog.Float64("retries_allowed", round3(a.allowance.Allowed)), slog.Float64("coverage", round3(a.allowance.Coverage)))
	}
	if platform.ServerLeaving(a.answer.Header) {
		attrs = append(attrs, slog.Bool("leaving", true))
	}
	event.AttemptEnded.Log(e.log, attrs...)
}
