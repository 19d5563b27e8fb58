// Package retry decides what follows a backend server's answer: deliver it,
// try another server, or give up with a truthful outcome.
//
// A non-idempotent request is sent again only if it was proved not run. All
// second attempts of a service, hedges included, are paid from one budget.
package retry

import (
	"time"

	"foxtailspoke/health"
)

// Action is what to do next with a request.
type Action int

const (
	// Deliver passes the server's answer on to the caller.
	Deliver Action = iota
	// Retry sends the request to another server at once.
	Retry
	// Hedge sends a second copy to another server beside the first.
	Hedge
	// Wait leaves the running attempt alone.
	Wait
	// GiveUp answers the caller at once with Outcome and RetryAfter.
	GiveUp
)

// Outcome is what a caller is told about a request that was given up.
type Outcome int

const (
	// OutcomeNone belongs to actions other than GiveUp.
	OutcomeNone Outcome = iota
	// NotRun is said only if no attempt can have run.
	NotRun
	// Unknown means that an attempt may have run, in part or whole.
	Unknown
)

// Reason is the rule behind a decision.
type Reason string

// The reasons, in words for a decision record.
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

// Attempt is the state of a request when an attempt has ended or is late.
type Attempt struct {
	Result health.Result
	// Idempotent comes from the request's method or its route.
	Idempotent bool
	// AttemptCount of attempts made so far, hedges included; 1 after the first.
	AttemptCount int
	// MayHaveRun says that an earlier attempt of this request wasn't proved
	// not run, so that the outcome can't be NotRun any more.
	MayHaveRun bool
	// InFlight counts other attempts of this request that are still out.
	InFlight int
	// Deadline is when the caller's time is up, on the clock of now.
	Deadline time.Duration
	// Untried is how many servers are left that weren't tried.
	Untried int
	// UntriedHasSlot says that one of them has a free slot as far as is known.
	UntriedHasSlot bool
	// HadFreeSlot says that the server had one, as far as is known, when the request
	// was sent.
	HadFreeSlot bool
}

// Decision is what to do and why.
type Decision struct {
	Action  Action
	Outcome Outcome
	// RetryAfter is the least time that the caller should wait, with GiveUp.
	RetryAfter time.Duration
	Reason     Reason
}

// Settings of retries. The zero value isn't useful; see DefaultSettings.
type Settings struct {
	// Share of requests that may be sent a second time.
	Share float64
	// Reserve is how many second attempts a quiet service may make at once.
	Reserve float64
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MinRemaining is the least time that a second attempt needs.
	MinRemaining time.Duration
	// RetryAfter is the shortest wait told to callers.
	RetryAfter time.Duration
	// MaxRetryAfter is the longest.
	MaxRetryAfter time.Duration
}

// DefaultSettings returns the settings used unless operators change them.
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

// Decide says what follows the end of an attempt.
func Decide(now time.Duration, a Attempt, b *Budget) Decision {
	if a.Result == health.OK {
		return Decision{Action: Deliver, Reason: ReasonAnswered}
	}
	if a.InFlight > 0 {
		return Decision{Action: Wait, Reason: ReasonInFlight}
	}
	reason := refusal(now, a, b.settings)
	if reason == "" && !b.take() {
		reason = ReasonBudget
	}
	if reason == "" {
		return Decision{Action: Retry, Reason: ReasonRetry}
	}
	return giveUp(now, a, b, reason)
}

// DecideHedge says whether a late attempt gets a second one beside it.
func DecideHedge(now time.Duration, a Attempt, b *Budget) Decision {
	a.Result = health.Late
	if a.InFlight > 1 || refusal(now, a, b.settings) != "" || !a.UntriedHasSlot || !b.takeHedge() {
		return Decision{Action: Wait, Reason: ReasonInFlight}
	}
	return Decision{Action: Hedge, Reason: ReasonHedge}
}

// refusal returns why no further attempt is allowed, budget aside.
func refusal(now time.Duration, a Attempt, s Settings) Reason {
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
		// Without this, a service that sheds gets its own refusals back as
		// new load, and sheds more. One try at a server with room is enough
		// to get past a single full server.
		return ReasonShed
	default:
		return ""
	}
}

// leastWait is the shortest wait told to the caller of a request that is given up.
// A server that refuses with free slots may take the very next request: waiting
// for room that is there already would only make its caller late.
func leastWait(a Attempt, s Settings) time.Duration {
	if a.Result == health.Shed && a.HadFreeSlot {
		return min(s.RetryAfter, afterRandomShed)
	}
	return s.RetryAfter
}

// afterRandomShed is how soon a caller may come back after a server refused it
// with slots free, as long as that is rare.
const afterRandomShed = 150 * time.Millisecond

// giveUp ends the request. A whole answer from the server goes to the caller
// even if it reports an error: it is the truth about what was done.
func giveUp(now time.Duration, a Attempt, b *Budget, reason Reason) Decision {
	if a.Result == health.ServerError {
		return Decision{Action: Deliver, Reason: reason}
	}
	outcome := Unknown
	if !a.MayHaveRun && a.Result.ProvedNotRun() {
		outcome = NotRun
	}
	return Decision{Action: GiveUp, Outcome: outcome, RetryAfter: b.retryAfter(now, leastWait(a, b.settings)), Reason: reason}
}
