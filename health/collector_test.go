package health

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

const fleetSize = 40

func newCollector() *Collector {
	c := NewCollector(DefaultSettings())
	c.SetFleetSize(fleetSize, 4)
	return c
}

// reportFrom returns a report of instance i with failures of two workspaces.
func reportFrom(i int, server string, n uint32) Report {
	r := failureReport(server, n)
	r.DataCentre = string(rune('A' + i%4))
	other := r.Servers[0].Workspaces[0]
	other.Workspace = "v"
	r.Servers[0].Workspaces = append(r.Servers[0].Workspaces, other)
	return r
}

func ejectedServers(c *Collector, now time.Duration, row config.Permits) []string {
	p, ok := c.Propose(now, "a", "me", ids(10), row, 7)
	if !ok {
		p.Permits = row
	}
	var list []string
	for _, e := range p.Permits.Ejected {
		list = append(list, e.Server)
	}
	return list
}

// A server must not be ejected on the reports of one data centre, however
// many they are. If the network of an instance, or the link of a data centre
// to one server, loses packets in one direction, the server looks dead from
// there and is healthy for all others.
func TestEjectionNeedsSeveralDataCentres(t *testing.T) {
	c := newCollector()
	for i := range 10 {
		c.Accept(0, fmt.Sprint(4*i), reportFrom(4*i, "s03", 10))
	}
	must.SliceEmpty(t, ejectedServers(c, time.Millisecond, config.Permits{}))
	for i := 1; i < 4; i++ {
		c.Accept(0, fmt.Sprint(i), reportFrom(i, "s03", 2))
	}
	must.Eq(t, []string{"s03"}, ejectedServers(c, time.Millisecond, config.Permits{}))
}

// A failing server that reports itself as healthy is ejected, and a healthy
// one that reports itself as sick isn't. Only the results of callers'
// requests count as evidence.
func TestSelfReportIsNoEvidence(t *testing.T) {
	c := newCollector()
	for i := range 8 {
		c.AcceptSelfReport(0, "a", "s03", true)
		c.AcceptSelfReport(0, "a", "s04", false)
		c.Accept(0, fmt.Sprint(i), reportFrom(i, "s03", 1))
	}
	must.Eq(t, []string{"s03"}, ejectedServers(c, time.Millisecond, config.Permits{}))
}

// A server that reports itself as sick is ejected on less evidence.
func TestSickSelfReportLowersThreshold(t *testing.T) {
	unreported, reported := newCollector(), newCollector()
	reported.AcceptSelfReport(0, "a", "s03", false)
	for i := range 3 {
		r := failureReport("s03", 1)
		r.Servers[0].Workspaces[0].Attempts = 4
		r.DataCentre = string(rune('A' + i))
		r.Servers[0].Workspaces[0].Workspace = fmt.Sprint("w", i)
		unreported.Accept(0, fmt.Sprint(i), r)
		reported.Accept(0, fmt.Sprint(i), r)
	}
	must.SliceEmpty(t, ejectedServers(unreported, time.Millisecond, config.Permits{}))
	must.Eq(t, []string{"s03"}, ejectedServers(reported, time.Millisecond, config.Permits{}))
}

// Guards against a flapping server, which fails, passes its probes, returns
// and fails again. With a constant wait before the probes it would fail some
// requests every few seconds, so each ejection within the probation doubles
// the wait.
func TestFlappingDoublesProbeWait(t *testing.T) {
	c := newCollector()
	s := DefaultSettings()
	row := config.Permits{Ejected: []config.Ejection{{Server: "s03"}}}
	now := time.Duration(0)
	for round, want := range []time.Duration{s.ProbeWait, 2 * s.ProbeWait, 4 * s.ProbeWait} {
		start := now
		for len(ejectedServers(c, now, row)) > 0 {
			for _, pr := range c.DueProbes(now, "a", row) {
				c.RecordProbe(now, pr, OK, time.Millisecond)
			}
			now += 100 * time.Millisecond
		}
		must.Between(t, want, now-start, want+4*s.ProbeInterval, must.Sprint(round))
		c.DueProbes(now, "a", config.Permits{})
		now += time.Second
	}
}

// When servers end while others are ejected, the rest may be below the
// floor. Ejections are then reverted, whatever the evidence.
func TestEjectionsRevertedToKeepFloor(t *testing.T) {
	c := newCollector()
	row := config.Permits{Ejected: []config.Ejection{{Server: "s00"}, {Server: "s01"}, {Server: "s02"}}}
	p, ok := c.Propose(0, "a", "me", ids(8), row, 7)
	must.True(t, ok)
	must.Eq(t, row.Ejected[:1], p.Permits.Ejected)
}

// A workspace whose bad requests fail at every server lowers no server's
// weight. A workspace that fails at a single server lowers that server's
// weight, for this workspace only.
func TestWorkspaceFaultVersusServerFault(t *testing.T) {
	o := newObserver()
	now := time.Duration(0)
	observe := func(server, workspace string, r Result) {
		now += 10 * time.Millisecond
		o.Observe(now, Observation{Service: "a", Server: server, Workspace: workspace, Result: r, Latency: 20 * time.Millisecond})
	}
	list := ids(10)
	o.Weights(now, "a", "", list, 7)
	for i := range 200 {
		observe(list[i%10], "good", OK)
		observe(list[(i+3)%10], "broken", ServerError)
		corrupt := OK
		if i%10 == 4 {
			corrupt = ServerError
		}
		observe(list[i%10], "corrupt", corrupt)
	}
	for i, s := range list {
		must.Eq(t, 1, o.Weight(now, "a", s, "good"), must.Sprint(s))
		must.Eq(t, 1, o.Weight(now, "a", s, "broken"), must.Sprint(s))
		must.Eq(t, i == 4, o.Weight(now, "a", s, "corrupt") < LowWeight, must.Sprint(s))
	}
}

// The attempts at a slow server lose to their hedges and end as cancelled.
// That they were observed as late before must still count against the
// server.
func TestCancelledHedgesDontHideSlowServer(t *testing.T) {
	o := newObserver()
	list := ids(10)
	o.Weights(0, "a", "", list, 7)
	for i := range 100 {
		o.Observe(0, Observation{Service: "a", Server: list[i%10], Workspace: fmt.Sprint(i % 3), Latency: 20 * time.Millisecond})
	}
	for i := range 3 {
		ob := Observation{Service: "a", Server: "s05", Workspace: fmt.Sprint(i), Result: Late, Latency: 60 * time.Millisecond}
		o.Observe(time.Second, ob)
		ob.Result, ob.ReportedLate = Cancelled, true
		o.Observe(time.Second, ob)
	}
	must.Less(t, LowWeight, o.Weight(time.Second, "a", "s05", ""))
}

// When every server of 500 services fails, reports must stay within their
// byte limit. Otherwise an instance would use up its network capacity for
// reports when it is needed most.
func TestReportsStayWithinByteLimit(t *testing.T) {
	o := newObserver()
	sent, encoded, reports := 0, 0, 0
	const seconds = 20
	for ms := range seconds * 1000 {
		now := time.Duration(ms) * time.Millisecond
		ob := Observation{Service: fmt.Sprintf("service-%03d", ms*7%500), Server: fmt.Sprintf("server-%05d", ms*13%1000), Workspace: fmt.Sprintf("workspace-%d", ms%50), Result: Timeout}
		o.Observe(now, ob)
		if ms%100 != 0 {
			continue
		}
		for _, r := range o.DueReports(now) {
			b, err := json.Marshal(r)
			must.NoError(t, err)
			sent += r.Size()
			encoded += len(b)
			reports++
		}
	}
	must.LessEq(t, DefaultSettings().ReportBytes*(seconds+1), float64(sent))
	t.Logf("%d reports, %d bytes by Size, %d as JSON, in %d s", reports, sent, encoded, seconds)
}
