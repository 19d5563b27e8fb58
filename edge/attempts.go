package edge

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/mechanism"
	"foxtailspoke/placement"
	"foxtailspoke/platform"
	"foxtailspoke/retry"
	"foxtailspoke/upstream"
)

// attempt is one try of a call at one server.
type attempt struct {
	choice placement.Choice
	answer upstream.Response
	result health.Result
	took   time.Duration
	number int
	// start is when it was sent.
	start  time.Duration
	cancel context.CancelFunc
	// endPublished says that its end was told.
	endPublished bool
}

// run sends the call to servers until one has answered or nothing more may be
// tried.
func (e *Edge) run(ctx context.Context, c *call) (*attempt, *verdict) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(c.deadline-e.now()))
	defer cancel()
	r := &runner{e: e, c: c, ctx: ctx, done: make(chan *attempt, maxRunning)}
	defer r.settle()
	return r.run()
}

// maxRunning bounds the attempts of one call.
const maxRunning = 8

// runner drives the attempts of one call.
type runner struct {
	e       *Edge
	c       *call
	ctx     context.Context
	done    chan *attempt
	running []*attempt
	tried   []string
	// mayHaveRun says that an attempt ended without proof that it didn't run.
	mayHaveRun bool
	// last is the newest whole answer with a server's own failure.
	last *attempt
}

func (r *runner) run() (*attempt, *verdict) {
	if v := r.begin(); v != nil {
		r.e.publishRefusal(r.c)
		return nil, v
	}
	late := time.NewTimer(r.e.patience(r.c))
	defer late.Stop()
	for {
		select {
		case a := <-r.done:
			r.remove(a)
			if done, v := r.ended(a); done != nil || v != nil {
				return done, v
			}
		case <-late.C:
			r.hedge()
		case <-r.ctx.Done():
			return r.last, r.timedOut()
		}
	}
}

// begin starts an attempt at the best server.
func (r *runner) begin() *verdict {
	choice, v := r.e.place(r.c, r.tried)
	if v != nil {
		return v
	}
	ctx, cancel := context.WithCancel(r.ctx)
	a := &attempt{choice: choice, number: len(r.tried) + 1, start: r.e.now(), cancel: cancel}
	r.tried = append(r.tried, choice.Server.ID)
	r.running = append(r.running, a)
	r.e.publishAttemptStart(r.c, a)
	go func() {
		a.answer = r.e.pool.Do(ctx, choice.Server.Address, r.e.upstreamRequest(r.c, choice))
		a.took = r.e.now() - a.start
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

// ended decides what follows an attempt's end: an answer for the caller, a
// refusal, or neither while it goes on.
func (r *runner) ended(a *attempt) (*attempt, *verdict) {
	if a.result == health.OK {
		r.e.publishAttemptEnd(r.c, a, evidence.RequestServed)
		return a, nil
	}
	mayHaveRun := r.mayHaveRun
	r.mayHaveRun = r.mayHaveRun || !a.result.ProvedNotRun()
	if a.result == health.ServerError {
		r.last = a
	}
	d := r.e.decide(r.c, a, len(r.tried), len(r.running), mayHaveRun)
	switch d.Action {
	case retry.Wait:
		r.e.publishAttemptEnd(r.c, a, evidence.RequestPending)
		return nil, nil
	case retry.Retry:
		r.e.publishAttemptEnd(r.c, a, evidence.RequestPending)
		if v := r.begin(); v == nil {
			return nil, nil
		}
	case retry.Deliver, retry.GiveUp, retry.Hedge:
		r.e.publishAttemptEnd(r.c, a, evidence.RequestUnserved)
	}
	if r.last != nil {
		return r.last, nil
	}
	return nil, r.refusal(d)
}

// refusal is the truth about a call without an answer.
func (r *runner) refusal(d retry.Decision) *verdict {
	if r.mayHaveRun {
		return &verdict{status: http.StatusBadGateway, rule: RuleServerFailed}
	}
	return &verdict{http.StatusServiceUnavailable, RuleNotRun, d.RetryAfter}
}

func (r *runner) timedOut() *verdict {
	if r.last != nil {
		return nil
	}
	return &verdict{status: http.StatusGatewayTimeout, rule: RuleTimeout}
}

// hedge tells that the attempt is late, and asks a second server if the
// request may run twice.
func (r *runner) hedge() {
	if len(r.running) != 1 {
		return
	}
	a := r.running[0]
	r.e.publishLate(a)
	if r.e.mayHedge(r.c, len(r.tried), r.mayHaveRun) {
		// No room for a second attempt: the first goes on alone.
		_ = r.begin()
	}
}

// settle ends the attempts that nobody waits for any more and takes in how
// they ended. A caller that left, or was answered, must not keep servers busy.
func (r *runner) settle() {
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

// decide asks the rules of retries.
func (e *Edge) decide(c *call, a *attempt, number, running int, mayHaveRun bool) retry.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.retryState(c, a.result, number, running, mayHaveRun)
	state.FreeSlot = !a.choice.MustQueue()
	return retry.Decide(e.now(), state, e.retryBudget(c.service))
}

func (e *Edge) mayHedge(c *call, number int, mayHaveRun bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !c.route.Kind.Repeatable() || !e.mechanisms.On(mechanism.Hedge) {
		return false
	}
	a := e.retryState(c, health.Late, number, 1, mayHaveRun)
	return retry.DecideHedge(e.now(), a, e.retryBudget(c.service)).Action == retry.Hedge
}

func (e *Edge) retryState(c *call, result health.Result, number, running int, mayHaveRun bool) retry.Attempt {
	others := c.route.MaxAttempts - number
	return retry.Attempt{
		Result:     result,
		Idempotent: c.route.Kind.Repeatable(),
		Number:     number,
		MayHaveRun: mayHaveRun,
		Running:    running,
		Deadline:   c.deadline,
		Others:     max(others, 0),
		Room:       true,
	}
}

// patience is how long an attempt may take before it counts as late.
func (e *Edge) patience(c *call) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return retry.Patience(e.routeStatsFor(c.route).work)
}

// classify says what an attempt's end tells of the server.
func classify(a upstream.Response) health.Result {
	switch a.Outcome {
	case upstream.NotSent:
		return health.ConnectFailed
	case upstream.Broken:
		return health.Incomplete
	case upstream.TimedOut:
		return health.Timeout
	case upstream.Cancelled:
		return health.Cancelled
	case upstream.Completed:
	}
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return health.NotRun
	case platform.NotRun(a.Status, a.Header) && a.Status == http.StatusServiceUnavailable:
		return health.Shed
	case platform.NotRun(a.Status, a.Header):
		return health.NotRun
	case a.Status >= http.StatusInternalServerError:
		return health.ServerError
	case a.Status < http.StatusMultipleChoices && a.Header.Get(platform.HeaderProof) == "":
		// A success that no server has signed is no server's answer.
		return health.Mismatch
	}
	return health.OK
}

// upstreamRequest is what a server gets.
func (e *Edge) upstreamRequest(c *call, choice placement.Choice) upstream.Request {
	h := c.header.Clone()
	h.Set(platform.HeaderExpect, choice.Server.ID)
	h.Set(platform.HeaderDeadline, platform.FormatDeadline(c.deadline-e.now()))
	if c.workspace != nil {
		h.Set(platform.HeaderWorkspace, c.workspace.Name)
	}
	return upstream.Request{
		Method: c.method, Target: c.target, Host: c.host, Header: h, Body: c.body,
		IDHeader: platform.HeaderAttempt, ID: c.id,
		NonIdempotent: !c.route.Kind.Repeatable() && e.mechanisms.On(mechanism.Fresh),
	}
}

// logAttempt writes what was expected of a server and what came of it. Good
// answers are told by the line of their request.
func (e *Edge) logAttempt(c *call, a *attempt, now time.Duration) {
	if a.result == health.OK || !e.budget.Take(now, 1) {
		return
	}
	attrs := []slog.Attr{
		slog.String("request", c.id), slog.Int("attempt", a.number),
		slog.String("server", a.choice.Server.ID), slog.String("service", c.service),
		slog.String("result", a.result.String()), slog.Int64("took_ms", a.took.Milliseconds()),
		slog.Int("outstanding", a.choice.Outstanding), slog.Float64("risk", round(a.choice.Risk)),
		slog.Int64("expected_ms", a.choice.ExpectedLatency.Milliseconds()),
	}
	if a.answer.Err != nil {
		attrs = append(attrs, slog.String("error", a.answer.Err.Error()))
	}
	event.AttemptEnded.Log(e.log, attrs...)
}
