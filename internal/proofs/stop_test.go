package proofs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/standin"
)

// searchTime is the latency of the slowest requests. It exceeds the time from
// the start of a stop until the listener closes, so that requests are in flight
// at that point.
const searchTime = 7 * time.Second

// stopTimeout bounds one planned stop: locate answers expire, the quota parts
// and the seat are handed over, and the last request completes.
const stopTimeout = 20 * time.Second

// A rolling replacement of all three instances must neither cut nor refuse
// requests that are within the rate limit. Callers use only the addresses from
// locate and do not retry at another one. Closing the listener before locate
// answers expire refuses connections, not waiting for requests in flight cuts
// them, and not handing over quota parts causes refusals for the rate.
func TestPlannedStopsCutNothing(t *testing.T) {
	tc := newTestCluster(t, testClusterOptions{endAfter: 10 * time.Second, locateTTL: time.Second})
	defer tc.dumpLogsOnFailure()
	for i := range 3 {
		tc.startEntry(fmt.Sprintf("luzon-%d", i+1))
	}
	for i, service := range []string{"catalogue", "catalogue", "ordering", "ordering", "diagnosis", "diagnosis"} {
		tc.startBackend(service, fmt.Sprintf("luzon-%d", i%3+1), standin.BackendOptions{Slots: 8, Latency: 30 * time.Millisecond})
	}
	tc.startBackend("archive", "luzon-1", standin.BackendOptions{Slots: 60, Latency: searchTime})
	tc.apply(trialLists())
	key := tc.giveKey("cebu-boatyard", "planned stops")
	tc.awaitServed(key, "cebu-boatyard")

	l := newLoad(tc)
	for n := range uint64(4) {
		l.startCaller(100*time.Millisecond, "cebu-boatyard", key, n, lookup)
	}
	l.startCaller(400*time.Millisecond, "cebu-boatyard", key, 10, orderWithoutKey)
	for n := range uint64(20) {
		l.startCaller(time.Duration(n+1)*350*time.Millisecond, "cebu-boatyard", key, 20+n, search)
	}
	l.startCaller(500*time.Millisecond, "cebu-boatyard", key, 11, upload)
	begin := time.Now()
	time.Sleep(2 * time.Second)
	for i, old := range tc.running() {
		tc.startEntry(fmt.Sprintf("luzon-%d", i+1))
		start := time.Now()
		must.Zero(t, old.process.Stop(stopTimeout), must.Sprintf("%s exited with an error or was killed after the stop timeout: %s", old.name, old.process.Log()))
		t.Logf("%s stopped from %.2fs to %.2fs", old.name, start.Sub(begin).Seconds(), time.Since(begin).Seconds())
	}
	time.Sleep(2 * time.Second)
	requests := l.end()

	t.Logf("%d requests by outcome:\n%s", len(requests), countByOutcome(requests))
	t.Logf("refusals:\n%s", timeline(begin, requests))
	must.Greater(t, 300, len(requests))
	if faults := cutOrRefused(requests); len(faults) > 0 {
		t.Errorf("requests cut or refused: %d\n%s", len(faults), strings.Join(faults[:min(len(faults), 20)], "\n"))
	}
	ran := executions(tc.backends)
	must.Eq(t, nil, repeatedExecutions(ran))
	must.Eq(t, nil, incorrectAnswers(requests, ran))
}
