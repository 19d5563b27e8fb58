package quota_test

import (
	"fmt"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/quota"
)

// Two instances hold half of a limit each. An instance asks the other for the
// tokens that a request lacks; together they never exceed the limit.
func Example() {
	limit := config.Limit{Rate: 10, Burst: 20}
	bucket := quota.Bucket{Workspace: "cebu-boatyard", Service: "catalogue"}
	x := quota.NewHolder("x", 1, quota.DefaultSettings())
	y := quota.NewHolder("y", 1, quota.DefaultSettings())
	x.SetGrants(0, "0", []quota.Grant{{Since: 1, Parts: 30}})
	y.SetGrants(0, "0", []quota.Grant{{Since: 1, Parts: 30}})

	now := time.Minute // both buckets are full: half the burst each
	fmt.Println(x.Take(now, bucket, limit, quota.Tokens(10)).Admitted)
	d := x.Take(now, bucket, limit, quota.Tokens(1))
	fmt.Println(d.Admitted, d.Missing.Float(), d.RetryAfter)

	ask := x.StartAsk(now, "y", bucket, limit, d.Missing)
	// y has already subtracted the tokens. It gives more than was asked for,
	// so that both shares are equally full afterwards.
	transfer := y.HandleAsk(now, limit, ask)
	fmt.Println(x.HandleTransfer(now, limit, transfer).Float())
	fmt.Println(x.Take(now, bucket, limit, quota.Tokens(1)).Admitted)
	// Output:
	// true
	// false 1 200.2ms
	// 5
	// true
}
