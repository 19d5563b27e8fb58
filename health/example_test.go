package health_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foxtailspoke/health"
)

// One of three backend servers truncates its responses. Its weight is lowered at
// once; the others keep theirs.
func Example() {
	o := health.NewObserver(health.DefaultSettings(), rand.New(rand.NewPCG(1, 2)))
	servers := []string{"good-1", "good-2", "gray"}
	o.SetServers("catalogue", servers)
	now := time.Duration(0)
	for range 40 {
		now += 50 * time.Millisecond
		for _, server := range servers {
			result := health.OK
			if server == "gray" {
				result = health.Incomplete
			}
			o.Observe(now, health.Observation{
				Service: "catalogue", Server: server, Workspace: "cebu-boatyard",
				Result: result, Latency: 20 * time.Millisecond,
			})
		}
	}
	weights := o.Weights(now, "catalogue", "cebu-boatyard", servers, 1)
	for i, server := range servers {
		fmt.Println(server, weights[i] == 1, weights[i] <= health.LowWeight)
	}
	// Output:
	// good-1 true false
	// good-2 true false
	// gray false true
}
