package edge

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/evidence"
	"foxtailspoke/replica"
)

// The store comes back from a copy with its clock set back. Proofs of before must
// neither look fresh by that nor old for ever, and its first answers prove nothing
// about keys that operators have to take away once more.
func TestProofsKeepTheirAgeWhenTheStoreComesBack(t *testing.T) {
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

// A message of before the store's return arrives after it. It must not bring back
// what the store has forgotten, nor set the clock.
func TestWordOfAPassedEraIsIgnored(t *testing.T) {
	e := newIdleInstance(t)
	now := e.now()
	must.True(t, e.observeStore(1, 100*time.Second, now))
	_, ok := e.applyAnswer(evidence.Servers, replica.Answer{Era: 1, Version: 5, Whole: true}, 0, now)
	must.True(t, ok)
	e.applyNotice(evidence.Notice{Table: evidence.Servers, Since: 5, Version: 80, StampUS: 180_000_000}, now)
	at, _ := e.state.servers.Point()
	must.Eq(t, replica.Point{Era: 1, Version: 5}, at)
	must.Eq(t, replica.Point{}, e.state.serversTold)
	clock, _ := e.state.clock.Store(now)
	must.Eq(t, 100*time.Second, clock)
}

// The store comes back from a copy without the row of an instance that is cut off
// from the others. Forgotten, its part of every rate would be used twice.
func TestCopyDoesNotUnlistInstances(t *testing.T) {
	e := newIdleInstance(t)
	now := e.now()
	row := replica.Row{Key: "10.0.0.7", Value: []byte(`{"dataCentre":"dc"}`), Version: 3}
	must.True(t, e.observeStore(0, 100*time.Second, now))
	_, ok := e.applyAnswer(evidence.Instances, replica.Answer{Version: 3, Whole: true, Rows: []replica.Row{row}}, 0, now)
	must.True(t, ok)
	listed := func() bool { return e.state.messenger.Fleet().All()[0x0a000007].Listed }
	must.True(t, listed())
	must.True(t, e.observeStore(1, 103*time.Second, now))
	_, ok = e.applyAnswer(evidence.Instances, replica.Answer{Era: 1, Version: 1, Whole: true}, 0, now)
	must.True(t, ok)
	must.True(t, listed())
	removed := replica.Answer{Era: 1, Version: 2, Rows: []replica.Row{{Key: "10.0.0.7", Gone: true, Version: 2}}}
	e.state.instances.Note(row)
	_, ok = e.applyAnswer(evidence.Instances, removed, 1, now)
	must.True(t, ok)
	must.False(t, listed())
}

func configRow(version string, at uint64) replica.Row {
	return replica.Row{Key: "config", Value: []byte(`{"version":"` + version + `","routes":[]}`), Version: at}
}

// The store comes back from a copy with an older configuration, and an instance
// starts before operators have written theirs again. It learns from another that
// still acts on the newer one; taking the older one, it would accept keys that were
// taken away.
func TestNewcomerLearnsTheConfigurationInForce(t *testing.T) {
	e, newcomer := newIdleInstance(t), newIdleInstance(t)
	now := e.now()
	take := func(era uint64, row replica.Row) {
		t.Helper()
		must.True(t, e.observeStore(era, 100*time.Second, now))
		a := replica.Answer{Era: era, Version: row.Version, Whole: true, Rows: []replica.Row{row}}
		_, ok := e.applyAnswer(evidence.Config, a, 0, now)
		must.True(t, ok)
	}
	take(0, configRow("0000001f", 30))
	take(1, configRow("00000016", 20))
	must.Eq(t, 31, e.state.table.Version)
	newcomer.applySnapshot(e.snapshot(now), now)
	must.Eq(t, 31, newcomer.state.table.Version)
	must.Eq(t, replica.Point{Era: 1, Version: 20}, newcomer.configRowPoint())
}

// The store comes back from a copy of before the first configuration. Instances
// that have one act on it, and must not look for another one all the time, nor lose
// the proof of its age.
func TestCopyWithoutAConfiguration(t *testing.T) {
	e := newIdleInstance(t)
	now := e.now()
	row := configRow("0000001f", 30)
	must.True(t, e.observeStore(0, 100*time.Second, now))
	_, ok := e.applyAnswer(evidence.Config, replica.Answer{Version: 30, Whole: true, Rows: []replica.Row{row}}, 0, now)
	must.True(t, ok)
	must.True(t, e.observeStore(1, 100*time.Second, now))
	_, ok = e.applyAnswer(evidence.Config, replica.Answer{Era: 1, Version: 5, Whole: true}, 0, now)
	must.True(t, ok)
	now += 2 * configRewriteTime
	e.applyNotice(evidence.Notice{Table: evidence.Config, Era: 1, Version: 5, StampUS: 102_000_000}, now)
	must.True(t, e.hasAnnouncedConfig())
	must.Eq(t, 0, e.configAge(now))
	must.Eq(t, 31, e.state.table.Version)
	newcomer := newIdleInstance(t)
	newcomer.applySnapshot(e.snapshot(now), now)
	must.Eq(t, 31, newcomer.state.table.Version)
}
