package proofs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/standin"
)

// searchTime is how long the slowest work takes: longer than a stop takes
// until the listener closes, so that requests are under way then.
const searchTime = 7 * time.Second

// stopTimeout bounds one planned stop: the callers' answers run out, the
// parts and the seat move, the last request ends.
const stopTimeout = 20 * time.Second

// All three instances are replaced, one after the other, while callers look
// up, order and upload within their rate. The callers only follow what locate
// tells them and never try a second address. A stop that closed the listener
// before those answers ran out would refuse connections; one that didn't wait
// for its requests would cut them; one that left its parts behind would
// refuse for the rate.
func TestPlannedStopsCutNothing(t *testing.T) {
	w := newWorld(t, worldOptions{endAfter: 10 * time.Second, locateTTL: time.Second})
	defer w.logs()
	for i := range 3 {
		w.startEntry(fmt.Sprintf("luzon-%d", i+1))
	}
	for i, service := range []string{"catalogue", "catalogue", "ordering", "ordering", "diagnosis", "diagnosis"} {
		w.startBackend(service, fmt.Sprintf("luzon-%d", i%3+1), standin.BackendOptions{Slots: 8, Latency: 30 * time.Millisecond})
	}
	w.startBackend("archive", "luzon-1", standin.BackendOptions{Slots: 60, Latency: searchTime})
	w.apply(trialLists())
	key := w.giveKey("cebu-boatyard", "planned stops")
	w.awaitServed(key, "cebu-boatyard")

	l := newLoad(w)
	for n := range uint64(4) {
		l.every(100*time.Millisecond, "cebu-boatyard", key, n, lookup)
	}
	l.every(400*time.Millisecond, "cebu-boatyard", key, 10, bareOrder)
	for n := range uint64(20) {
		l.every(time.Duration(n+1)*350*time.Millisecond, "cebu-boatyard", key, 20+n, search)
	}
	l.every(500*time.Millisecond, "cebu-boatyard", key, 11, upload)
	begin := time.Now()
	time.Sleep(2 * time.Second)
	for i, old := range w.running() {
		w.startEntry(fmt.Sprintf("luzon-%d", i+1))
		start := time.Now()
		must.Zero(t, old.process.Stop(stopTimeout), must.Sprintf("%s had to be killed: %s", old.name, old.process.Log()))
		t.Logf("%s stopped from %.2fs to %.2fs", old.name, start.Sub(begin).Seconds(), time.Since(begin).Seconds())
	}
	time.Sleep(2 * time.Second)
	sends := l.end()

	t.Logf("%d sends; how they ended:\n%s", len(sends), tally(sends))
	t.Logf("refusals:\n%s", timeline(begin, sends))
	must.Greater(t, 300, len(sends))
	if faults := cutOrRefused(sends); len(faults) > 0 {
		t.Errorf("cut or refused: %d\n%s", len(faults), strings.Join(faults[:min(len(faults), 20)], "\n"))
	}
	ran := executions(w.backends)
	must.Eq(t, nil, ranTwice(ran))
	must.Eq(t, nil, falseAnswers(sends, ran))
}
