package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// maxRelayRate is the number of datagrams per second that a relay sends at most, with the
// rounds that are due early for urgent messages.
const maxRelayRate = 3 * 1700

// Rolling restarts overlap while instances are slow and a data centre loses packets, so that
// messages of several runs of an instance are on their way at the same time. Guards against
// relays that forward them to each other without end.
func TestOverlappingRestartsCauseNoDatagramStorm(t *testing.T) {
	for seed := range uint64(3) {
		w := startedFleet(t, seed, 3, 16, 16, 4)
		w.listed = true
		w.restartRepeatedly(5)
		for range 25 {
			for _, n := range w.nodes {
				n.out = 0
			}
			w.run(w.now + time.Second)
			for _, n := range w.nodes {
				must.Less(t, maxRelayRate, n.out, must.Sprint("seed ", seed, " at ", w.now, ": ", n.id))
			}
		}
	}
}

// restartRepeatedly schedules rolling restarts, pauses of instances, and losses in the first
// data centre.
func (w *simulation) restartRepeatedly(rounds int) {
	base, lossy := w.now, w.nodes[w.order[0]].dataCentre
	w.lost = func(from, to *node) bool {
		disturbed := w.now > base+3*time.Second && w.now < base+11*time.Second
		return disturbed && (from.dataCentre == lossy || to.dataCentre == lossy) && w.rng.Float64() < 0.4
	}
	for k := range rounds {
		at := base + 4*time.Second + time.Duration(k)*1700*time.Millisecond
		for i, p := range w.rng.Perm(len(w.order)) {
			w.at(at+time.Duration(i/8)*500*time.Millisecond, func() { w.restart(w.nodes[w.order[p]]) })
		}
		for range 30 {
			n := w.nodes[w.order[w.rng.IntN(len(w.order))]]
			for j := range 30 {
				w.at(at+time.Duration(6+j)*100*time.Millisecond, func() { n.frozen = w.now + 80*time.Millisecond })
			}
		}
	}
}

// restart kills an instance and starts it again within 1.5 s.
func (w *simulation) restart(n *node) {
	if n.down {
		return
	}
	w.kill(n)
	w.at(w.now+time.Duration(w.rng.Int64N(int64(1500*time.Millisecond))), func() {
		if n.down {
			w.start(n)
		}
	})
}
