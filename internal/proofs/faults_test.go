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
	// withdrawnGrace is how long a withdrawn key may go on working.
	withdrawnGrace = 3 * time.Second
	// drainGrace is how long a leaving server may be sent new work.
	drainGrace = 3 * time.Second
	// admissionJitter is by how much the time from an admission to the
	// beginning of the work may vary: waiting for a slot, and one retry.
	admissionJitter = 500 * time.Millisecond
)

// limits of the run's plans, by workspace and service.
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

// faultRun is the state of one run.
type faultRun struct {
	*world
	load      *load
	begin     time.Time
	keys      []string
	leaver    string
	withdrawn time.Time
	revisions revisions
	drained   *backend
	// atDrain are the requests that the drained server had got when the
	// grace was over.
	atDrain int
}

// Callers of two workspaces look up, order, upload and flood while entry
// instances are killed, frozen and cut off one way, the platform is away or
// loses answers, backend servers go gray and one drains, and a key is
// withdrawn. Whatever happens, no operation runs twice, no answer is false or
// somebody else's, nobody gets more than rate and burst, the withdrawn key
// stops, and no key reaches a backend server.
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
	defer r.logs()
	r.startLoad(seed)
	watching, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		r.watchRevisions(watching)
	}()
	r.begin = time.Now()
	for _, step := range r.schedule() {
		time.Sleep(time.Until(r.begin.Add(step.at)))
		step.do()
	}
	sends := r.load.end()
	stopWatching()
	<-watched
	r.check(sends)
}

func prepareFaults(t *testing.T) *faultRun {
	r := &faultRun{world: newWorld(t, worldOptions{endAfter: 10 * time.Second, locateTTL: 2 * time.Second})}
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
	r.leaver = r.keys[2]
	for _, b := range r.backends {
		b.WatchSecrets(append([]string{"cebu-boatyard"}, r.keys...)...)
	}
	return r
}

func (r *faultRun) startLoad(seed uint64) {
	r.load = newLoad(r.world)
	cebu, bohol := r.keys[0], r.keys[1]
	for n := range uint64(4) {
		r.load.every(80*time.Millisecond, "cebu-boatyard", cebu, seed+n, lookup)
		r.load.every(20*time.Millisecond, "bohol-guitars", bohol, seed+10+n, lookup)
	}
	r.load.every(500*time.Millisecond, "cebu-boatyard", cebu, seed+20, advisedOrder)
	r.load.every(500*time.Millisecond, "cebu-boatyard", cebu, seed+21, ownOrder)
	r.load.every(700*time.Millisecond, "cebu-boatyard", cebu, seed+22, bareOrder)
	r.load.every(200*time.Millisecond, "bohol-guitars", bohol, seed+23, bareOrder)
	r.load.every(300*time.Millisecond, "bohol-guitars", bohol, seed+27, ownOrder)
	r.load.every(300*time.Millisecond, "bohol-guitars", bohol, seed+28, advisedOrder)
	r.load.every(600*time.Millisecond, "cebu-boatyard", cebu, seed+24, upload)
	r.load.every(50*time.Millisecond, "cebu-boatyard", r.leaver, seed+25, lookup)
	r.load.every(time.Second, "cebu-boatyard", r.leaver, seed+26, ownOrder)
	for n, e := range r.running() {
		r.load.every(250*time.Millisecond, "cebu-boatyard", r.leaver, seed+30+uint64(n), lookupAt(e.callers))
	}
}

// step is one thing that happens, counted from the beginning of the load.
type step struct {
	at time.Duration
	do func()
}

// roundLength is the time of one round with its preparation.
const roundLength = 45 * time.Second

func (r *faultRun) schedule() []step {
	second := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	catalogue, hanging, leaving := r.backends[0], r.backends[4], r.backends[2]
	killed, frozen, deaf, mute, apart := r.entries[0], r.entries[1], r.entries[2], r.entries[3], r.entries[4]
	return []step{
		{second(2), func() {
			r.gray(catalogue, standin.BackendFaults{HalfRatio: 0.2, CrossedRatio: 0.1, LateRatio: 0.1, LateBy: config.Duration(3 * time.Second), NoEchoRatio: 0.1, DuplicateRatio: 0.1, StallRatio: 0.1, Health: "ok"})
		}},
		{second(2.5), func() { r.gray(hanging, standin.BackendFaults{HangRatio: 0.5, HalfRatio: 0.2, Health: "ok"}) }},
		{second(4), func() { killed.process.Kill() }},
		{second(4.5), func() { r.startEntry("luzon-1") }},
		{second(6), func() { r.loseAnswers(8) }},
		{second(8), func() { must.NoError(r.t, frozen.process.Suspend()) }},
		{second(9), r.withdraw},
		{second(13), func() { must.NoError(r.t, frozen.process.Resume()) }},
		{second(14), func() { r.cut(deaf.toPeers, standin.LinkState{Forward: standin.Cut}) }},
		{second(17), func() { r.cut(deaf.toPeers, standin.LinkState{}) }},
		{second(17), func() { r.cut(mute.toPeers, standin.LinkState{Backward: standin.Cut}) }},
		{second(17.5), func() { r.cut(apart.toPlatform, standin.LinkState{Forward: standin.Cut}) }},
		{second(20), func() { r.cut(mute.toPeers, standin.LinkState{}) }},
		{second(21), func() { r.cut(apart.toPlatform, standin.LinkState{Backward: standin.Cut}) }},
		{second(23), func() { r.cut(apart.toPlatform, standin.LinkState{}) }},
		{second(23), func() { r.away(standin.DownClosed) }},
		{second(25), func() { r.away(standin.DownSilent) }},
		{second(28), func() { r.away(standin.Up) }},
		{second(29), func() { r.loseAnswers(4) }},
		{second(29), func() { r.gray(catalogue, standin.BackendFaults{}); r.gray(hanging, standin.BackendFaults{}) }},
		{second(30), func() { leaving.Drain(); r.drained = leaving }},
		{second(30) + drainGrace, func() { r.atDrain = workRequests(leaving) }},
		{second(36), func() {}},
	}
}

func (r *faultRun) gray(b *backend, f standin.BackendFaults) { must.NoError(r.t, b.SetFaults(f)) }

func (r *faultRun) cut(l *standin.Link, s standin.LinkState) { must.NoError(r.t, l.Set(s)) }

func (r *faultRun) loseAnswers(n int) {
	must.NoError(r.t, r.platform.UpdateFaults(func(f *standin.PlatformFaults) { f.Table.LoseAnswers = n }))
}

func (r *faultRun) away(mode standin.DownMode) {
	must.NoError(r.t, r.platform.UpdateFaults(func(f *standin.PlatformFaults) {
		f.Table.Down, f.Objects.Down, f.Instances.Down = mode, mode, mode
	}))
}

func (r *faultRun) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	k, err := r.operator.RevokeKey(ctx, operator.KeySelector{Key: r.leaver})
	must.NoError(r.t, err)
	must.Eq(r.t, operator.Accepted, k.Outcome)
	r.withdrawn = time.Now()
}

// workRequests counts the requests for work that a server got, also those
// that it refused.
func workRequests(b *backend) int {
	n := 0
	for _, header := range b.RawHeaders().Headers {
		if !strings.Contains(header[:strings.IndexByte(header+"\r", '\r')], standin.ReservedPrefix) {
			n++
		}
	}
	return n
}

func (r *faultRun) watchRevisions(ctx context.Context) {
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

func (r *faultRun) check(sends []send) {
	t := r.t
	ran := executions(r.backends)
	t.Logf("%d sends, %d executions; how they ended:\n%s", len(sends), len(ran), tally(sends))
	for b, worst := range excess(ran, limits) {
		t.Logf("%s at %s: at worst %+.1f requests against rate and burst", b.workspace, b.service, worst)
	}
	inside, refused := refusedInside(sends, "cebu-boatyard")
	t.Logf("of cebu-boatyard's %d requests, all inside its rate, %d were refused for the rate:\n%s", inside, len(refused), timeline(r.begin, refused))
	served := map[string]int{}
	for _, s := range sends {
		if s.outcome == "served" {
			served[s.service]++
		}
	}
	must.Greater(t, 1000, served["catalogue"], must.Sprint("lookups served"))
	must.Greater(t, 50, served["ordering"], must.Sprint("orders served"))
	must.Greater(t, 20, served["diagnosis"], must.Sprint("uploads served"))
	must.Greater(t, 100, r.revisions.seen)
	counts := r.platform.Counts()
	must.Positive(t, counts.LostAnswers)

	none := func(what string, faults []string) {
		t.Helper()
		if len(faults) > 0 {
			t.Errorf("%s: %d\n%s", what, len(faults), strings.Join(faults[:min(len(faults), 10)], "\n"))
		}
	}
	none("ran twice", ranTwice(ran))
	none("false answers", falseAnswers(sends, ran))
	none("over rate and burst", overLimit(ran, limits, admissionJitter))
	none("ran for a withdrawn key", afterWithdrawal(sends, ran, r.leaver, r.withdrawn, withdrawnGrace))
	none("configuration went back", r.revisions.faults)
	r.checkSecrets()
	must.Less(t, 2000, workRequests(r.drained), must.Sprint("the server's log is full"))
	must.Eq(t, r.atDrain, workRequests(r.drained), must.Sprint("requests to a drained server"))
}

// checkSecrets looks for the keys in all that backend servers received. The
// workspace's name, which they do receive, shows that the search works.
func (r *faultRun) checkSecrets() {
	seen := map[string]bool{}
	for _, b := range r.backends {
		for _, s := range b.SecretsSeen() {
			seen[s] = true
		}
	}
	must.True(r.t, seen["cebu-boatyard"])
	must.False(r.t, slices.ContainsFunc(r.keys, func(k string) bool { return seen[k] }), must.Sprint("a key reached a backend server"))
}
