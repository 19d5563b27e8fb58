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

// A shop orders cartridges. The server takes the order, then the answer gets
// lost. If anything sends the order again, the shop is billed twice; if the
// shop is told "not run", it orders again itself. The whole table of results
// and histories is checked, with time, servers and budget in plenty.
func TestNeverRepeatsWhatMayHaveRun(t *testing.T) {
	proved := map[health.Result]bool{health.ConnectFailed: true, health.Shed: true, health.NotRun: true}
	for _, r := range results {
		for _, mayHaveRun := range []bool{false, true} {
			for number := 1; number <= 4; number++ {
				a := Attempt{Result: r, MayHaveRun: mayHaveRun, AttemptCount: number, Deadline: time.Minute, Untried: 5, UntriedHasSlot: true}
				name := fmt.Sprint(r, mayHaveRun, number)
				d := Decide(0, a, newBudget())
				if d.Action == Retry {
					must.True(t, proved[r] && !mayHaveRun, must.Sprint(name))
				}
				if d.Outcome == NotRun {
					must.True(t, proved[r] && !mayHaveRun, must.Sprint(name))
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
	ok := Attempt{Idempotent: true, AttemptCount: 1, Deadline: time.Second, Untried: 3, UntriedHasSlot: true}
	tests := []struct {
		name string
		with func(*Attempt)
		want Action
		says Outcome
		why  Reason
	}{
		{"answer", func(a *Attempt) { a.Result = health.OK }, Deliver, OutcomeNone, ReasonAnswered},
		{"lookup timed out", func(a *Attempt) { a.Result = health.Timeout }, Retry, OutcomeNone, ReasonRetry},
		{"order not connected", func(a *Attempt) { a.Result = health.ConnectFailed; a.Idempotent = false }, Retry, OutcomeNone, ReasonRetry},
		{"order timed out", func(a *Attempt) { a.Result = health.Timeout; a.Idempotent = false }, GiveUp, Unknown, ReasonNotIdempotent},
		{"order failed whole", func(a *Attempt) { a.Result = health.ServerError; a.Idempotent = false }, Deliver, OutcomeNone, ReasonNotIdempotent},
		{"no time", func(a *Attempt) { a.Result = health.ConnectFailed; a.Deadline = 0 }, GiveUp, NotRun, ReasonDeadline},
		{"no server", func(a *Attempt) { a.Result = health.Timeout; a.Untried = 0 }, GiveUp, Unknown, ReasonNoServer},
		{"tried enough", func(a *Attempt) { a.Result = health.Timeout; a.AttemptCount = 3 }, GiveUp, Unknown, ReasonAttempts},
		{"shed once", func(a *Attempt) { a.Result = health.Shed }, Retry, OutcomeNone, ReasonRetry},
		{"shed twice", func(a *Attempt) { a.Result = health.Shed; a.AttemptCount = 2 }, GiveUp, NotRun, ReasonShed},
		{"shed, all full", func(a *Attempt) { a.Result = health.Shed; a.UntriedHasSlot = false }, GiveUp, NotRun, ReasonShed},
		{"hedge still out", func(a *Attempt) { a.Result = health.Timeout; a.InFlight = 1 }, Wait, OutcomeNone, ReasonInFlight},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := ok
			tt.with(&a)
			d := Decide(0, a, newBudget())
			must.Eq(t, tt.want, d.Action)
			must.Eq(t, tt.says, d.Outcome)
			must.Eq(t, tt.why, d.Reason)
		})
	}
}

// Every server of a service fails every request. Each caller's request is
// retried, and each late one hedged, so that the sick service gets several
// times its normal load and can't recover. The budget bounds the extra load.
func TestBudgetBoundsLoadWhenAllFails(t *testing.T) {
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

// All servers of a service refuse every second request at random, whatever their
// load. Callers that were told to wait as for a full service came back too late
// to be served in time.
func TestCallersReturnSoonToServersThatRefuseWithFreeSlots(t *testing.T) {
	for _, free := range []bool{true, false} {
		s := DefaultSettings()
		s.RetryAfter = 500 * time.Millisecond
		b := NewBudget(s, rand.New(rand.NewPCG(1, 1)))
		a := Attempt{Result: health.Shed, AttemptCount: 2, Deadline: time.Minute, UntriedHasSlot: true, HadFreeSlot: free}
		var sum time.Duration
		const given = 20
		for i := range given {
			d := Decide(time.Duration(i)*500*time.Millisecond, a, b)
			must.Eq(t, GiveUp, d.Action)
			must.Eq(t, NotRun, d.Outcome)
			sum += d.RetryAfter
		}
		must.Eq(t, free, sum/given < 400*time.Millisecond)
		must.Greater(t, 100*time.Millisecond, sum/given)
	}
}
