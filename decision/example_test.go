package decision_test

import (
	"fmt"
	"time"

	"foxtailspoke/decision"
)

// An instance refuses a request, records the decision and explains it later.
func Example() {
	at := time.Date(2026, 3, 2, 11, 59, 58, 0, time.UTC)
	buffer := decision.NewBuffer("0f8fad5b-d9cb-469f-a165-70867728950e", decision.BufferSettings{})
	buffer.Add(decision.Record{
		Request:    decision.NewRequestID("0f8fad5b-d9cb-469f-a165-70867728950e", at, 1),
		At:         at,
		Workspace:  "cebu-boatyard",
		Service:    "catalogue",
		Outcome:    decision.NotRun,
		Rule:       decision.RuleRateExceeded,
		RetryAfter: 800 * time.Millisecond,
		Figures:    decision.Figures{Plan: "workshop", Rate: 20, Burst: 40},
	})
	for _, r := range buffer.Search(decision.Query{Workspace: "cebu-boatyard"}) {
		fmt.Println(r.Rule.Status(), r.Sentence())
	}
	batch, _ := buffer.NextEncodedBatch()
	fmt.Println(batch.Name, batch.Records)
	// Output:
	// 429 A request of workspace cebu-boatyard to the service catalogue at 11:59:58 on 2 March 2026 (UTC) was refused and not carried out: the plan "workshop" allows 20 requests a second, with up to 40 at once after a quiet time, and the workspace has used that up; it is safe to send it again, after 800 milliseconds.
	// decisions/2026-03-02/11/0f8fad5b-d9cb-469f-a165-70867728950e-000001 1
}
