package node_test

import (
	"fmt"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/node"
	"foxtailspoke/storage"
)

// A node is driven by events and returns effects. Here it refuses a request while
// its configuration is not confirmed, reads the configuration from the table, and
// refuses a request without an API key.
func Example() {
	s := node.DefaultSettings()
	s.Self = storage.Instance{ID: "a", Kind: storage.Entry, DataCentre: "luzon-1", State: storage.Live}
	s.Secret = []byte("a random secret, new with every start")
	s.Seed = 1
	n := node.New(s)

	now := time.Second
	request := node.RequestArrived{Request: "r1", Method: "GET", Path: "/catalogue/narra"}
	for _, e := range n.Step(now, request) {
		if refused, ok := e.(node.Refuse); ok {
			fmt.Println(refused.Record.Rule, refused.Record.Outcome)
		}
	}
	for _, e := range n.Step(now, node.Wake{}) {
		if read, ok := e.(effect.ReadTable); ok {
			rows := []storage.Row{{
				Key: config.ServicePrefix + "catalogue", Revision: 1,
				Value: []byte(`{"floor":1,"timeout":"2s","routes":[{"prefix":"/catalogue/"}]}`),
			}}
			n.Step(now, node.TableRead{ID: read.ID, Changes: storage.Changes{Revision: 1, Rows: rows}, OK: true})
		}
	}
	request.Request = "r2"
	for _, e := range n.Step(now, request) {
		if refused, ok := e.(node.Refuse); ok {
			fmt.Println(refused.Record.Rule, refused.Record.Outcome)
		}
	}
	// Output:
	// cut-off not-run
	// no-key not-run
}
