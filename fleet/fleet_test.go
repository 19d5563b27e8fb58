package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/fleet"
	"foxtailspoke/relay"
)

// The same message arrives through two relays, in any order. Each result must
// count once: counting a failure twice could mark a working server as failed.
func TestEachMessageCountsOnce(t *testing.T) {
	var m fleet.Instance
	markSeen := func(epoch, sequence uint32) bool {
		isNew, _ := m.MarkSeen(epoch, sequence)
		return isNew
	}
	must.True(t, markSeen(7, 10))
	must.False(t, markSeen(7, 10))
	must.True(t, markSeen(7, 12))
	must.True(t, markSeen(7, 11))
	must.False(t, markSeen(7, 11))
	must.False(t, markSeen(7, 12))
	must.True(t, markSeen(7, 200))
	must.False(t, markSeen(7, 100))
	must.True(t, markSeen(8, 1))
	must.False(t, markSeen(8, 1))
}

// An instance is killed without notice. It counts as alive until three of its
// heartbeats are missing, and is removed later unless the store lists it.
func TestSilentInstancesExpire(t *testing.T) {
	f := fleet.New()
	_, newlyAlive := f.MarkAlive(1, 0)
	must.True(t, newlyAlive)
	listed, _ := f.MarkAlive(2, 0)
	listed.Listed = true
	must.Len(t, 0, f.ExpireSilent(3*fleet.HeartbeatInterval))
	must.False(t, f.Isolated())
	must.Len(t, 2, f.ExpireSilent(3*fleet.HeartbeatInterval+200*time.Millisecond))
	must.True(t, f.Isolated())
	must.Eq(t, 1.0/3, f.AliveShare())
	f.ExpireSilent(time.Minute)
	must.MapLen(t, 1, f.All())
	_, newlyAlive = f.MarkAlive(2, time.Minute)
	must.True(t, newlyAlive)
	must.Eq(t, 1, f.AliveShare())
}

// An instance with a slow link reads the store only if no other does.
func TestSlowLinkRanksLast(t *testing.T) {
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
