package operator_test

import (
	"context"
	"fmt"

	"foxtailspoke/config"
	"foxtailspoke/config/lists"
	"foxtailspoke/internal/standin/tables"
	"foxtailspoke/operator"
	"foxtailspoke/storage"
)

// table adapts the stand-in's tables to storage.Table.
type table struct{ *tables.Store }

func (t table) Read(_ context.Context, r storage.ReadRequest) (storage.Changes, error) {
	return t.Store.Read(r)
}

func (t table) Write(_ context.Context, txn storage.Txn) (storage.WriteResult, error) {
	return t.Store.Write(txn)
}

// Lists are proposed, reviewed and committed; then a key is issued.
func Example() {
	ctx := context.Background()
	o := operator.New(table{tables.New()}, operator.Settings{OperatorName: "maria"})
	l := lists.Empty()
	l.Services["catalogue"] = config.Service{Name: "catalogue", Floor: 6, Routes: []config.Route{{Prefix: "/catalogue/"}}}
	l.Plans["bench"] = config.Plan{Name: "bench", Services: map[string]config.Limit{"catalogue": {Rate: 5, Burst: 10}}}
	l.Workspaces["bohol-guitars"] = config.Workspace{Name: "bohol-guitars", Plan: "bench"}
	p, err := o.Propose(ctx, l)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, c := range p.Changes {
		fmt.Println(c)
	}
	applied, err := o.Commit(ctx, p)
	fmt.Println(applied.Outcome, applied.Version, err)
	key, err := o.IssueKey(ctx, "bohol-guitars", "till-1")
	fmt.Println(key.Outcome, len(key.Secret.Reveal()), key.Secret, err)
	// Output:
	// + plan bench: service catalogue (5 a second, burst 10)
	// + service catalogue: floor 6; route /catalogue/ (repeatable by its method); time-out 0s
	// + workspace bohol-guitars: plan bench
	// accepted 1 <nil>
	// accepted 47 (hidden) <nil>
}
