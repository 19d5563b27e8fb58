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
	// key is the operation key, if this instance minted it.
	key claim.OperationKey
	// claim is the claim for an idempotency key chosen by the caller.
	claim claim.ID
}

// beginOperation runs a request with an idempotency key, forwards it to the minter
// of the key or answers it as a duplicate.
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

// answerDuplicate completes a request whose claim does not allow it to run.
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

// claimDetails are the explanations for callers whose key was refused.
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

// endOperation records the outcome of a request with an idempotency key.
func (n *Node) endOperation(r *request, o claim.Outcome, a *claim.Answer) {
	switch {
	case r.operation == nil:
	case r.operation.claim != 0:
		n.runClaimStep(r.operation.claim, "", n.claimer.Finish(r.operation.claim, o, a))
	default:
		n.minter.Finish(n.now, r.operation.key, o, a)
	}
}

// forward sends a request to the instance that minted its key. No other instance
// may run it, since the minter may have run it already.
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

// handleForwardEnded relays the minter's answer. Without an answer, the outcome is
// unknown both for this request and for earlier ones with the same key.
func (n *Node) handleForwardEnded(a *attempt, e AttemptEnded) {
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
	// maxForwards is the maximum number of times a request is forwarded to the
	// minter of its key.
	maxForwards = 3
	// forwardRetryDelay is the delay before a request is forwarded again.
	forwardRetryDelay = 50 * time.Millisecond
)

// retryForward forwards a request again after a connection failure. The minter
// runs each key at most once, so the request cannot run twice.
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

// answeredByMinter reports whether the minter's own answer was received in full.
// Its outcome is relayed to the caller unchanged.
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
