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

// A machine is gone for good and another has taken its place. As long as the
// row of the first stands, every workspace lacks its part of the rate.
func TestInstancesThatAreGoneForGoodLeaveTheList(t *testing.T) {
	e := &Edge{self: 1}
	e.state.messenger = fleet.NewMessenger(fleet.Settings{Self: e.selfMember()})
	others := e.state.messenger.Fleet()
	others.Meet(2, time.Second).Listed = true
	alive, _ := others.Touch(3, time.Second)
	alive.Listed = true
	others.Meet(4, time.Second)
	must.Len(t, 0, e.goneInstanceRows(time.Minute))
	rows := e.goneInstanceRows(time.Second + removeInstanceAfter + 1)
	must.Len(t, 1, rows)
	must.Eq(t, "0.0.0.2", rows[0].Key)
	must.True(t, rows[0].Gone)
}

// The store is back and has answered the call for the configuration, but not
// yet that for the servers. Callers sent here now would all be refused.
func TestInstanceWithoutServersIsntReady(t *testing.T) {
	e := &Edge{self: 1, clock: clock.New()}
	s := &e.state
	s.bounds = freshness.NewBounds(5 * time.Second)
	s.servers = replica.NewTable()
	s.table = routing.NewTable(routing.Config{})
	s.clock.Observe(time.Second, e.now())
	s.configProof, s.proved = time.Second, true
	must.False(t, e.readyLocked())
	s.servers.Apply(replica.Answer{Whole: true, Version: 1}, 0)
	must.True(t, e.readyLocked())
}

// An instance is killed and back half a second later. The others had heard a
// hundred messages of its former life, and ignored as many of its new one:
// what it did at servers and admitted for workspaces, and whether it was ready.
func TestRestartWithinASecondIsHeardAtOnce(t *testing.T) {
	var m fleet.Instance
	for _, sequence := range []uint32{100, 1} {
		fresh, restarted := m.Fresh(newEpoch(), sequence)
		must.True(t, fresh)
		must.True(t, restarted)
	}
}

// An instance that has just started knows nothing yet. Its lines leave the age
// out; a number in its place reads like an age of a hundred years.
func TestUnknownAgesAreLeftOutOfLines(t *testing.T) {
	must.True(t, ageOf((&freshness.Poll{}).Age(time.Minute)).Equal(slog.Attr{}))
	must.True(t, ageOf(2*time.Second).Equal(slog.Int64("age_ms", 2000)))
}

// A route's time is shorter than its work. Servers work until the deadline that
// they were sent and then report a failure. If that counted against them, a few
// such requests would leave all healthy servers of the service out of use.
func TestFailureAtTheDeadlineTellsNothingOfTheServer(t *testing.T) {
	c := &call{deadline: 2 * time.Second}
	a := &attempt{result: health.ServerError, start: time.Second, took: time.Second - deadlineMargin}
	must.Eq(t, health.Cancelled, serverResult(c, a))
	a.took = 500 * time.Millisecond
	must.Eq(t, health.ServerError, serverResult(c, a))
}

// An answer that left a server before it named its limit comes after one that names
// it, by way of another instance. It must not end the limit; one to a request that
// was sent well after must, also if the first news of the end was lost.
func TestLateAnswersOfOthersDontEndALimit(t *testing.T) {
	e := &Edge{self: 1}
	e.state.placer, e.state.throttle = placement.New(), throttle.NewLimiter(1)
	milli := uint32(2500)
	e.applyLimit(evidence.Attempt{Server: 9, Ended: true, LimitMilli: &milli}, 10*time.Second)
	limit, limited := e.state.throttle.Limit(9)
	must.True(t, limited)
	must.Eq(t, 2.5, limit)
	for _, a := range []evidence.Attempt{
		{Server: 9, Ended: true, TookMS: 300},
		{Server: 9, Ended: true, TookMS: 3000},
		{Server: 9, Ended: true, Result: health.Incomplete, TookMS: 10},
		{Server: 9, Ended: true},
	} {
		e.applyLimit(a, 11*time.Second)
		_, limited = e.state.throttle.Limit(9)
		must.True(t, limited)
	}
	e.applyLimit(evidence.Attempt{Server: 9, Ended: true, TookMS: 300}, 12*time.Second)
	_, limited = e.state.throttle.Limit(9)
	must.False(t, limited)
}

// An instance starts while the store is away and learns everything from another.
// Taken for fresh, a configuration that is three seconds old would let a key that
// was taken away work for three seconds longer.
func TestSnapshotIsAsOldAsItsSourceSays(t *testing.T) {
	source, newcomer := newIdleInstance(t), newIdleInstance(t)
	now := source.now()
	source.state.clock.Observe(100*time.Second, now)
	source.state.config.Apply(replica.Answer{Version: 5, Whole: true}, 0)
	source.recordProof(evidence.Config, 100*time.Second, now)
	now += 3 * time.Second
	newcomer.applySnapshot(source.snapshot(now), now)
	must.Eq(t, 3*time.Second, newcomer.configAge(now))
}
