package proofs

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/standin"
	"foxtailspoke/internal/trial"
)

// An instance that starts during a platform outage cannot read the instance
// list, so it has no peers, no configuration and no evidence of the
// configuration's age. It must refuse every request as not run until the
// platform returns, and then serve. Running instances must keep serving, and a
// new instance that has a seed address must serve during the outage.
func TestStartWhilePlatformIsAway(t *testing.T) {
	const outage = 8 * time.Second
	tc := newTestCluster(t, testClusterOptions{endAfter: time.Minute, locateTTL: time.Second})
	defer tc.dumpLogsOnFailure()
	old := tc.startEntry("luzon-1")
	for _, dataCentre := range []string{"luzon-2", "luzon-3"} {
		tc.startEntry(dataCentre)
	}
	for _, service := range []string{"catalogue", "ordering", "diagnosis"} {
		tc.startBackend(service, "luzon-1", standin.BackendOptions{Slots: 8})
	}
	tc.apply(trialLists())
	key := tc.giveKey("cebu-boatyard", "start")
	tc.awaitServed(key, "cebu-boatyard")

	must.NoError(t, tc.platform.UpdateFaults(func(f *standin.PlatformFaults) {
		f.Table.Down, f.Objects.Down, f.Instances.Down = standin.DownClosed, standin.DownClosed, standin.DownClosed
	}))
	late := tc.startEntry("luzon-2")
	l := newLoad(tc)
	c := &caller{l: l, workspace: "cebu-boatyard", key: key, rng: rand.New(rand.NewPCG(0, 0)), http: map[string]*trial.Caller{}}
	refused := 0
	for start := time.Now(); time.Since(start) < outage; time.Sleep(100 * time.Millisecond) {
		s := c.send(late.callers, c.request("catalogue", http.MethodGet))
		must.Eq(t, "not-run cut-off", s.outcome+" "+s.rule, must.Sprint("a new instance without configuration must refuse as cut-off, not as an unknown key"))
		must.False(t, accepts(late.callers, key), must.Sprint("locate succeeded on an instance without configuration"))
		refused++
		s = c.send(old.callers, c.request("catalogue", http.MethodGet))
		must.Eq(t, "served ", s.outcome+" "+s.rule, must.Sprintf("failure: %q", s.failure))
	}
	seeded := tc.startEntry("luzon-3", old.toPeers.Address())
	started := time.Now()
	for c.send(seeded.callers, c.request("catalogue", http.MethodGet)).outcome != "served" {
		must.Less(t, waitTimeout, time.Since(started), must.Sprint("instance with a seed address did not serve during the outage"))
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("instance with a seed address served %s after its start, during the outage", time.Since(started).Round(10*time.Millisecond))
	must.NoError(t, tc.platform.SetFaults(standin.PlatformFaults{}))
	back := time.Now()
	for c.send(late.callers, c.request("catalogue", http.MethodGet)).outcome != "served" {
		must.Less(t, waitTimeout, time.Since(back), must.Sprint("instance did not serve after the platform returned"))
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d refusals in %s; served %s after the platform returned", refused, outage, time.Since(back).Round(10*time.Millisecond))
	requests := l.end()
	must.Eq(t, nil, incorrectAnswers(requests, executions(tc.backends)))
}
