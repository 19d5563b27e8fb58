package edge

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/entry/clock"
	"foxtailspoke/evidence"
	"foxtailspoke/fleet"
	"foxtailspoke/freshness"
	"foxtailspoke/health"
	"foxtailspoke/placement"
	"foxtailspoke/replica"
	"foxtailspoke/routing"
	"foxtailspoke/throttle"
)

// A machine is gone for good and another has replaced it. While the row of the
// first remains, every workspace lacks that share of its rate.
func TestGoneInstancesAreRemovedFromTheList(t *testing.T) {
	e := &Edge{self: 1}
	e.state.messenger = fleet.NewMessenger(fleet.Settings{Self: e.selfMember()})
	others := e.state.messenger.Fleet()
	others.GetOrAdd(2, time.Second).Listed = true
	alive, _ := others.MarkAlive(3, time.Second)
	alive.Listed = true
	others.GetOrAdd(4, time.Second)
	must.Len(t, 0, e.goneInstanceRows(time.Minute))
	rows := e.goneInstanceRows(time.Second + removeInstanceAfter + 1)
	must.Len(t, 1, rows)
	must.Eq(t, "0.0.0.2", rows[0].Key)
	must.True(t, rows[0].Gone)
}

// After an outage the store has answered the read of the configuration, but not
// yet that of the servers. An instance that reported ready then would refuse
// all requests.
func TestInstanceWithoutServersIsNotReady(t *testing.T) {
	e := &Edge{self: 1, clock: clock.New()}
	s := &e.state
	s.bounds = freshness.NewBounds(5*time.Second, 2*time.Second, 2*time.Second)
	s.servers = replica.NewTable()
	s.table = routing.NewTable(routing.Config{})
	s.clock.Observe(time.Second, e.now())
	s.configProof, s.configProved = time.Second, true
	must.False(t, e.readyLocked())
	s.servers.Apply(replica.ReadResult{Full: true, Version: 1}, 0)
	must.True(t, e.readyLocked())
}

// An instance is killed and restarts half a second later. Its peers had
// received a hundred messages of the earlier process; without a new epoch they
// would ignore as many of the new one, with its outstanding attempts, usage and
// readiness.
func TestRestartWithinASecondIsDetected(t *testing.T) {
	var m fleet.Instance
	for _, sequence := range []uint32{100, 1} {
		must.Eq(t, fleet.Receipt{New: true, Restarted: true}, m.MarkSeen(newEpoch(), sequence, time.Second))
	}
}

// An instance that has just started has no proof of freshness. Log lines must
// omit the age; a placeholder number would read as an age of a hundred years.
func TestUnknownAgesAreOmittedFromLogs(t *testing.T) {
	must.True(t, ageAttr((&freshness.PollSchedule{}).Age(time.Minute)).Equal(slog.Attr{}))
	must.True(t, ageAttr(2*time.Second).Equal(slog.Int64("age_ms", 2000)))
}

// A route's timeout is shorter than its work, so servers report a failure at
// the deadline that they were sent. If that counted against them, a few such
// requests would make all healthy servers of the service unusable.
func TestFailureAtDeadlineIsNotCounted(t *testing.T) {
	c := &call{deadline: 2 * time.Second}
	a := &attempt{result: health.ServerError, start: time.Second, took: time.Second - deadlineMargin}
	must.Eq(t, health.Cancelled, serverResult(c, a))
	a.took = 500 * time.Millisecond
	must.Eq(t, health.ServerError, serverResult(c, a))
}

// Another instance reports an answer without a limit that the server sent
// before it set one. It must not end the limit. An answer to a request sent
// well after must end it, even if the first such report was lost.
func TestLateAnswersOfOtherInstancesDoNotEndALimit(t *testing.T) {
	e := &Edge{self: 1}
	e.state.placer, e.state.throttle = placement.New(), throttle.NewLimiter(1)
	milli := uint32(2500)
	e.applyPeerLimit(evidence.Attempt{Server: 9, Ended: true, LimitMilli: &milli}, 10*time.Second)
	limit, limited := e.state.throttle.Limit(9)
	must.True(t, limited)
	must.Eq(t, 2.5, limit)
	for _, a := range []evidence.Attempt{
		{Server: 9, Ended: true, LatencyMS: 300},
		{Server: 9, Ended: true, LatencyMS: 3000},
		{Server: 9, Ended: true, Result: health.Incomplete, LatencyMS: 10},
		{Server: 9, Ended: true},
	} {
		e.applyPeerLimit(a, 11*time.Second)
		_, limited = e.state.throttle.Limit(9)
		must.True(t, limited)
	}
	e.applyPeerLimit(evidence.Attempt{Server: 9, Ended: true, LatencyMS: 300}, 12*time.Second)
	_, limited = e.state.throttle.Limit(9)
	must.False(t, limited)
}

// An instance starts during a store outage and fetches its data from a peer. If
// it took a configuration that is three seconds old for fresh, a revoked key
// would work three seconds longer.
func TestSnapshotKeepsTheAgeOfItsSource(t *testing.T) {
	source, newInstance := newIdleInstance(t), newIdleInstance(t)
	now := source.now()
	source.state.clock.Observe(100*time.Second, now)
	source.state.config.Apply(replica.ReadResult{Version: 5, Full: true}, 0)
	source.recordProof(evidence.Config, 100*time.Second, now)
	now += 3 * time.Second
	newInstance.applySnapshot(source.snapshot(now), now)
	must.Eq(t, 3*time.Second, newInstance.configAge(now))
}
