package edge

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/quarantine"
	"foxtailspoke/replica"
)

// suspectEdge returns an instance that knows no request under which servers ended. Its clock
// is that of the store.
func suspectEdge() *Edge {
	e := &Edge{log: slog.New(slog.DiscardHandler), storeSuspectsNow: make(chan struct{}, 1)}
	e.state.instances = replica.NewTable()
	e.state.quarantine = quarantine.NewTracker(true, 0)
	e.state.unstoredSuspects = make(map[quarantine.Fingerprint]struct{})
	e.state.clock.Observe(0, 0)
	return e
}

// Guards against rows that lose ends, or the response that acquits a request, on their way
// through the store.
func TestSuspectRequestsSurviveInTheStore(t *testing.T) {
	const request, now = quarantine.Fingerprint(7), time.Hour
	e := suspectEdge()
	e.state.quarantine.RecordEnd(request, 1, now)
	e.state.quarantine.RecordEnd(request, 2, now)
	e.storeSuspect(request)
	rows := e.takeSuspectRows(now)
	must.Len(t, 1, rows)
	must.SliceEmpty(t, e.takeSuspectRows(now))

	other := suspectEdge()
	must.True(t, other.applySuspectRow(rows[0], now+time.Second))
	left, withheld := other.state.quarantine.Withheld(request, true, now+time.Second)
	must.True(t, withheld)
	must.Between(t, 58*time.Second, left, 59*time.Second+time.Millisecond)

	e.state.quarantine.RecordServed(request, now+2*time.Second)
	e.storeSuspect(request)
	rows = e.takeSuspectRows(now + 2*time.Second)
	other.applySuspectRow(rows[0], now+3*time.Second)
	_, withheld = other.state.quarantine.Withheld(request, true, now+3*time.Second)
	must.False(t, withheld)
}

// Guards against rows of another writer that stop an instance, or that it takes for instances.
func TestUnreadableSuspectRowsAreIgnored(t *testing.T) {
	e := suspectEdge()
	for _, r := range []replica.Row{
		{Key: "request/xyz", Value: []byte(`{}`)}, {Key: "request/7", Value: []byte(`[`)}, {Key: "request/7", Gone: true}, {Key: "request/"},
	} {
		must.True(t, e.applySuspectRow(r, time.Hour))
	}
	must.True(t, e.state.quarantine.Empty())
	must.False(t, e.applySuspectRow(replica.Row{Key: "10.0.0.1"}, time.Hour))
}

// Guards against a table that grows without bound.
func TestSuspectRowsAreBounded(t *testing.T) {
	e := suspectEdge()
	now := time.Hour
	for range 20 {
		for i := range quarantine.Fingerprint(100) {
			f := quarantine.Fingerprint(now) + i + 1
			e.state.quarantine.RecordEnd(f, 1, now)
			e.storeSuspect(f)
		}
		rows := e.takeSuspectRows(now)
		must.LessEq(t, maxRowsPerWrite, len(rows))
		for _, r := range rows {
			e.state.instances.ApplyOwnWrite(r)
		}
		now += time.Second
	}
	must.Eq(t, maxSuspectRows, len(e.suspectRows()))
	must.SliceEmpty(t, e.oldSuspectRows(now))
	must.Len(t, maxRowsPerWrite, e.oldSuspectRows(now+suspectRowRetention))
}
