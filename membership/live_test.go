package membership

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

// startFleet starts a healthy fleet and runs it until it has chosen its witnesses.
func startFleet(seed uint64, set Settings, n, centres int) *sim {
	s := newSim(seed, set, n, centres)
	for slot := range n {
		s.after(time.Duration(slot)*5*time.Second/time.Duration(n), func() { s.start(slot, 0, centres) })
	}
	s.run(s.now + 20*time.Second)
	return s
}

// nodeStates counts the live nodes by state.
func (s *sim) nodeStates() map[State]int {
	states := map[State]int{}
	for _, n := range s.nodes {
		if !n.dead {
			states[n.m.Confirmation(n.clock(s.now)).State]++
		}
	}
	return states
}

func (s *sim) witnessNodes() []*simNode {
	var nodes []*simNode
	for _, id := range s.table.Witnesses().Members {
		if n := s.liveNode(id); n != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// While the platform is unavailable for two hours and two of five witnesses have
// failed, every instance keeps serving on the last accepted configuration,
// because it still reaches a majority of the witnesses.
func TestLongPlatformOutage(t *testing.T) {
	t.Parallel()
	s := startFleet(1, Settings{WatchersPerDataCentre: 1, WitnessCount: 5}, 7, 3)
	must.Len(t, 5, s.table.Witnesses().Members)
	s.encoder = nil
	s.platformDown = true
	for _, n := range s.witnessNodes()[:2] {
		n.dead = true
	}
	s.run(s.now + 5*time.Second)
	for range 2 * 60 * 6 {
		s.run(s.now + 10*time.Second)
		must.Eq(t, map[State]int{ConfirmedByWitnesses: 5}, s.nodeStates())
	}
	s.platformDown = false
	s.run(s.now + 3*time.Second)
	must.Eq(t, map[State]int{ConfirmedByTable: 5}, s.nodeStates())
}

// Two instances are partitioned from the platform and all others. They must
// stop serving within Fresh and serve again after the partition ends.
func TestPartitionedInstanceCutOffWithinFresh(t *testing.T) {
	t.Parallel()
	s := startFleet(2, Settings{}, 40, 4)
	partitioned := []*simNode{s.nodes[3], s.witnessNodes()[0]}
	for _, n := range partitioned {
		s.tableUnreachable[n.slot] = true
		for slot := range s.nodes {
			s.cutLinks[[2]int{n.slot, slot}] = true
		}
	}
	s.run(s.now + DefaultFresh*1001/1000)
	must.Eq(t, map[State]int{CutOff: 2, ConfirmedByTable: 38}, s.nodeStates())
	clear(s.cutLinks)
	clear(s.tableUnreachable)
	s.run(s.now + time.Minute)
	must.Eq(t, map[State]int{ConfirmedByTable: 40}, s.nodeStates())
}

// All watchers of a data centre fail at once, and the list of instances still
// shows them as live. The others there must pull from other data centres with
// less than one second cut off per instance.
func TestAllWatchersOfDataCentreFail(t *testing.T) {
	t.Parallel()
	s := startFleet(3, Settings{}, 40, 4)
	healthy := s.reads
	s.run(s.now + 30*time.Second)
	healthy = s.reads - healthy
	for _, id := range s.list.Watchers("dc1") {
		s.liveNode(id).dead = true
	}
	reads, cutOff := s.reads, 0
	for range 300 {
		s.run(s.now + 100*time.Millisecond)
		cutOff += s.nodeStates()[CutOff]
	}
	reads = s.reads - reads
	t.Logf("seconds of one instance cut off: %.1f; reads a second: %d, before: %d", float64(cutOff)/10, reads/30, healthy/30)
	must.Less(t, 10*7, cutOff) // below one second for each of the 7 remaining instances
	// The reads of the three watchers stop, and no other instance replaces them.
	must.Less(t, healthy-2*3*30, reads)
	must.Eq(t, map[State]int{ConfirmedByTable: 37}, s.nodeStates())
}

// While the platform and a majority of the witnesses are unavailable, every
// instance is cut off and uses the fallback. When the platform recovers, the
// fallback reads must not overload it, and the fleet must be confirmed again
// within three seconds.
func TestPlatformRecoveryWithoutReadSurge(t *testing.T) {
	t.Parallel()
	nodes := 400
	if *measureLargeFleets {
		nodes = 2000
	}
	s := startFleet(4, Settings{}, nodes, 4)
	s.platformDown = true
	for _, n := range s.witnessNodes()[:4] {
		n.dead = true
	}
	s.run(s.now + 5*time.Second)
	clear(s.sent)
	s.run(s.now + 20*time.Second)
	must.Eq(t, map[State]int{CutOff: nodes - 4}, s.nodeStates())
	perSecond := slices.Max(slices.Collect(maps.Values(s.sent))) / 20
	must.Less(t, maxBytesPerSecond, perSecond)
	s.platformDown = false
	most, back := 0, time.Duration(0)
	returned := s.now
	for range 100 {
		before := s.reads
		s.run(s.now + 100*time.Millisecond)
		most = max(most, s.reads-before)
		if back == 0 && s.nodeStates()[ConfirmedByTable] == nodes-4 {
			back = s.now - returned
		}
	}
	t.Logf("%d instances, all cut off: at most %d bytes/s each; confirmed again after %v with at most %d reads in 100 ms",
		nodes, perSecond, back, most)
	must.Between(t, 1, back, 3*time.Second)
	must.Less(t, 100, most)
}

// A change, such as the withdrawal of an API key by an operator, must be in force
// within three seconds of its write, and by then every instance must have it.
func TestChangeInForceWithinThreeSeconds(t *testing.T) {
	t.Parallel()
	s := startFleet(5, Settings{}, 40, 4)
	var worst, spread time.Duration
	for i := range 20 {
		writer := s.nodes[i]
		r := s.commit(storage.Txn{Puts: []storage.Put{{Table: storage.Control, Key: "key/x"}}})
		rev := r.Revisions[storage.Control]
		written := s.now
		s.deliver(writer, func(now time.Duration) []effect.Effect { return writer.m.Require(now, rev) })
		lags := func(n *simNode) bool { return n.log.Revision() < rev }
		for !writer.m.InForce(writer.clock(s.now), rev) {
			s.run(s.now + 10*time.Millisecond)
			if slices.ContainsFunc(s.nodes, lags) {
				spread = max(spread, s.now-written)
			}
		}
		worst = max(worst, s.now-written)
		must.False(t, slices.ContainsFunc(s.nodes, lags))
	}
	t.Logf("in force after at most %v; received by the last instance after at most %v", worst, spread)
	must.Less(t, 3*time.Second, worst)
}

// When witnesses end or leave, they must be replaced one at a time, spread over
// the data centres. An instance that leaves must stop being a witness.
func TestWitnessesFollowInstances(t *testing.T) {
	t.Parallel()
	s := startFleet(6, Settings{}, 40, 4)
	first := s.witnessNodes()
	must.Len(t, 7, first)
	leaving := first[0]
	s.deliver(leaving, leaving.m.Leave)
	s.run(s.now + 2*time.Second)
	must.False(t, leaving.m.IsWitness())

	for _, n := range first[1:6] {
		n.dead = true
		ended, _ := s.list.Instance(n.id)
		ended.State = storage.Ended
		s.announce(ended)
	}
	s.run(s.now + 15*time.Second)
	w := s.table.Witnesses()
	must.SliceEmpty(t, w.Previous)
	must.Len(t, 7, s.witnessNodes())
	must.Len(t, 7, w.Members)
	for centre, count := range leaving.m.witnessesByDataCentre(w.Members) {
		must.Between(t, 1, count, 2, must.Sprint(centre))
	}
}

// A watcher that reaches neither the table nor enough witnesses, but another
// watcher, must pull from that watcher.
func TestWatcherWithoutProofPulls(t *testing.T) {
	t.Parallel()
	s := startFleet(9, Settings{}, 40, 4)
	n := s.liveNode(s.list.Watchers("dc0")[0])
	helper := s.liveNode(s.list.Watchers("dc0")[1])
	s.tableUnreachable[n.slot] = true
	for slot := range s.nodes {
		s.cutLinks[[2]int{n.slot, slot}] = slot != helper.slot
	}
	s.run(s.now + 5*time.Second)
	for range 100 {
		s.run(s.now + 100*time.Millisecond)
		must.Eq(t, ConfirmedByTable, n.m.Confirmation(n.clock(s.now)).State)
	}
}

// All instances are replaced at once, so that no witness answers any more. The
// new fleet must choose its own witnesses and bring a change in force without an
// operator, because the platform's list shows the old witnesses as ended.
func TestWholeFleetReplaced(t *testing.T) {
	t.Parallel()
	s := startFleet(10, Settings{}, 12, 3)
	for slot, n := range s.nodes {
		n.dead = true
		ended, _ := s.list.Instance(n.id)
		ended.State = storage.Ended
		s.announce(ended, entryInstance(nodeID(slot, 1), ended.DataCentre))
		s.start(slot, 1, 3)
	}
	replaced, n := s.now, s.nodes[0]
	rev := s.commit(storage.Txn{}).Revisions[storage.Control]
	s.deliver(n, func(now time.Duration) []effect.Effect { return n.m.Require(now, rev) })
	for !n.m.InForce(n.clock(s.now), rev) && s.now < replaced+time.Minute {
		s.run(s.now + 10*time.Millisecond)
	}
	inForce := s.now - replaced
	for len(s.witnessNodes()) < 7 && s.now < replaced+time.Minute {
		s.run(s.now + 10*time.Millisecond)
	}
	t.Logf("a change was in force after %v, all witnesses replaced after %v", inForce, s.now-replaced)
	must.Less(t, 5*time.Second, inForce)
	must.Less(t, 30*time.Second, s.now-replaced)
}

// When a fleet shrinks to three instances, its list of witnesses must shrink
// too: three of seven witnesses would be no majority in a platform outage.
func TestWitnessListShrinksWithFleet(t *testing.T) {
	t.Parallel()
	s := startFleet(11, Settings{}, 9, 3)
	for _, n := range s.nodes[3:] {
		n.dead = true
		ended, _ := s.list.Instance(n.id)
		ended.State = storage.Ended
		s.announce(ended)
	}
	s.run(s.now + 30*time.Second)
	must.Len(t, 3, s.table.Witnesses().Members)
	s.platformDown = true
	s.run(s.now + 10*time.Second)
	for _, n := range s.nodes[:3] {
		must.Eq(t, ConfirmedByWitnesses, n.m.Confirmation(n.clock(s.now)).State)
	}
}

// Fleets of one to three instances also keep serving in a platform outage.
func TestSmallFleetsInPlatformOutage(t *testing.T) {
	t.Parallel()
	for n := 1; n <= 3; n++ {
		s := startFleet(12, Settings{}, n, 2)
		must.Eq(t, map[State]int{ConfirmedByTable: n}, s.nodeStates())
		s.platformDown = true
		s.run(s.now + time.Minute)
		must.Eq(t, map[State]int{ConfirmedByWitnesses: n}, s.nodeStates())
	}
}

// The platform repeatedly becomes unavailable, slow (700 ms) and healthy again.
// No instance may be cut off at a transition, not even one whose proof was old at
// that moment; all instances are checked every 50 ms to catch this. The fleet must
// not fall back to reading the platform from every instance either.
func TestNoGapAtPlatformTransitions(t *testing.T) {
	t.Parallel()
	s := startFleet(13, Settings{}, 400, 4)
	for transition := range 6 {
		s.platformDown = transition%3 == 0
		s.tableDelay = 0
		if transition%3 == 1 {
			s.tableDelay = 700 * time.Millisecond
		}
		cutOff, reads := 0, s.reads
		for range 160 {
			s.run(s.now + 50*time.Millisecond)
			cutOff += s.nodeStates()[CutOff]
		}
		perSecond := (s.reads - reads) / 8
		t.Logf("platform down %v, table delay %v: %d reads/s, %d ms of one instance cut off", s.platformDown, s.tableDelay, perSecond, cutOff*50)
		must.Zero(t, cutOff)
		must.Less(t, 60, perSecond)
	}
}
