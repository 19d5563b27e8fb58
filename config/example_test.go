package config_test

import (
	"fmt"

	"foxtailspoke/config"
	"foxtailspoke/storage"
)

// A replica looks up workspace, route and limit of a request in the rows of the
// control table, and never goes back to an older revision.
func ExampleReplica() {
	key := config.HashKey("fsk_example")
	issued := storage.Row{Key: config.APIKeyPrefix + key.String(), Value: []byte(`{"workspace":"cebu-boatyard"}`), Revision: 1}
	rows := []storage.Row{
		issued,
		{Key: config.WorkspacePrefix + "cebu-boatyard", Value: []byte(`{"plan":"bench"}`), Revision: 1},
		{Key: config.PlanPrefix + "bench", Value: []byte(`{"services":{"catalogue":{"rate":20,"burst":40}}}`), Revision: 1},
		{Key: config.ServicePrefix + "catalogue", Value: []byte(`{"floor":2,"timeout":"2s","routes":[{"prefix":"/catalogue/"}]}`), Revision: 1},
	}
	r := config.NewReplica()
	r.Apply(storage.Changes{Revision: 1, Rows: rows})
	workspace, known := r.WorkspaceByKey(key)
	service, _, routed := r.Route("/catalogue/narra")
	limit, allowed := r.Limit(workspace.Name, service)
	fmt.Println(workspace.Name, known, service, routed, limit.Rate, allowed)

	withdrawn := storage.Row{Key: issued.Key, Deleted: true, Revision: 2}
	fmt.Println(r.Apply(storage.Changes{Revision: 2, Rows: []storage.Row{withdrawn}}))
	fmt.Println(r.Apply(storage.Changes{Revision: 1, Rows: rows}))
	_, known = r.WorkspaceByKey(key)
	fmt.Println(known, r.Revision())
	// Output:
	// cebu-boatyard true catalogue true 20 true
	// true
	// false
	// false 2
}
