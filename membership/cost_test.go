package membership

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/storage"
)

// maxBytesPerSecond bounds the membership traffic, sent and received, of one
// instance.
const maxBytesPerSecond = 8 << 10

var measureLargeFleets = flag.Bool("cost.large", false, "also measure fleets of 2000 instances")

// Bounds the traffic of an idle fleet, in which no row changes, with the
// platform reachable and unreachable. Bytes are those of the messages in
// encoding/gob form, without the framing of the calls that carry them.
func TestCostAtRest(t *testing.T) {
	t.Parallel()
	const measured = 10 * time.Second
	type fleetSize struct{ nodes, centres int }
	sizes := []fleetSize{{40, 4}, {400, 4}}
	if *measureLargeFleets {
		sizes = append(sizes, fleetSize{2000, 4}, fleetSize{2000, 17})
	}
	for _, size := range sizes {
		s := startFleet(7, Settings{}, size.nodes, size.centres)
		for _, away := range []bool{false, true} {
			s.platformDown = away
			s.run(s.now + 3*time.Second)
			clear(s.sent)
			reads, calls := s.reads, s.calls
			s.run(s.now + measured)
			total, most := 0, 0
			for _, bytes := range s.sent {
				total += bytes
				most = max(most, bytes)
			}
			seconds := int(measured / time.Second)
			t.Logf("%d instances in %d data centres, platform down %v: %d reads/s, %d calls/s, %d bytes/s per instance, at most %d",
				size.nodes, size.centres, away, (s.reads-reads)/seconds, (s.calls-calls)/seconds,
				total/seconds/size.nodes, most/seconds)
			must.Less(t, maxBytesPerSecond, most/seconds)
			must.Zero(t, s.nodeStates()[CutOff])
		}
	}
}

// BenchmarkWake measures the queries that the owner of a Member makes on every
// event, in a fleet of 400 instances.
func BenchmarkWake(b *testing.B) {
	s := startFleet(8, Settings{}, 400, 4)
	m := s.nodes[0].m
	now := s.nodes[0].clock(s.now)
	for b.Loop() {
		m.Confirmation(now)
		m.InForce(now, 1)
		m.NextWake()
	}
}

// BenchmarkListChange measures one change of one instance in a list of 2000
// entry instances, which every instance of the fleet applies.
func BenchmarkListChange(b *testing.B) {
	d := newDirectory(Settings{Self: "i0000"}.withDefaults())
	d.apply(storage.InstanceChanges{Version: 1, Full: true, Changed: entryInstances(2000, 17)})
	for b.Loop() {
		d.apply(storage.InstanceChanges{Version: d.version + 1, Changed: []storage.Instance{entryInstance("x", "dc1")}})
	}
}
