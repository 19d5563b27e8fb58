package edge

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/discovery"
	"foxtailspoke/edge/settings"
	"foxtailspoke/evidence"
	"foxtailspoke/logging"
	"foxtailspoke/placement"
	"foxtailspoke/replica"
)

// newIdleInstance returns an instance that listens but isn't run; the test
// calls its methods.
func newIdleInstance(t testing.TB) *Edge {
	t.Helper()
	const any = "127.0.0.1:0"
	e, err := New("", settings.Settings{
		Name: "edge", DataCentre: "dc", IP: "127.0.0.1",
		Listen: settings.Listen{Callers: any, Readiness: any, Directory: any, Peers: any, Metrics: any, Forwarding: any},
		Store:  settings.Store{Address: any},
		Bounds: settings.Bounds{RevokeS: 5, RetryRatio: 0.2, RetrySlack: 50, RateWindowS: 5},
	}, logging.NewWriter(io.Discard))
	must.NoError(t, err)
	return e
}

// pollAndNotify applies the read of a table to the polling instance and its
// updates to the other one.
func pollAndNotify(asker, other *Edge, a replica.ReadResult, at time.Duration) {
	asker.mu.Lock()
	defer asker.mu.Unlock()
	since, _ := asker.state.servers.Version()
	p := tableRead{table: evidence.Servers, since: since, result: a}
	asker.observeStore(a.Era, a.StoreTime, at)
	asker.recordOutageEnd(p.table, a.StoreTime, at)
	changed, _ := asker.applyReadResult(p.table, a, since, at)
	updates := asker.tableUpdatesFor(p, changed)
	asker.recordProof(p.table, a.StoreTime, at)
	other.mu.Lock()
	defer other.mu.Unlock()
	for _, n := range updates {
		other.applyTableUpdate(n, at)
	}
}

func serverRow(t *testing.T, id string, version uint64) replica.Row {
	t.Helper()
	b, err := json.Marshal(map[string]any{
		"service": "s", "address": "10.0.0.9:80", "zone": "dc", "slots": 2, "state": "ready", "born": 1,
	})
	must.NoError(t, err)
	return replica.Row{Key: id, Value: b, Version: version}
}

// A server's entry expires during a store outage and reappears unchanged within
// the grace period. The polling instance took it for known and did not forward
// it, so that all others dropped a live server. One of these later read that
// the server leaves, had no entry to remove and did not forward that either, so
// that the rest kept sending requests to the server.
func TestExpiredEntryThatReappearsIsForwarded(t *testing.T) {
	one, two := newIdleInstance(t), newIdleInstance(t)
	hasServer := func(e *Edge) bool {
		e.expireServers(e.now())
		_, known := e.state.serverList.Get("i-1")
		return known
	}
	at := one.now()
	storeTime := 100 * time.Second
	answer := func(version uint64, rows ...replica.Row) replica.ReadResult {
		return replica.ReadResult{Version: version, StoreTime: storeTime, Rows: rows}
	}
	whole := answer(10, serverRow(t, "i-1", 10))
	whole.Full = true
	pollAndNotify(one, two, whole, at)
	pollAndNotify(two, one, whole, at)
	must.True(t, hasServer(one) && hasServer(two))

	// After the outage the entry is missing and then reappears.
	at += 5 * time.Second
	storeTime += 5 * time.Second
	pollAndNotify(one, two, answer(11, replica.Row{Key: "i-1", Gone: true, Version: 11}), at)
	at += 500 * time.Millisecond
	storeTime += 500 * time.Millisecond
	pollAndNotify(one, two, answer(12, serverRow(t, "i-1", 12)), at)
	for _, e := range []*Edge{one, two} {
		for _, c := range e.state.serverList.Expire(at + discovery.RemovalGracePeriod) {
			t.Errorf("%s was dropped although its entry has reappeared", c.Server.ID)
		}
		must.Len(t, 1, e.state.servers.Rows())
	}

	// The server leaves, and the other instance reads that.
	at += 10 * time.Second
	storeTime += time.Second
	pollAndNotify(two, one, answer(13, replica.Row{Key: "i-1", Gone: true, Version: 13}), at)
	for _, e := range []*Edge{one, two} {
		_, known := e.state.serverList.Get("i-1")
		must.False(t, known)
		_, known = e.state.placer.Choose(placement.Request{Service: "s"}, at, func() float64 { return 0 })
		must.False(t, known)
	}
}
