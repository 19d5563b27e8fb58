package health

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

const fleet = 40

func newCollector() *Collector {
	c := NewCollector(DefaultSettings())
	c.SetFleetSize(fleet, 4)
	return c
}

// reportFrom is a report of instance i with failures of several workspaces.
func reportFrom(i int, server string, n uint32) Report {
	r := failures(server, n)
	r.DataCentre = string(rune('A' + i%4))
	other := r.Servers[0].Workspaces[0]
	other.Workspace = "v"
	r.Servers[0].Workspaces = append(r.Servers[0].Workspaces, other)
	return r
}

func ejected(c *Collector, now time.Duration, row config.Permits) []string {
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

// An instance's network, or a data centre's link to one server, loses packets
// one way. To those who sit behind it the server is dead; to all others it is
// well. Their reports alone, however many, must not take it from the others.
func TestEjectionNeedsSeveralPlaces(t *testing.T) {
	c := newCollector()
	for i := range 10 {
		c.Accept(0, fmt.Sprint(4*i), reportFrom(4*i, "s03", 10))
	}
	must.SliceEmpty(t, ejected(c, time.Millisecond, config.Permits{}))
	for i := 1; i < 4; i++ {
		c.Accept(0, fmt.Sprint(i), reportFrom(i, "s03", 2))
	}
	must.Eq(t, []string{"s03"}, ejected(c, time.Millisecond, config.Permits{}))
}

// A server fails requests while its own report says that it is healthy, and a
// healthy one says that it is sick. Only what callers meet counts.
func TestOwnReportIsNoEvidence(t *testing.T) {
	c := newCollector()
	for i := range 8 {
		c.AcceptSelfReport(0, "a", "s03", true)
		c.AcceptSelfReport(0, "a", "s04", false)
		c.Accept(0, fmt.Sprint(i), reportFrom(i, "s03", 1))
	}
	must.Eq(t, []string{"s03"}, ejected(c, time.Millisecond, config.Permits{}))
}

// A server that reports itself as sick is ejected on less evidence.
func TestOwnReportShortensSuspicion(t *testing.T) {
	plain, told := newCollector(), newCollector()
	told.AcceptSelfReport(0, "a", "s03", false)
	for i := range 3 {
		r := failures("s03", 1)
		r.Servers[0].Workspaces[0].Attempts = 4
		r.DataCentre = string(rune('A' + i))
		r.Servers[0].Workspaces[0].Workspace = fmt.Sprint("w", i)
		plain.Accept(0, fmt.Sprint(i), r)
		told.Accept(0, fmt.Sprint(i), r)
	}
	must.SliceEmpty(t, ejected(plain, time.Millisecond, config.Permits{}))
	must.Eq(t, []string{"s03"}, ejected(told, time.Millisecond, config.Permits{}))
}

// A server flaps: it fails, answers its probes, comes back and fails again.
// Let in after the same wait each time, it would fail some callers every few
// seconds. So each return within the probation doubles the wait.
func TestFlappingDoublesTheWait(t *testing.T) {
	c := newCollector()
	s := DefaultSettings()
	row := config.Permits{Ejected: []config.Ejection{{Server: "s03"}}}
	now := time.Duration(0)
	for round, want := range []time.Duration{s.ProbeWait, 2 * s.ProbeWait, 4 * s.ProbeWait} {
		start := now
		for len(ejected(c, now, row)) > 0 {
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

// Servers end while others are ejected. What is left may be below the floor;
// then ejections are given back, whatever the evidence.
func TestEjectionsAreGivenBackForTheFloor(t *testing.T) {
	c := newCollector()
	row := config.Permits{Ejected: []config.Ejection{{Server: "s00"}, {Server: "s01"}, {Server: "s02"}}}
	p, ok := c.Propose(0, "a", "me", ids(8), row, 7)
	must.True(t, ok)
	must.Eq(t, row.Ejected[:1], p.Permits.Ejected)
}

// One workspace sends broken requests, which fail wherever they go. No server
// is to blame. Another workspace fails at one server only, and it is.
func TestWorkspaceOrServer(t *testing.T) {
	o := newObserver()
	now := time.Duration(0)
	see := func(server, workspace string, r Result) {
		now += 10 * time.Millisecond
		o.Observe(now, Observation{Service: "a", Server: server, Workspace: workspace, Result: r, Latency: 20 * time.Millisecond})
	}
	list := ids(10)
	o.Weights(now, "a", "", list, 7)
	for i := range 200 {
		see(list[i%10], "good", OK)
		see(list[(i+3)%10], "broken", ServerError)
		corrupt := OK
		if i%10 == 4 {
			corrupt = ServerError
		}
		see(list[i%10], "corrupt", corrupt)
	}
	for i, s := range list {
		must.Eq(t, 1, o.Weight(now, "a", s, "good"), must.Sprint(s))
		must.Eq(t, 1, o.Weight(now, "a", s, "broken"), must.Sprint(s))
		must.Eq(t, i == 4, o.Weight(now, "a", s, "corrupt") < LowWeight, must.Sprint(s))
	}
}

// A slow server loses every hedge, so that its attempts end as cancelled.
// What was seen before, that they were late, must still count against it.
func TestCancelledHedgesDontHideASlowServer(t *testing.T) {
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

// Every server of 500 services fails. Reports must stay within their bytes,
// or an instance would spend its network on complaints when it needs it most.
func TestReportsStayWithinTheirBytes(t *testing.T) {
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
