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

// A caller's requests fail all over a service. An instance that then took
// most servers out of use would send all requests to the few that are left,
// and bring them down too. Whatever it observes and is told, enough servers
// keep a weight, and none is cut off entirely.
func TestWeightsKeepTheFloor(t *testing.T) {
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

// table is a fake of the permits row: it takes a write only if the writer saw
// the newest revision.
type table struct {
	row      config.Permits
	revision int
}

// Two instances believe that they collect for a service; each sees part of
// the evidence, often against different servers, and an old copy of the row.
// Their ejections together must leave the floor in use.
func TestRacingCollectorsKeepTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := ids(rapid.IntRange(2, 10).Draw(t, "servers"))
		floor := rapid.IntRange(0, len(servers)).Draw(t, "floor")
		var tab table
		seen := [2]table{}
		collectors := [2]*Collector{NewCollector(DefaultSettings()), NewCollector(DefaultSettings())}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, 1).Draw(t, "collector")
			c := collectors[i]
			if rapid.Bool().Draw(t, "refresh") {
				seen[i] = table{row: config.Permits{Ejected: slices.Clone(tab.row.Ejected)}, revision: tab.revision}
			}
			from := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "from"))
			c.Accept(now, from, failures(rapid.SampledFrom(servers).Draw(t, "bad"), 8))
			for _, pr := range c.DueProbes(now, "a", seen[i].row) {
				c.RecordProbe(now, pr, anyResult.Draw(t, "probe"), time.Millisecond)
			}
			p, ok := c.Propose(now, "a", from, servers, seen[i].row, floor)
			if ok && seen[i].revision == tab.revision {
				tab = table{row: p.Permits, revision: tab.revision + 1}
			}
			must.LessEq(t, len(servers)-floor, len(tab.row.Ejected))
		}
	})
}

func failures(server string, n uint32) Report {
	w := WorkspaceCount{Workspace: "w", Attempts: n, Failed: n}
	return Report{Service: "a", DataCentre: "A", Rate: 10, Servers: []ServerCount{{Server: server, Workspaces: []WorkspaceCount{w}}}}
}
