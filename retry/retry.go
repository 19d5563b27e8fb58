// Package retry decides what follows an attempt at a backend server: deliver the
// response, try another server, or give up and report whether the request may
// have run.
//
// A non-idempotent request is sent again only if it provably didn't run. All
// retries and hedges of a service draw on one budget.
//
// FleetBudgets is that budget over all instances. Load pattern: many instances with few
// requests each share one limit on the retries of a service, while messages between them
// are lost and instances restart. Each instance counts the attempts of all from the totals
// that they report, and uses less of the limit for what it can't have counted: the time
// before its start, instances that are partitioned from it, and the time since the last
// report of each.
package retry

import (
	"time"

	"foxtailspoke/health"
)

// Action is what to do next with a request.
type Action int

const (
	// Deliver passes the server's response on to the caller.
	Deliver Action = iota
	// Retry sends the request to another server at once.
	Retry
	// Hedge sends a second copy to another server while the first is in flight.
	Hedge
	// Wait lets the attempt in flight continue.
	Wait
	// GiveUp fails the request at once with Outcome and RetryAfter.
	GiveUp
)

// Outcome is what a caller is told about a request that was given up.
type Outcome int

const (
	// OutcomeNone accompanies all actions other than GiveUp.
	OutcomeNone Outcome = iota
	// NotRun means that no attempt can have run.
	NotRun
	// Unknown means that an attempt may have run, partly or completely.
	Unknown
)

// Reason names the rule behind a decision.
type Reason string

// The reasons, as written to decision records.
const (
	ReasonAnswered      Reason = "the server answered"
	ReasonRetry         Reason = "another server is tried"
	ReasonHedge         Reason = "the answer is late, a second server is asked too"
	ReasonNotIdempotent Reason = "the request may have run and must not be repeated"
	ReasonDeadline      Reason = "the time for this request is used up"
	ReasonBudget        Reason = "too many repeated requests already"
	ReasonAttempts      Reason = "enough servers were tried"
	ReasonNoServer      Reason = "no other server is left to try"
	ReasonShed          Reason = "the servers have no room"
	ReasonInFlight      Reason = "the first attempt goes on"
)

// Attempt is the state of a request when one of its attempts has ended or is
// late.
type Attempt struct {
	Result health.Result
	// Idempotent is derived from the request's method or set by its route.
	Idempotent bool
	// AttemptCount is the number of attempts so far, hedges included; 1 after
	// the first.
	AttemptCount int
	// MayHaveRun says that an earlier attempt of this request may have run, so
	// that the outcome can't be NotRun any more.
	MayHaveRun bool
	// InFlight is the number of other attempts of this request in flight.
	InFlight int
	// Deadline is when the request times out, on the clock of now.
	Deadline time.Duration
	// Untried is the number of servers that haven't been tried yet.
	Untried int
	// UntriedHasSlot says that one of them is known to have a free slot.
	UntriedHasSlot bool
	// HadFreeSlot says that the server was known to have a free slot when the
	// request was sent to it.
	HadFreeSlot bool
}

// Decision is what to do and why.
type Decision struct {
	Action  Action
	Outcome Outcome
	// RetryAfter is how long the caller should wait at least, with GiveUp.
	RetryAfter time.Duration
	Reason     Reason
}

// Settings configure retries. The zero value isn't useful; see DefaultSettings.
type Settings struct {
	// Share is the share of requests that may be retried or hedged.
	Share float64
	// Reserve is the capacity of the budget: how many further attempts may be
	// sent in a burst.
	Reserve float64
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MinRemaining is the time that must be left before the deadline for
	// another attempt.
	MinRemaining time.Duration
	// RetryAfter is the shortest Retry-After time sent to callers.
	RetryAfter time.Duration
	// MaxRetryAfter is the longest Retry-After time sent to callers.
	MaxRetryAfter time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Share:         0.1,
		Reserve:       5,
		MaxAttempts:   3,
		MinRemaining:  5 * time.Millisecond,
		RetryAfter:    time.Second,
		MaxRetryAfter: 30 * time.Second,
	}
}

// Decide returns what to do after the end of an attempt.
func Decide(now time.Duration, a Attempt, b *Budget) Decision {
	if a.Result == health.OK {
		return Decision{Action: Deliver, Reason: ReasonAnswered}
	}
	if a.InFlight > 0 {
		return Decision{Action: Wait, Reason: ReasonInFlight}
	}
	reason := denialReason(now, a, b.settings)
	if reason == "" && !b.take() {
		reason = ReasonBudget
	}
	if reason == "" {
		return Decision{Action: Retry, Reason: ReasonRetry}
	}
	return giveUp(now, a, b, reason)
}

// DecideHedge returns whether to hedge a late attempt.
func DecideHedge(now time.Duration, a Attempt, b *Budget) Decision {
	a.Result = health.Late
	if a.InFlight > 1 || denialReason(now, a, b.settings) != "" || !a.UntriedHasSlot || !b.takeHedge() {
		return Decision{Action: Wait, Reason: ReasonInFlight}
	}
	return Decision{Action: Hedge, Reason: ReasonHedge}
}

// denialReason returns why no further attempt is allowed, regardless of the
// budget, or "" if one is allowed.
func denialReason(now time.Duration, a Attempt, s Settings) Reason {
	switch {
	case !a.Idempotent && (a.MayHaveRun || !a.Result.ProvedNotRun()):
		return ReasonNotIdempotent
	case a.Deadline-now < s.MinRemaining:
		return ReasonDeadline
	case a.AttemptCount >= s.MaxAttempts:
		return ReasonAttempts
	case a.Untried == 0:
		return ReasonNoServer
	case a.Result == health.Shed && (a.AttemptCount > 1 || !a.UntriedHasSlot):
		// Retrying shed requests without limit would add load to a service that
		// already sheds load. One retry at a server with a free slot is enough
		// to get past a single full server.
		return ReasonShed
	default:
		return ""
	}
}

// minRetryAfter returns the shortest Retry-After time for a request that is given
// up. A server that sheds although it has free slots may accept the next request,
// so a long wait would only delay the caller.
func minRetryAfter(a Attempt, s Settings) time.Duration {
	if a.Result == health.Shed && a.HadFreeSlot {
		return min(s.RetryAfter, retryAfterRandomShed)
	}
	return s.RetryAfter
}

// retryAfterRandomShed is the shortest Retry-After time after a server with free
// slots shed the request, as long as give-ups are rare.
const retryAfterRandomShed = 150 * time.Millisecond

// giveUp ends the request. A complete response goes to the caller even if it
// reports an error, because only the server knows what was done.
func giveUp(now time.Duration, a Attempt, b *Budget, reason Reason) Decision {
	if a.Result == health.ServerError {
		return Decision{Action: Deliver, Reason: reason}
	}
	outcome := Unknown
	if !a.MayHaveRun && a.Result.ProvedNotRun() {
		outcome = NotRun
	}
	return Decision{Action: GiveUp, Outcome: outcome, RetryAfter: b.retryAfter(now, minRetryAfter(a, b.settings)), Reason: reason}
}
