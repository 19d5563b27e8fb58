package edge

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/evidence"
	"foxtailspoke/replica"
)

// The store is restored from a backup and its clock goes back. Earlier proofs
// must neither look fresh because of that nor stay old for ever, and the first
// answers after the restore prove nothing about keys that operators have to
// revoke again.
func TestProofsKeepTheirAgeAfterStoreRestore(t *testing.T) {
	e := newIdleInstance(t)
	now := e.now()
	must.True(t, e.observeStore(0, 100*time.Second, now))
	e.recordProof(evidence.Config, 100*time.Second, now)
	now += 3 * time.Second
	must.True(t, e.observeStore(1, 20*time.Second, now))
	must.Eq(t, 3*time.Second, e.configAge(now))
	e.recordProof(evidence.Config, 20*time.Second, now)
	must.Eq(t, 3*time.Second, e.configAge(now))
	now += configRewriteTime
	must.True(t, e.observeStore(1, 20*time.Second+configRewriteTime, now))
	e.recordProof(evidence.Config, 20*time.Second+configRewriteTime, now)
	must.Eq(t, 0, e.configAge(now))
}

// A table update sent before the store was restored arrives afterwards. It must
// neither bring back data that the store has lost nor set the clock.
func TestUpdateOfEarlierEraIsIgnored(t *testing.T) {
	e := newIdleInstance(t)
	now := e.now()
	must.True(t, e.observeStore(1, 100*time.Second, now))
	_, ok := e.applyReadResult(evidence.Servers, replica.ReadResult{Era: 1, Version: 5, Full: true}, 0, now)
	must.True(t, ok)
	e.applyTableUpdate(evidence.TableUpdate{Table: evidence.Servers, Since: 5, Version: 80, StoreClockUS: 180_000_000}, now)
	at, _ := e.state.servers.Position()
	must.Eq(t, replica.Position{Era: 1, Version: 5}, at)
	must.Eq(t, replica.Position{}, e.state.announced[evidence.Servers].Position)
	clock, _ := e.state.clock.Now(now)
	must.Eq(t, 100*time.Second, clock)
}

// The store is restored without the row of an instance that is cut off from the
// others. If that unlisted the instance, its share of every rate would be used
// twice.
func TestStoreRestoreDoesNotUnlistInstances(t *testing.T) {
	e := newIdleInstance(t)
	now := e.now()
	row := replica.Row{Key: "10.0.0.7", Value: []byte(`{"dataCentre":"dc"}`), Version: 3}
	must.True(t, e.observeStore(0, 100*time.Second, now))
	_, ok := e.applyReadResult(evidence.Instances, replica.ReadResult{Version: 3, Full: true, Rows: []replica.Row{row}}, 0, now)
	must.True(t, ok)
	listed := func() bool { return e.state.messenger.Fleet().All()[0x0a000007].Listed }
	must.True(t, listed())
	must.True(t, e.observeStore(1, 103*time.Second, now))
	_, ok = e.applyReadResult(evidence.Instances, replica.ReadResult{Era: 1, Version: 1, Full: true}, 0, now)
	must.True(t, ok)
	must.True(t, listed())
	removed := replica.ReadResult{Era: 1, Version: 2, Rows: []replica.Row{{Key: "10.0.0.7", Gone: true, Version: 2}}}
	e.state.instances.ApplyOwnWrite(row)
	_, ok = e.applyReadResult(evidence.Instances, removed, 1, now)
	must.True(t, ok)
	must.False(t, listed())
}

func configRow(version string, at uint64) replica.Row {
	return replica.Row{Key: "config", Value: []byte(`{"version":"` + version + `","routes":[]}`), Version: at}
}

// The store is restored with an older configuration, and an instance starts
// before operators have written theirs again. It must receive the newer active
// configuration from a peer; with the older one it would accept revoked keys.
func TestNewInstanceReceivesActiveConfiguration(t *testing.T) {
	e, newInstance := newIdleInstance(t), newIdleInstance(t)
	now := e.now()
	apply := func(era uint64, row replica.Row) {
		t.Helper()
		must.True(t, e.observeStore(era, 100*time.Second, now))
		a := replica.ReadResult{Era: era, Version: row.Version, Full: true, Rows: []replica.Row{row}}
		_, ok := e.applyReadResult(evidence.Config, a, 0, now)
		must.True(t, ok)
	}
	apply(0, configRow("0000001f", 30))
	apply(1, configRow("00000016", 20))
	must.Eq(t, 31, e.state.table.Version)
	newInstance.applySnapshot(e.snapshot(now), now)
	must.Eq(t, 31, newInstance.state.table.Version)
	must.Eq(t, replica.Position{Era: 1, Version: 20}, newInstance.configRowPosition())
}

// The store is restored from a backup older than the first configuration.
// Instances keep the configuration that they have. They must neither search for
// another one all the time nor lose the proof of its age.
func TestRestoreToBeforeFirstConfiguration(t *testing.T) {
	e := newIdleInstance(t)
	now := e.now()
	row := configRow("0000001f", 30)
	must.True(t, e.observeStore(0, 100*time.Second, now))
	_, ok := e.applyReadResult(evidence.Config, replica.ReadResult{Version: 30, Full: true, Rows: []replica.Row{row}}, 0, now)
	must.True(t, ok)
	must.True(t, e.observeStore(1, 100*time.Second, now))
	_, ok = e.applyReadResult(evidence.Config, replica.ReadResult{Era: 1, Version: 5, Full: true}, 0, now)
	must.True(t, ok)
	now += 2 * configRewriteTime
	e.applyTableUpdate(evidence.TableUpdate{Table: evidence.Config, Era: 1, Version: 5, StoreClockUS: 102_000_000}, now)
	must.True(t, e.hasAnnouncedConfig())
	must.Eq(t, 0, e.configAge(now))
	must.Eq(t, 31, e.state.table.Version)
	newInstance := newIdleInstance(t)
	newInstance.applySnapshot(e.snapshot(now), now)
	must.Eq(t, 31, newInstance.state.table.Version)
}
