package edge

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/entry/clock"
	"foxtailspoke/freshness"
	"foxtailspoke/replica"
	"foxtailspoke/routing"
)

// A machine is gone for good and another has taken its place. As long as the
// row of the first stands, every workspace lacks its part of the rate.
func TestInstancesThatAreGoneForGoodLeaveTheList(t *testing.T) {
	e := &Edge{self: 1}
	e.state.members = map[uint32]*member{
		2: {id: 2, listed: true, heard: time.Second},
		3: {id: 3, listed: true, heard: time.Second, alive: true},
		4: {id: 4, heard: time.Second},
	}
	must.Len(t, 0, e.goneRows(time.Minute))
	rows := e.goneRows(time.Second + goneAfter + 1)
	must.Len(t, 1, rows)
	must.Eq(t, "0.0.0.2", rows[0].Key)
	must.True(t, rows[0].Gone)
}

// The same message arrives directly and from a delegate, in any order. Each
// result must count once: a failure counted twice is a conviction.
func TestEachMessageCountsOnce(t *testing.T) {
	var m member
	must.True(t, m.fresh(7, 10))
	must.False(t, m.fresh(7, 10))
	must.True(t, m.fresh(7, 12))
	must.True(t, m.fresh(7, 11))
	must.False(t, m.fresh(7, 11))
	must.False(t, m.fresh(7, 12))
	must.True(t, m.fresh(7, 200))
	must.False(t, m.fresh(7, 100))
	must.True(t, m.fresh(8, 1))
	must.False(t, m.fresh(8, 1))
}

// Handing messages on takes thirty times the bandwidth of an instance's own
// words. A delegate with a slow link lost two messages of five for a whole data
// centre.
func TestDelegatesHaveFastLinks(t *testing.T) {
	e := &Edge{self: 1}
	e.settings.DataCentre = "here"
	e.state.members = make(map[uint32]*member)
	for id := uint32(2); id < 22; id++ {
		e.state.members[id] = &member{id: id, dataCentre: "there", alive: true, slow: id%4 != 0}
	}
	for _, id := range e.delegates(surely) {
		must.False(t, e.state.members[id].slow)
		e.state.members[id].alive = false
	}
	for _, id := range e.delegates(surely) {
		must.True(t, e.state.members[id].alive && !e.state.members[id].slow)
	}
	must.Len(t, surely, e.delegates(surely))
	must.Len(t, 1, e.delegates(1))
}

// An instance with a slow link asks the store only if nobody else does.
func TestSlowLinkComesLast(t *testing.T) {
	e := &Edge{self: 1}
	e.state.members = map[uint32]*member{2: {id: 2, alive: true, slow: true}, 3: {id: 3, alive: true}, 4: {id: 4, alive: true}}
	must.LessEq(t, 2, e.rank())
	e.settings.LinkMbps = 10
	must.Eq(t, 3, e.rank())
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
	var m member
	must.True(t, m.fresh(newEpoch(), 100))
	must.True(t, m.fresh(newEpoch(), 1))
}

// An instance that has just started knows nothing yet. Its lines leave the age
// out; a number in its place reads like an age of a hundred years.
func TestUnknownAgesAreLeftOutOfLines(t *testing.T) {
	must.True(t, ageOf((&freshness.Poll{}).Age(time.Minute)).Equal(slog.Attr{}))
	must.True(t, ageOf(2*time.Second).Equal(slog.Int64("age_ms", 2000)))
}
