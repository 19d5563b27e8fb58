package reach_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/reach"
)

// Guards against taking the stop of one server for a fault of the instance's network.
func TestOneServerThatStoppedIsNoPartition(t *testing.T) {
	r := reach.NewTracker()
	for i := range 10 {
		r.RecordFailure("10.0.0.1:80", time.Duration(i)*time.Second)
	}
	must.False(t, r.Partitioned())
}

// Guards against missing that this instance alone reaches no server.
func TestFailuresAtSeveralServersInARowAreAPartition(t *testing.T) {
	r := reach.NewTracker()
	r.RecordFailure("10.0.0.1:80", time.Second)
	r.RecordFailure("10.0.0.2:80", 2*time.Second)
	must.True(t, r.Partitioned())
	must.Eq(t, 3*time.Second, r.PartitionedFor(5*time.Second))
	r.RecordSuccess("10.0.0.3:80")
	must.False(t, r.Partitioned())
	must.Zero(t, r.PartitionedFor(6*time.Second))
}

// Guards against adding up failures that lie far apart, with successes in between.
func TestSuccessesBetweenFailuresShowAWorkingPath(t *testing.T) {
	r := reach.NewTracker()
	for i := range 10 {
		r.RecordFailure([]string{"10.0.0.1:80", "10.0.0.2:80"}[i%2], time.Duration(i)*time.Second)
		r.RecordSuccess("10.0.0.3:80")
	}
	must.False(t, r.Partitioned())
}

// Guards against trying a server directly with every request while its connections fail.
func TestUnreachableServerIsProbedOutsideOfRequests(t *testing.T) {
	const address = "10.0.0.1:80"
	r := reach.NewTracker()
	must.True(t, r.IsDirect(address))
	r.RecordFailure(address, time.Second)
	must.False(t, r.IsDirect(address))
	must.False(t, r.ProbeDue(address, 1500*time.Millisecond))
	must.True(t, r.ProbeDue(address, 2*time.Second))
	must.False(t, r.ProbeDue(address, 2500*time.Millisecond))
	must.True(t, r.ProbeDue(address, 3*time.Second))
	r.RecordSuccess(address)
	must.True(t, r.IsDirect(address))
}

// Guards against a caller of each server paying for the discovery of the same partition, and of
// its end.
func TestPartitionAppliesToServersThatWereNotTried(t *testing.T) {
	r := reach.NewTracker()
	r.RecordFailure("10.0.0.1:80", time.Second)
	must.True(t, r.IsDirect("10.0.0.3:80"))
	r.RecordFailure("10.0.0.2:80", time.Second)
	must.False(t, r.IsDirect("10.0.0.3:80"))
	must.True(t, r.ProbeDue("10.0.0.3:80", time.Second))
	r.RecordSuccess("10.0.0.3:80")
	for _, address := range []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"} {
		must.True(t, r.IsDirect(address))
	}
}

// Guards against keeping the addresses of servers that are gone for ever.
func TestOldFailuresAreForgotten(t *testing.T) {
	r := reach.NewTracker()
	r.RecordFailure("10.0.0.1:80", 0)
	r.RecordFailure("10.0.0.2:80", 2*time.Minute)
	must.True(t, r.IsDirect("10.0.0.1:80"))
	must.False(t, r.Partitioned())
}

func TestChooseForwarders(t *testing.T) {
	a1, a2, b1, b2 := reach.Peer{ID: 1, DataCentre: "a"}, reach.Peer{ID: 2, DataCentre: "a"}, reach.Peer{ID: 3, DataCentre: "b"}, reach.Peer{ID: 4, DataCentre: "b"}
	for _, c := range []struct {
		name  string
		peers []reach.Peer
		want  []reach.Peer
	}{
		{"none", nil, nil},
		{"one", []reach.Peer{b1}, []reach.Peer{b1}},
		{"own data centre first, then another", []reach.Peer{b1, b2, a1, a2}, []reach.Peer{a1, b1, b2}},
		{"own data centre again if no other is left", []reach.Peer{a1, b1, a2}, []reach.Peer{a1, b1, a2}},
		{"own data centre only", []reach.Peer{a2, a1}, []reach.Peer{a2, a1}},
		{"another data centre only", []reach.Peer{b1, b2}, []reach.Peer{b1, b2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			turn := 0.0
			must.Eq(t, c.want, reach.ChooseForwarders(c.peers, "a", func() float64 { turn++; return turn }))
		})
	}
}

// Guards against loading one instance with the requests of all partitioned ones.
func TestForwardersAreSpread(t *testing.T) {
	var peers []reach.Peer
	for id := range uint32(10) {
		peers = append(peers, reach.Peer{ID: id, DataCentre: "a"})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	first := map[uint32]int{}
	for range 1000 {
		first[reach.ChooseForwarders(peers, "a", rng.Float64)[0].ID]++
	}
	for id := range uint32(10) {
		must.Greater(t, 50, first[id])
	}
}
