package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/health"
)

var results = []health.Result{
	health.OK, health.ServerError, health.Timeout, health.Incomplete, health.Mismatch,
	health.ConnectFailed, health.Shed, health.NotRun, health.Cancelled, health.Late,
}

func newBudget() *Budget {
	return NewBudget(DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
}

// A non-idempotent request may have run although its response was lost. Sending
// it again would run it twice, and reporting it as not run would make the caller
// send it again. Checks all combinations of results and histories, with ample
// time, servers and budget.
func TestNoRetryOfRequestsThatMayHaveRun(t *testing.T) {
	provedNotRun := map[health.Result]bool{health.ConnectFailed: true, health.Shed: true, health.NotRun: true}
	for _, r := range results {
		for _, mayHaveRun := range []bool{false, true} {
			for number := 1; number <= 4; number++ {
				a := Attempt{Result: r, MayHaveRun: mayHaveRun, AttemptCount: number, Deadline: time.Minute, Untried: 5, UntriedHasSlot: true}
				name := fmt.Sprint(r, mayHaveRun, number)
				d := Decide(0, a, newBudget())
				if d.Action == Retry {
					must.True(t, provedNotRun[r] && !mayHaveRun, must.Sprint(name))
				}
				if d.Outcome == NotRun {
					must.True(t, provedNotRun[r] && !mayHaveRun, must.Sprint(name))
				}
				if d.Action == GiveUp {
					must.Positive(t, d.RetryAfter, must.Sprint(name))
					must.NotEq(t, OutcomeNone, d.Outcome, must.Sprint(name))
				}
				must.Eq(t, Wait, DecideHedge(0, a, newBudget()).Action, must.Sprint(name))
			}
		}
	}
}

func TestDecide(t *testing.T) {
	base := Attempt{Idempotent: true, AttemptCount: 1, Deadline: time.Second, Untried: 3, UntriedHasSlot: true}
	tests := []struct {
		name    string
		modify  func(*Attempt)
		want    Action
		outcome Outcome
		reason  Reason
	}{
		{"answered", func(a *Attempt) { a.Result = health.OK }, Deliver, OutcomeNone, ReasonAnswered},
		{"lookup timed out", func(a *Attempt) { a.Result = health.Timeout }, Retry, OutcomeNone, ReasonRetry},
		{"order not connected", func(a *Attempt) { a.Result = health.ConnectFailed; a.Idempotent = false }, Retry, OutcomeNone, ReasonRetry},
		{"order timed out", func(a *Attempt) { a.Result = health.Timeout; a.Idempotent = false }, GiveUp, Unknown, ReasonNotIdempotent},
		{"order answered with an error", func(a *Attempt) { a.Result = health.ServerError; a.Idempotent = false }, Deliver, OutcomeNone, ReasonNotIdempotent},
		{"deadline passed", func(a *Attempt) { a.Result = health.ConnectFailed; a.Deadline = 0 }, GiveUp, NotRun, ReasonDeadline},
		{"no untried server", func(a *Attempt) { a.Result = health.Timeout; a.Untried = 0 }, GiveUp, Unknown, ReasonNoServer},
		{"attempts used up", func(a *Attempt) { a.Result = health.Timeout; a.AttemptCount = 3 }, GiveUp, Unknown, ReasonAttempts},
		{"shed once", func(a *Attempt) { a.Result = health.Shed }, Retry, OutcomeNone, ReasonRetry},
		{"shed twice", func(a *Attempt) { a.Result = health.Shed; a.AttemptCount = 2 }, GiveUp, NotRun, ReasonShed},
		{"shed, no free slot", func(a *Attempt) { a.Result = health.Shed; a.UntriedHasSlot = false }, GiveUp, NotRun, ReasonShed},
		{"hedge in flight", func(a *Attempt) { a.Result = health.Timeout; a.InFlight = 1 }, Wait, OutcomeNone, ReasonInFlight},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := base
			tt.modify(&a)
			d := Decide(0, a, newBudget())
			must.Eq(t, tt.want, d.Action)
			must.Eq(t, tt.outcome, d.Outcome)
			must.Eq(t, tt.reason, d.Reason)
		})
	}
}

// When every server of a service fails every request, retries and hedges could
// multiply the load and keep the service from recovering. The budget bounds the
// extra load.
func TestBudgetBoundsLoadWhenAllAttemptsFail(t *testing.T) {
	const requests = 10_000
	s := DefaultSettings()
	b := newBudget()
	attempts := 0
	for range requests {
		b.RecordRequest()
		a := Attempt{Result: health.Timeout, Idempotent: true, AttemptCount: 1, Deadline: time.Hour, Untried: 9, UntriedHasSlot: true, InFlight: 1}
		attempts++
		if DecideHedge(0, a, b).Action == Hedge {
			attempts++
			a.AttemptCount++
		}
		a.InFlight = 0
		for Decide(0, a, b).Action == Retry {
			attempts++
			a.AttemptCount++
		}
	}
	must.LessEq(t, requests*(1+s.Share)+s.Reserve, float64(attempts))
	must.Greater(t, requests, attempts)
}

// When the servers of a service shed every second request at random, regardless of
// their load, callers that are told to wait as long as for a full service come
// back too late to be served before their deadline.
func TestShortRetryAfterIfServersShedWithFreeSlots(t *testing.T) {
	for _, free := range []bool{true, false} {
		s := DefaultSettings()
		s.RetryAfter = 500 * time.Millisecond
		b := NewBudget(s, rand.New(rand.NewPCG(1, 1)))
		a := Attempt{Result: health.Shed, AttemptCount: 2, Deadline: time.Minute, UntriedHasSlot: true, HadFreeSlot: free}
		var sum time.Duration
		const giveUps = 20
		for i := range giveUps {
			d := Decide(time.Duration(i)*500*time.Millisecond, a, b)
			must.Eq(t, GiveUp, d.Action)
			must.Eq(t, NotRun, d.Outcome)
			sum += d.RetryAfter
		}
		must.Eq(t, free, sum/giveUps < 400*time.Millisecond)
		must.Greater(t, 100*time.Millisecond, sum/giveUps)
	}
}
