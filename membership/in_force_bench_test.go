package membership

import (
	"fmt"
	"testing"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

// BenchmarkInForce reports, in simulated time, how long after its write a
// change is in force and how long until the last instance has it. Run it with
// -benchtime 1x.
func BenchmarkInForce(b *testing.B) {
	for _, nodes := range []int{40, 400, 2000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			var worst, spread time.Duration
			for range b.N {
				s := startFleet(5, Settings{}, nodes, min(17, nodes/10))
				for i := range 10 {
					inForce, last := s.measureRevocation(s.nodes[i*nodes/10])
					worst = max(worst, inForce)
					spread = max(spread, last)
				}
			}
			b.ReportMetric(worst.Seconds(), "s/inForce")
			b.ReportMetric(spread.Seconds(), "s/spread")
		})
	}
}

// measureRevocation withdraws a key at an instance, and returns when that is in force
// and when every instance has it.
func (s *sim) measureRevocation(writer *simNode) (inForce, last time.Duration) {
	r := s.commit(storage.Txn{Puts: []storage.Put{{Table: storage.Control, Key: config.APIKeyPrefix + "x"}}})
	rev := r.Revisions[storage.Control]
	written := s.now
	s.deliver(writer, func(now time.Duration) []effect.Effect { return writer.m.Require(now, rev) })
	for inForce == 0 || last == 0 {
		s.run(s.now + 10*time.Millisecond)
		if inForce == 0 && writer.m.InForce(writer.clock(s.now), rev) {
			inForce = s.now - written
		}
		if last == 0 && s.allReplicasAt(rev) {
			last = s.now - written
		}
	}
	return inForce, last
}

func (s *sim) allReplicasAt(rev storage.Revision) bool {
	for _, n := range s.nodes {
		if !n.dead && n.log.Revision() < rev {
			return false
		}
	}
	return true
}
