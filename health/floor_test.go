package health

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"foxtailspoke/config"
)

var anyResult = rapid.SampledFrom([]Result{
	OK, OK, ServerError, Timeout, Incomplete, Mismatch, ConnectFailed, Shed, NotRun, Cancelled, Late,
})

func anyObservation(t *rapid.T, servers []string) Observation {
	return Observation{
		Service:   "a",
		Server:    rapid.SampledFrom(servers).Draw(t, "server"),
		Workspace: rapid.SampledFrom([]string{"v", "w"}).Draw(t, "workspace"),
		Result:    anyResult.Draw(t, "result"),
		Latency:   time.Duration(rapid.IntRange(1, 2000).Draw(t, "latency")) * time.Millisecond,
	}
}

// When a caller's requests fail at all servers of a service, an instance
// must not take most servers out of use: the few that are left would get all
// requests and fail under the load too. Whatever is observed and advised,
// enough servers keep a weight of at least LowWeight, and none has a weight
// of zero.
func TestWeightsKeepFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := ids(rapid.IntRange(1, 12).Draw(t, "servers"))
		floor := rapid.IntRange(0, len(servers)+1).Draw(t, "floor")
		o := NewObserver(DefaultSettings(), rand.New(rand.NewPCG(1, 4)))
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			o.Observe(now, anyObservation(t, servers))
			if rapid.IntRange(0, 9).Draw(t, "advice") == 0 {
				o.ApplyAdvice(now, "a", []Suspect{{Server: rapid.SampledFrom(servers).Draw(t, "suspect"), Weight: adviceWeight}})
			}
			o.DueReports(now)
			low := 0
			for _, w := range o.Weights(now, "a", "w", servers, floor) {
				must.Positive(t, w)
				must.LessEq(t, 1, w)
				if w < LowWeight {
					low++
				}
			}
			must.LessEq(t, max(0, len(servers)-floor), low)
		}
	})
}

// fakePermits is a fake of the permits row that accepts a write only if the
// writer saw the latest revision.
type fakePermits struct {
	row      config.Permits
	revision int
}

// Two instances may both believe that they collect for a service, each with
// part of the evidence, often against different servers, and with an
// outdated copy of the row. Their ejections together must leave the floor in
// use.
func TestRacingCollectorsKeepFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := ids(rapid.IntRange(2, 10).Draw(t, "servers"))
		floor := rapid.IntRange(0, len(servers)).Draw(t, "floor")
		var tab fakePermits
		seen := [2]fakePermits{}
		collectors := [2]*Collector{NewCollector(DefaultSettings()), NewCollector(DefaultSettings())}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, 1).Draw(t, "collector")
			c := collectors[i]
			if rapid.Bool().Draw(t, "refresh") {
				seen[i] = fakePermits{row: config.Permits{Ejected: slices.Clone(tab.row.Ejected)}, revision: tab.revision}
			}
			from := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "from"))
			c.Accept(now, from, failureReport(rapid.SampledFrom(servers).Draw(t, "bad"), 8))
			for _, pr := range c.DueProbes(now, "a", seen[i].row) {
				c.RecordProbe(now, pr, anyResult.Draw(t, "probe"), time.Millisecond)
			}
			p, ok := c.Propose(now, "a", from, servers, seen[i].row, floor)
			if ok && seen[i].revision == tab.revision {
				tab = fakePermits{row: p.Permits, revision: tab.revision + 1}
			}
			must.LessEq(t, len(servers)-floor, len(tab.row.Ejected))
		}
	})
}

func failureReport(server string, n uint32) Report {
	w := WorkspaceCount{Workspace: "w", Attempts: n, Failed: n}
	return Report{Service: "a", DataCentre: "A", Rate: 10, Servers: []ServerCount{{Server: server, Workspaces: []WorkspaceCount{w}}}}
}
