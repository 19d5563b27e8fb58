package lists_test

import (
	"fmt"

	"foxtailspoke/config/lists"
)

// Both lists are validated together; every diagnostic has its position.
func ExampleCheck() {
	customers := lists.Source{File: "customers.json", Data: []byte(`{
  "workspaces": {
    "cebu-boatyard": {"plan": "workshp"}, // a typo
  },
}`)}
	plans := lists.Source{File: "plans.json", Data: []byte(`{
  "services": {"catalogue": {"floor": 6, "timeout": "2s", "routes": [{"prefix": "/catalogue/"}]}},
  "plans": {"workshop": {"services": {"catalogue": {"rate": 20, "burst": 0.5}}}},
}`)}
	_, diagnostics := lists.Check(customers, plans, lists.ServerCounts{"catalogue": 10})
	for _, f := range diagnostics {
		fmt.Println(f)
	}
	// Output:
	// customers.json:3:31: workspaces.cebu-boatyard.plan: found the unknown plan "workshp"; allowed: one of the plans workshop
	// plans.json:3:74: plans.workshop.services.catalogue.burst: found 0.5; allowed: a number from 1 to 10000000
}
