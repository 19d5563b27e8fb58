package proofs

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/config/lists"
	"foxtailspoke/internal/standin"
	"foxtailspoke/operator"
)

const (
	// withdrawnGrace is how long a withdrawn key may still be accepted.
	withdrawnGrace = 3 * time.Second
	// drainGrace is how long a draining server may still receive new requests.
	drainGrace = 3 * time.Second
	// admissionJitter is the allowed variation of the delay between admission
	// and start of execution, from waiting for a slot and one retry.
	admissionJitter = 500 * time.Millisecond
)

// limits are the configured limits by workspace and service.
var limits = map[bucket]config.Limit{
	{"cebu-boatyard", "catalogue"}: {Rate: 100, Burst: 200},
	{"cebu-boatyard", "ordering"}:  {Rate: 10, Burst: 20},
	{"cebu-boatyard", "diagnosis"}: {Rate: 4, Burst: 12},
	{"cebu-boatyard", "archive"}:   {Rate: 100, Burst: 200},
	{"bohol-guitars", "catalogue"}: {Rate: 20, Burst: 40},
	{"bohol-guitars", "ordering"}:  {Rate: 2, Burst: 4},
}

func trialLists() lists.Lists {
	l := lists.Empty()
	l.Services["catalogue"] = service("catalogue", "/catalogue/", 2, 2*time.Second)
	l.Services["ordering"] = service("ordering", "/orders/", 1, 3*time.Second)
	l.Services["diagnosis"] = service("diagnosis", "/photos/", 1, 5*time.Second)
	l.Services["archive"] = service("archive", "/archive/", 1, 20*time.Second)
	for b, limit := range limits {
		plan, ok := l.Plans[b.workspace]
		if !ok {
			plan = config.Plan{Name: b.workspace, Services: map[string]config.Limit{}}
		}
		plan.Services[b.service] = limit
		l.Plans[b.workspace] = plan
		l.Workspaces[b.workspace] = config.Workspace{Name: b.workspace, Plan: b.workspace}
	}
	return l
}

// faultRun is the state of one fault-injection run.
type faultRun struct {
	*testCluster
	load         *load
	begin        time.Time
	keys         []string
	withdrawnKey string
	withdrawn    time.Time
	revisions    revisions
	drained      *backend
	// requestsAtDrain is the number of requests that the drained server had
	// received when drainGrace expired.
	requestsAtDrain int
}

// Two workspaces send lookups, orders and uploads, one of them far above its
// rate. Meanwhile entry instances are killed, paused and partitioned in one
// direction, the platform is unavailable or loses answers, backend servers fail
// partially, one drains, and a key is withdrawn. Throughout, no operation may run
// twice, no answer may be incorrect or belong to another request, no workspace
// may exceed rate and burst, the withdrawn key must stop working, and no key may
// reach a backend server.
func TestPromisesHoldUnderFaults(t *testing.T) {
	rounds := 1
	if d, err := time.ParseDuration(os.Getenv("SOAK")); err == nil {
		rounds = max(1, int(d/roundLength))
	}
	for round := range rounds {
		t.Run(fmt.Sprintf("round %d", round), func(t *testing.T) { runFaults(t, uint64(round)) })
	}
}

func runFaults(t *testing.T, seed uint64) {
	r := prepareFaults(t)
	defer r.dumpLogsOnFailure()
	r.startLoad(seed)
	watching, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		r.pollRevisions(watching)
	}()
	r.begin = time.Now()
	for _, step := range r.schedule() {
		time.Sleep(time.Until(r.begin.Add(step.at)))
		step.do()
	}
	requests := r.load.end()
	stopWatching()
	<-watched
	r.check(requests)
}

func prepareFaults(t *testing.T) *faultRun {
	r := &faultRun{testCluster: newTestCluster(t, testClusterOptions{endAfter: 10 * time.Second, locateTTL: 2 * time.Second})}
	for i := range 6 {
		r.startEntry(fmt.Sprintf("luzon-%d", i%3+1))
	}
	for i, service := range []string{"catalogue", "catalogue", "catalogue", "catalogue", "ordering", "ordering", "ordering", "diagnosis", "diagnosis"} {
		r.startBackend(service, fmt.Sprintf("luzon-%d", i%3+1), standin.BackendOptions{Slots: 4, Seed: uint64(i)})
	}
	r.apply(trialLists())
	for _, workspace := range []string{"cebu-boatyard", "bohol-guitars", "cebu-boatyard"} {
		r.keys = append(r.keys, r.giveKey(workspace, fmt.Sprintf("key %d", len(r.keys))))
	}
	r.withdrawnKey = r.keys[2]
	for _, b := range r.backends {
		b.WatchSecrets(append([]string{"cebu-boatyard"}, r.keys...)...)
	}
	return r
}

func (r *faultRun) startLoad(seed uint64) {
	r.load = newLoad(r.testCluster)
	cebu, bohol := r.keys[0], r.keys[1]
	for n := range uint64(4) {
		r.load.startCaller(80*time.Millisecond, "cebu-boatyard", cebu, seed+n, lookup)
		r.load.startCaller(20*time.Millisecond, "bohol-guitars", bohol, seed+10+n, lookup)
	}
	r.load.startCaller(500*time.Millisecond, "cebu-boatyard", cebu, seed+20, orderWithIssuedKey)
	r.load.startCaller(500*time.Millisecond, "cebu-boatyard", cebu, seed+21, orderWithCallerKey)
	r.load.startCaller(700*time.Millisecond, "cebu-boatyard", cebu, seed+22, orderWithoutKey)
	r.load.startCaller(200*time.Millisecond, "bohol-guitars", bohol, seed+23, orderWithoutKey)
	r.load.startCaller(300*time.Millisecond, "bohol-guitars", bohol, seed+27, orderWithCallerKey)
	r.load.startCaller(300*time.Millisecond, "bohol-guitars", bohol, seed+28, orderWithIssuedKey)
	r.load.startCaller(600*time.Millisecond, "cebu-boatyard", cebu, seed+24, upload)
	r.load.startCaller(50*time.Millisecond, "cebu-boatyard", r.withdrawnKey, seed+25, lookup)
	r.load.startCaller(time.Second, "cebu-boatyard", r.withdrawnKey, seed+26, orderWithCallerKey)
	for n, e := range r.running() {
		r.load.startCaller(250*time.Millisecond, "cebu-boatyard", r.withdrawnKey, seed+30+uint64(n), lookupAt(e.callers))
	}
}

// step is one scheduled action; at is relative to the start of the load.
type step struct {
	at time.Duration
	do func()
}

// roundLength is the duration of one round including setup.
const roundLength = 45 * time.Second

func (r *faultRun) schedule() []step {
	second := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	catalogue, hanging, leaving := r.backends[0], r.backends[4], r.backends[2]
	killed, frozen, inboundCut, repliesCut, platformCut := r.entries[0], r.entries[1], r.entries[2], r.entries[3], r.entries[4]
	return []step{
		{second(2), func() {
			r.setBackendFaults(catalogue, standin.BackendFaults{TruncatedRatio: 0.2, MismatchedRatio: 0.1, LateRatio: 0.1, LateDelay: config.Duration(3 * time.Second), MissingAttemptRatio: 0.1, DuplicateRatio: 0.1, StalledRatio: 0.1, HealthOverride: "ok"})
		}},
		{second(2.5), func() {
			r.setBackendFaults(hanging, standin.BackendFaults{HangRatio: 0.5, TruncatedRatio: 0.2, HealthOverride: "ok"})
		}},
		{second(4), func() { killed.process.Kill() }},
		{second(4.5), func() { r.startEntry("luzon-1") }},
		{second(6), func() { r.loseAnswers(8) }},
		{second(8), func() { must.NoError(r.t, frozen.process.Suspend()) }},
		{second(9), r.withdraw},
		{second(13), func() { must.NoError(r.t, frozen.process.Resume()) }},
		{second(14), func() { r.setLink(inboundCut.toPeers, standin.LinkState{Forward: standin.FlowCut}) }},
		{second(17), func() { r.setLink(inboundCut.toPeers, standin.LinkState{}) }},
		{second(17), func() { r.setLink(repliesCut.toPeers, standin.LinkState{Backward: standin.FlowCut}) }},
		{second(17.5), func() { r.setLink(platformCut.toPlatform, standin.LinkState{Forward: standin.FlowCut}) }},
		{second(20), func() { r.setLink(repliesCut.toPeers, standin.LinkState{}) }},
		{second(21), func() { r.setLink(platformCut.toPlatform, standin.LinkState{Backward: standin.FlowCut}) }},
		{second(23), func() { r.setLink(platformCut.toPlatform, standin.LinkState{}) }},
		{second(23), func() { r.setPlatformDown(standin.DownClosed) }},
		{second(25), func() { r.setPlatformDown(standin.DownSilent) }},
		{second(28), func() { r.setPlatformDown(standin.DownNone) }},
		{second(29), func() { r.loseAnswers(4) }},
		{second(29), func() {
			r.setBackendFaults(catalogue, standin.BackendFaults{})
			r.setBackendFaults(hanging, standin.BackendFaults{})
		}},
		{second(30), func() { leaving.Drain(); r.drained = leaving }},
		{second(30) + drainGrace, func() { r.requestsAtDrain = workRequests(leaving) }},
		{second(36), func() {}},
	}
}

func (r *faultRun) setBackendFaults(b *backend, f standin.BackendFaults) {
	must.NoError(r.t, b.SetFaults(f))
}

func (r *faultRun) setLink(l *standin.Link, s standin.LinkState) { must.NoError(r.t, l.SetState(s)) }

func (r *faultRun) loseAnswers(n int) {
	must.NoError(r.t, r.platform.UpdateFaults(func(f *standin.PlatformFaults) { f.Table.DropResponses = n }))
}

func (r *faultRun) setPlatformDown(mode standin.DownMode) {
	must.NoError(r.t, r.platform.UpdateFaults(func(f *standin.PlatformFaults) {
		f.Table.Down, f.Objects.Down, f.Instances.Down = mode, mode, mode
	}))
}

func (r *faultRun) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	k, err := r.operator.RevokeKey(ctx, operator.KeySelector{Key: r.withdrawnKey})
	must.NoError(r.t, err)
	must.Eq(r.t, operator.Accepted, k.Outcome)
	r.withdrawn = time.Now()
}

// workRequests counts the caller requests that a server received, including those
// it refused.
func workRequests(b *backend) int {
	n := 0
	for _, header := range b.RawHeaders().Headers {
		if !strings.Contains(header[:strings.IndexByte(header+"\r", '\r')], standin.ReservedPrefix) {
			n++
		}
	}
	return n
}

func (r *faultRun) pollRevisions(ctx context.Context) {
	for ctx.Err() == nil {
		entries, err := r.fleet.Entries(ctx)
		if err != nil {
			continue
		}
		for _, e := range entries {
			asked, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			if s, err := r.fleet.Status(asked, e); err == nil {
				r.revisions.add(s.Instance, s.Revision, s.ListsVersion)
			}
			cancel()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (r *faultRun) check(requests []sentRequest) {
	t := r.t
	ran := executions(r.backends)
	t.Logf("%d requests, %d executions; requests by outcome:\n%s", len(requests), len(ran), countByOutcome(requests))
	for b, worst := range maxOverdraft(ran, limits) {
		t.Logf("%s at %s: largest excess over rate and burst: %+.1f requests", b.workspace, b.service, worst)
	}
	inside, refused := rateRefusals(requests, "cebu-boatyard")
	t.Logf("cebu-boatyard sent %d requests, all within its rate; %d were refused for the rate:\n%s", inside, len(refused), timeline(r.begin, refused))
	served := map[string]int{}
	for _, s := range requests {
		if s.outcome == "served" {
			served[s.service]++
		}
	}
	must.Greater(t, 1000, served["catalogue"], must.Sprint("lookups served"))
	must.Greater(t, 50, served["ordering"], must.Sprint("orders served"))
	must.Greater(t, 20, served["diagnosis"], must.Sprint("uploads served"))
	must.Greater(t, 100, r.revisions.seen)
	counts := r.platform.Counts()
	must.Positive(t, counts.DroppedResponses)

	reportFaults := func(what string, faults []string) {
		t.Helper()
		if len(faults) > 0 {
			t.Errorf("%s: %d\n%s", what, len(faults), strings.Join(faults[:min(len(faults), 10)], "\n"))
		}
	}
	reportFaults("operations executed more than once", repeatedExecutions(ran))
	reportFaults("incorrect answers", incorrectAnswers(requests, ran))
	reportFaults("rate and burst exceeded", limitViolations(ran, limits, admissionJitter))
	reportFaults("requests executed for a withdrawn key", executionsAfterWithdrawal(requests, ran, r.withdrawnKey, r.withdrawn, withdrawnGrace))
	reportFaults("configuration revision decreased", r.revisions.faults)
	r.checkSecrets()
	must.Less(t, 2000, workRequests(r.drained), must.Sprint("the header log of the drained server is full, so its request count is not reliable"))
	must.Eq(t, r.requestsAtDrain, workRequests(r.drained), must.Sprint("the drained server received requests after the grace period"))
}

// checkSecrets verifies that no key appears in any data received by backend
// servers. The workspace name, which they do receive, verifies that the search
// itself works.
func (r *faultRun) checkSecrets() {
	seen := map[string]bool{}
	for _, b := range r.backends {
		for _, s := range b.DetectedSecrets() {
			seen[s] = true
		}
	}
	must.True(r.t, seen["cebu-boatyard"])
	must.False(r.t, slices.ContainsFunc(r.keys, func(k string) bool { return seen[k] }), must.Sprint("a key reached a backend server"))
}
