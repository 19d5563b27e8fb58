package node

import (
	"slices"
	"time"

	"foxtailspoke/balance"
	"foxtailspoke/claim"
	"foxtailspoke/decision"
	"foxtailspoke/health"
	"foxtailspoke/membership"
	"foxtailspoke/retry"
	"foxtailspoke/storage"
)

// attempt is one transmission of a request to a backend server or, if forwarded,
// to another entry instance.
type attempt struct {
	id      string
	request *request
	server  storage.Instance
	started time.Duration
	// forwarded is set for an attempt at the entry instance that minted the
	// idempotency key.
	forwarded bool
	// late is set once the attempt was reported as late.
	late bool
	// streaming is set while its answer is being streamed to the caller.
	streaming bool
}

// startFirstAttempt starts the first attempt, unless the caller has disconnected
// or the deadline has passed.
func (n *Node) startFirstAttempt(r *request) {
	n.budget(r.service.Name).RecordRequest()
	switch {
	case r.callerGone:
		record := n.record(r, decision.RuleCallerDisconnected)
		record.Outcome = decision.NotRun
		n.refuseWithRecord(r, record)
		return
	case n.now >= r.deadline:
		n.refuse(r, decision.RuleDeadlineExceeded, 0)
		return
	}
	if !n.startAttempt(r) {
		n.refuse(r, decision.RuleNoServer, 0)
	}
}

// startAttempt starts an attempt at a backend server that has not been tried yet.
// It returns false if there is none.
func (n *Node) startAttempt(r *request) bool {
	servers := n.serverView(r)
	o := balance.Options{Exclude: r.tried, AvoidSuspects: !r.idempotent}
	id, ok := n.picker.Pick(n.now, r.service.Name, servers, o)
	if !ok {
		return false
	}
	server, _ := n.member.Directory().Instance(id)
	a := n.newAttempt(r, server)
	r.tried = append(r.tried, id)
	r.server = id
	n.picker.Started(r.service.Name, id)
	n.timers.add(n.now+n.observer.LateThreshold(r.service.Name), func() { n.handleLate(a) })
	n.emit(StartAttempt{
		Request:   r.arrived.Request,
		Attempt:   a.id,
		Server:    server,
		Workspace: r.workspace.Name,
		Operation: r.arrived.Operation,
		Timeout:   r.deadline - n.now,
		Until:     n.confirmationEnd(),
	})
	return true
}

// confirmationEnd returns when the confirmation of the current configuration
// expires: a time in the past if the configuration is not confirmed.
func (n *Node) confirmationEnd() time.Duration {
	c := n.member.Confirmation(n.now)
	if c.State == membership.CutOff {
		return n.now - 1
	}
	return n.now - c.Age + n.member.Settings().Fresh
}

func (n *Node) newAttempt(r *request, server storage.Instance) *attempt {
	n.lastAttempt++
	a := &attempt{
		id:      n.settings.Self.ID + "." + itoa(n.lastAttempt),
		request: r,
		server:  server,
		started: n.now,
	}
	n.attempts[a.id] = a
	r.running = append(r.running, a)
	return a
}

// handleAttemptEnded records the result of an attempt and relays its answer, retries or
// refuses the request.
func (n *Node) handleAttemptEnded(e AttemptEnded) {
	a, ok := n.attempts[e.Attempt]
	if !ok {
		return
	}
	if a.forwarded {
		n.handleForwardEnded(a, e)
		return
	}
	n.observe(a, e)
	if e.Leaving {
		n.markLeaving(a.server.ID)
	}
	if e.Streaming && !a.request.answered {
		a.streaming = true
		n.relayAnswer(a, e)
		return
	}
	n.removeAttempt(a)
	r := a.request
	if !e.Result.ProvedNotRun() {
		r.mayHaveRun = true
	}
	if r.answered {
		return
	}
	n.decideRetry(a, e)
}

// decideRetry carries out the decision of package retry. The request is
// revalidated before a retry: one with a long timeout could otherwise reach
// backend servers long after its key was withdrawn.
func (n *Node) decideRetry(a *attempt, e AttemptEnded) {
	r := a.request
	r.figures.Detail = e.Detail
	d := retry.Decide(n.now, n.retryState(r, e), n.budget(r.service.Name))
	switch d.Action {
	case retry.Deliver:
		n.relayAnswer(a, e)
	case retry.Wait:
	case retry.Retry:
		if rule := n.revalidate(r); rule != "" {
			n.refuse(r, rule, 0)
			return
		}
		if !n.startAttempt(r) {
			n.refuseAfterAttempts(r, e, retry.Decision{Outcome: outcomeAfter(r)})
		}
	default:
		n.refuseAfterAttempts(r, e, d)
	}
}

func (n *Node) retryState(r *request, e AttemptEnded) retry.Attempt {
	untried, hasSlot := n.untriedServers(r)
	if !e.Replayable {
		untried = 0
	}
	return retry.Attempt{
		Result:         e.Result,
		Idempotent:     r.idempotent,
		AttemptCount:   len(r.tried),
		MayHaveRun:     r.mayHaveRun,
		InFlight:       len(r.running),
		Deadline:       r.deadline,
		Untried:        untried,
		UntriedHasSlot: hasSlot,
	}
}

func outcomeAfter(r *request) retry.Outcome {
	if r.mayHaveRun {
		return retry.Unknown
	}
	return retry.NotRun
}

// refuseAfterAttempts refuses a request whose attempts failed, with the time after
// which the caller may retry.
func (n *Node) refuseAfterAttempts(r *request, e AttemptEnded, d retry.Decision) {
	rule := decision.RuleNoServer
	switch {
	case r.callerGone:
		rule = decision.RuleCallerDisconnected
	case d.Outcome == retry.Unknown && r.idempotent:
		rule = decision.RuleAttemptsFailed
	case d.Outcome == retry.Unknown:
		rule = decision.RuleUnknownOutcome
	case e.Result == health.Shed:
		rule = decision.RuleBackendBusy
	}
	r.figures.Servers = len(n.member.Directory().Servers(r.service.Name))
	r.figures.Usable, _ = n.untriedServers(r)
	n.refuse(r, rule, max(d.RetryAfter, e.RetryAfter))
}

// relayAnswer relays the answer of an attempt to the caller and cancels the other
// attempts.
func (n *Node) relayAnswer(a *attempt, e AttemptEnded) {
	r := a.request
	r.answered = true
	r.server = a.server.ID
	n.cancelOthers(r, a)
	if !r.callerGone {
		n.emit(Relay{Request: r.arrived.Request, Attempt: a.id})
	}
	if !a.streaming {
		n.finishServed(r, e.Answer)
	}
}

// cancelOthers cancels all attempts of a request except one.
func (n *Node) cancelOthers(r *request, except *attempt) {
	for _, a := range r.running {
		if a != except {
			n.emit(CancelAttempt{Attempt: a.id})
		}
	}
}

func (n *Node) finishServed(r *request, answer *claim.Answer) {
	delete(n.requests, r.arrived.Request)
	n.endOperation(r, claim.Ran, answer)
	n.emitRecord(n.record(r, decision.RuleServed))
}

// handleStreamEnded completes a request whose answer was streamed to the caller.
func (n *Node) handleStreamEnded(e StreamEnded) {
	a, ok := n.attempts[e.Attempt]
	if !ok || !a.streaming {
		return
	}
	n.removeAttempt(a)
	r := a.request
	if e.Whole {
		n.finishServed(r, nil)
		return
	}
	delete(n.requests, r.arrived.Request)
	n.endOperation(r, claim.Unknown, nil)
	rule := decision.RuleAnswerTruncated
	if r.callerGone {
		rule = decision.RuleCallerDisconnected
	}
	if rule == decision.RuleAnswerTruncated {
		n.observer.Observe(n.now, n.observation(a, health.Incomplete, n.now-a.started))
	}
	n.emitRecord(n.record(r, rule))
}

// handleLate reports an attempt that exceeded the late threshold of its service
// without an answer, and hedges it unless the service as a whole is slow.
func (n *Node) handleLate(a *attempt) {
	if n.attempts[a.id] != a || a.streaming {
		return
	}
	a.late = true
	n.observer.Observe(n.now, n.observation(a, health.Late, n.now-a.started))
	after, may := n.observer.HedgeDelay(a.request.service.Name)
	if !may {
		return
	}
	if wait := a.started + after - n.now; wait > 0 {
		n.timers.add(n.now+wait, func() { n.hedge(a) })
		return
	}
	n.hedge(a)
}

// hedge starts a second attempt concurrently with a late one. The request must be
// idempotent and its body fully buffered.
func (n *Node) hedge(a *attempt) {
	r := a.request
	if n.attempts[a.id] != a || r.answered || r.callerGone || !r.idempotent || !r.arrived.Held || n.revalidate(r) != "" {
		return
	}
	state := n.retryState(r, AttemptEnded{Result: health.Late, Replayable: true})
	if retry.DecideHedge(n.now, state, n.budget(r.service.Name)).Action == retry.Hedge {
		n.startAttempt(r)
	}
}

// removeAttempt removes a completed attempt.
func (n *Node) removeAttempt(a *attempt) {
	delete(n.attempts, a.id)
	r := a.request
	r.running = slices.DeleteFunc(r.running, func(other *attempt) bool { return other == a })
	if !a.forwarded {
		n.picker.Ended(r.service.Name, a.server.ID)
	}
}

func (n *Node) observe(a *attempt, e AttemptEnded) {
	n.observer.Observe(n.now, n.observation(a, e.Result, e.Latency))
}

func (n *Node) observation(a *attempt, result health.Result, latency time.Duration) health.Observation {
	return health.Observation{
		Service:      a.request.service.Name,
		Server:       a.server.ID,
		Workspace:    a.request.workspace.Name,
		Result:       result,
		Latency:      latency,
		ReportedLate: a.late,
	}
}

func (n *Node) budget(service string) *retry.Budget {
	b, ok := n.budgets[service]
	if !ok {
		b = retry.NewBudget(n.settings.Retry, n.rng)
		n.budgets[service] = b
	}
	return b
}
