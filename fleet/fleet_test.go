package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/fleet"
	"foxtailspoke/relay"
)

// The same message arrives from two relays, in any order. Each result must
// count once: a failure counted twice is a conviction.
func TestEachMessageCountsOnce(t *testing.T) {
	var m fleet.Instance
	fresh := func(epoch, sequence uint32) bool {
		is, _ := m.MarkSeen(epoch, sequence)
		return is
	}
	must.True(t, fresh(7, 10))
	must.False(t, fresh(7, 10))
	must.True(t, fresh(7, 12))
	must.True(t, fresh(7, 11))
	must.False(t, fresh(7, 11))
	must.False(t, fresh(7, 12))
	must.True(t, fresh(7, 200))
	must.False(t, fresh(7, 100))
	must.True(t, fresh(8, 1))
	must.False(t, fresh(8, 1))
}

// An instance is killed without a word. It counts as alive until three of its
// heartbeats are missing, and is forgotten unless the store lists it.
func TestSilentInstancesAreFoundAndForgotten(t *testing.T) {
	f := fleet.New()
	_, returned := f.MarkAlive(1, 0)
	must.True(t, returned)
	listed, _ := f.MarkAlive(2, 0)
	listed.Listed = true
	must.Len(t, 0, f.ExpireSilent(3*fleet.HeartbeatInterval))
	must.False(t, f.Isolated())
	must.Len(t, 2, f.ExpireSilent(3*fleet.HeartbeatInterval+200*time.Millisecond))
	must.True(t, f.Isolated())
	must.Eq(t, 1.0/3, f.AliveShare())
	f.ExpireSilent(time.Minute)
	must.MapLen(t, 1, f.All())
	_, returned = f.MarkAlive(2, time.Minute)
	must.True(t, returned)
	must.Eq(t, 1, f.AliveShare())
}

// An instance with a slow link asks the store only if nobody else does.
func TestSlowLinkComesLast(t *testing.T) {
	f := fleet.New()
	slow, _ := f.MarkAlive(2, 0)
	slow.SlowLink = true
	f.MarkAlive(3, 0)
	f.MarkAlive(4, 0)
	self := relay.Member{ID: 1}
	must.LessEq(t, 2, f.Rank(self))
	self.SlowLink = true
	must.Eq(t, 3, f.Rank(self))
}
