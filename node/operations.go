package node

import (
	"time"

	"foxtailspoke/claim"
	"foxtailspoke/decision"
	"foxtailspoke/health"
)

// operation is a non-idempotent request that this instance runs under an
// idempotency key.
type operation struct {
	// key is set for a key that this instance minted.
	key claim.OperationKey
	// claim is set for a key that the caller made.
	claim claim.ID
}

// beginOperation decides whether a request with an idempotency key runs here.
func (n *Node) beginOperation(r *request) {
	if !claim.IsOperationKey(r.arrived.Operation) {
		id, step := n.claimer.Begin(r.workspace.Name, r.arrived.Operation, r.arrived.Digest)
		n.runClaimStep(id, r.arrived.Request, step)
		return
	}
	key, err := claim.Parse(r.arrived.Operation)
	if err != nil {
		r.figures.Detail = "its operation key is malformed"
		n.refuse(r, decision.RuleBadRequest, 0)
		return
	}
	if key.Minter != n.settings.Self.ID {
		n.forward(r, key)
		return
	}
	d := n.minter.Begin(n.now, r.workspace.Name, key, r.arrived.Digest)
	if d.Verdict == claim.Run {
		r.operation = &operation{key: key}
		n.acquireTokens(r)
		return
	}
	n.answerDuplicate(r, d)
}

// answerDuplicate ends a request that the claim doesn't let run.
func (n *Node) answerDuplicate(r *request, d claim.Decision) {
	switch d.Verdict {
	case claim.Replay:
		n.replayAnswer(r, *d.Answer)
	case claim.InProgress:
		n.refuse(r, decision.RuleStillRunning, 0)
	case claim.RanAlready:
		n.refuse(r, decision.RuleAlreadyRan, 0)
	case claim.UnknownOutcome:
		n.refuse(r, decision.RuleOperationLost, 0)
	default:
		n.refuseClaim(r, d)
	}
}

func (n *Node) replayAnswer(r *request, a claim.Answer) {
	delete(n.requests, r.arrived.Request)
	record := n.record(r, decision.RuleServed)
	record.Outcome = decision.RanBefore
	n.emit(Repeat{Request: r.arrived.Request, Answer: a})
	n.emitRecord(record)
}

// claimDetails tells callers why a key was refused.
var claimDetails = map[claim.Reason]string{
	claim.Forged:            "its operation key wasn't made by this system",
	claim.WorkspaceMismatch: "its operation key was made for another workspace",
	claim.Expired:           "its operation key is too old",
	claim.RequestMismatch:   "its operation key was used for a different request before",
}

func (n *Node) refuseClaim(r *request, d claim.Decision) {
	r.figures.Detail = claimDetails[d.Reason]
	rule := decision.RuleBadRequest
	if d.Reason == claim.CapacityReached || d.Reason == claim.StoreUnavailable {
		rule = decision.RuleClaimUnavailable
	}
	record := n.record(r, rule)
	if !d.NeverRan && d.Reason != claim.RequestMismatch {
		record.Outcome = decision.Unknown
	}
	n.refuseWithRecord(r, record)
}

// endOperation reports how a request under a key ended.
func (n *Node) endOperation(r *request, o claim.Outcome, a *claim.Answer) {
	switch {
	case r.operation == nil:
	case r.operation.claim != 0:
		n.runClaimStep(r.operation.claim, "", n.claimer.Finish(r.operation.claim, o, a))
	default:
		n.minter.Finish(n.now, r.operation.key, o, a)
	}
}

// forward passes a request on to the instance that minted its key. Nobody
// else ever runs it: the minter may have run it a moment ago.
func (n *Node) forward(r *request, key claim.OperationKey) {
	if _, reachable := claim.RouteToMinter(key, n.peerState(key.Minter)); !reachable || r.arrived.Forwarded {
		n.refuse(r, decision.RuleOperationLost, 0)
		return
	}
	minter, _ := n.member.Directory().Instance(key.Minter)
	r.forwards++
	a := n.newAttempt(r, minter)
	a.forwarded = true
	n.emit(StartAttempt{
		Request:   r.arrived.Request,
		Attempt:   a.id,
		Server:    minter,
		Workspace: r.workspace.Name,
		Operation: r.arrived.Operation,
		Timeout:   r.deadline - n.now,
		Until:     n.confirmationEnd(),
		Forward:   true,
	})
}

// forwardEnded passes the minter's answer on. Without one, this request may
// or may not have run, and an earlier one with the key as well.
func (n *Node) forwardEnded(a *attempt, e AttemptEnded) {
	r := a.request
	if answeredByMinter(e.Result) {
		if e.Streaming {
			a.streaming = true
		}
		n.relayMinterAnswer(a)
		return
	}
	n.removeAttempt(a)
	if n.retryForward(r, e) {
		return
	}
	r.figures.Detail = e.Detail
	record := n.record(r, decision.RuleOperationElsewhere)
	record.Outcome = decision.Unknown
	record.RetryAfter = n.settings.Retry.RetryAfter
	n.refuseWithRecord(r, record)
}

const (
	// maxForwards bounds how often a request is passed on to its minter.
	maxForwards = 3
	// forwardRetryDelay is the pause before it is passed on again.
	forwardRetryDelay = 50 * time.Millisecond
)

// retryForward passes a request on once more after a connection failed. The
// minter runs a key once, so this can't run it twice.
func (n *Node) retryForward(r *request, e AttemptEnded) bool {
	failed := e.Result == health.ConnectFailed || e.Result == health.Incomplete
	if !failed || !e.Replayable || r.callerGone || r.forwards >= maxForwards || n.now+2*forwardRetryDelay >= r.deadline {
		return false
	}
	n.timers.add(n.now+forwardRetryDelay, func() {
		if rule := n.revalidate(r); rule != "" {
			n.refuse(r, rule, 0)
			return
		}
		n.beginOperation(r)
	})
	return true
}

// answeredByMinter says whether the minter's own answer came back whole. What
// it says of the outcome goes to the caller as it is.
func answeredByMinter(r health.Result) bool {
	return r == health.OK || r == health.ServerError || r == health.Shed || r == health.NotRun
}

func (n *Node) relayMinterAnswer(a *attempt) {
	r := a.request
	r.answered = true
	if !r.callerGone {
		n.emit(Relay{Request: r.arrived.Request, Attempt: a.id, Forwarded: true})
	}
	if a.streaming {
		return
	}
	n.removeAttempt(a)
	delete(n.requests, r.arrived.Request)
}
