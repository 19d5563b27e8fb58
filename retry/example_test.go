package retry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foxtailspoke/health"
	"foxtailspoke/retry"
)

// A lookup whose response was truncated is retried at another server. An order is
// not, since it may have run. An order whose connection failed is retried.
func Example() {
	b := retry.NewBudget(retry.DefaultSettings(), rand.New(rand.NewPCG(1, 2)))
	for range 100 {
		b.RecordRequest() // each request earns a share of a retry
	}
	a := retry.Attempt{Result: health.Incomplete, Idempotent: true, AttemptCount: 1, Deadline: 2 * time.Second, Untried: 3, UntriedHasSlot: true}
	lookup := retry.Decide(time.Second, a, b)
	fmt.Println(lookup.Action == retry.Retry, lookup.Reason)

	a.Idempotent = false
	order := retry.Decide(time.Second, a, b)
	fmt.Println(order.Action == retry.GiveUp, order.Outcome == retry.Unknown, order.Reason)

	a.Result = health.ConnectFailed
	fmt.Println(retry.Decide(time.Second, a, b).Action == retry.Retry)
	// Output:
	// true another server is tried
	// true true the request may have run and must not be repeated
	// true
}
