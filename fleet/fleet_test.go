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
		return m.MarkSeen(epoch, sequence, time.Second).New
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

// Messages of two runs of an instance are on their way at the same time, after a quick
// restart. Guards against messages that count as new whenever one of the other run has
// arrived: relays would forward them to each other without end.
func TestMessagesOfTwoRunsCountOnce(t *testing.T) {
	var m fleet.Instance
	must.Eq(t, fleet.Receipt{New: true, Restarted: true}, m.MarkSeen(7, 100, time.Second))
	must.Eq(t, fleet.Receipt{New: true, Restarted: true}, m.MarkSeen(8, 1, time.Second))
	must.Eq(t, fleet.Receipt{New: true, Former: true}, m.MarkSeen(7, 101, time.Second))
	for range 3 {
		for _, sequence := range []uint32{100, 101} {
			must.Eq(t, fleet.Receipt{Former: true}, m.MarkSeen(7, sequence, time.Second))
		}
		must.Eq(t, fleet.Receipt{}, m.MarkSeen(8, 1, time.Second))
	}
	must.Eq(t, fleet.Receipt{New: true}, m.MarkSeen(8, 2, time.Second))
	must.True(t, m.IsLatest(2))
}

// The first message that arrives of an instance is of its present run, a late one of its
// former run follows. Guards against an instance whose messages are ignored from then on.
func TestLateMessageOfAnUnknownRunIsOvercome(t *testing.T) {
	var m fleet.Instance
	m.MarkSeen(8, 5, time.Second)
	must.True(t, m.MarkSeen(7, 100, time.Second).Restarted)
	for sequence := uint32(6); sequence < 20; sequence++ {
		now := time.Second + time.Duration(sequence)*200*time.Millisecond
		if receipt := m.MarkSeen(8, sequence, now); !receipt.Former {
			must.Less(t, 3*time.Second, now)
			must.True(t, m.IsLatest(sequence))
			return
		}
	}
	t.Fatal("all messages of the present run are ignored")
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
