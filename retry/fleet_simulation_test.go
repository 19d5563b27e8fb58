package retry_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/health"
	"foxtailspoke/retry"
)

const (
	fleetRatio  = 0.2
	fleetSlack  = 58
	limitWindow = 10 * time.Second
	reportDelay = 15 * time.Millisecond
	downTime    = 500 * time.Millisecond
	// tickInterval is the time between two checks for silent instances, which are also the
	// heartbeats.
	tickInterval = 200 * time.Millisecond
	// silenceTimeout is the silence after which an instance is considered dead.
	silenceTimeout = 1300 * time.Millisecond
	// overdueAfter is the silence after which a message of an instance is overdue.
	overdueAfter = 600 * time.Millisecond
	// heartbeatInterval is the time after which an instance reports without an attempt.
	heartbeatInterval = 300 * time.Millisecond
	service           = 1
	// adoptionDelay is the time from the start of an instance, or from a failed try, until it
	// adopts a history.
	adoptionDelay = 300 * time.Millisecond
	failedShare   = 0.85
	maxAttempts   = 3
)

// fleetLoad describes a simulated fleet whose servers fail most requests.
type fleetLoad struct {
	instances int
	// requestRate in requests per second.
	requestRate float64
	// adopts means that an instance that starts adopts the history of another one.
	adopts bool
	// failsLate means that the servers fail from the first disruption on, not before.
	failsLate bool
}

// fleetSimulation counts the requests and retries of a fleet whose instances
// stop, start and lose contact with each other.
type fleetSimulation struct {
	fleetLoad
	rng       *rand.Rand
	instances []*simulatedInstance
	// separated reports whether two instances can't reach each other.
	separated func(a, b int) bool
	reports   []attemptReport
	requests  []time.Duration
	retries   []time.Duration
	denied    int
	ticked    time.Duration
	// failedShare is the share of the attempts that fail.
	failedShare float64
}

type simulatedInstance struct {
	budgets *retry.FleetBudgets
	// startsAt is when an instance that was killed runs again, startedAt when it did.
	startsAt, startedAt time.Duration
	run                 retry.Run
	reportedAt          time.Duration
	// adoptAt is when it adopts the history of another one.
	adoptAt time.Duration
	// received is when it last received a message of each other instance.
	received map[int]time.Duration
}

type attemptReport struct {
	at       time.Duration
	from, to int
	run      retry.Run
	totals   []retry.ServiceTotals
}

func newFleetSimulation(l fleetLoad, seed uint64) *fleetSimulation {
	sim := &fleetSimulation{fleetLoad: l, rng: rand.New(rand.NewPCG(seed, 3)), separated: func(int, int) bool { return false }, failedShare: failedShare}
	for i := range l.instances {
		sim.instances = append(sim.instances, &simulatedInstance{run: retry.Run{Instance: uint32(i + 1)}})
		sim.start(i, 0)
	}
	sim.tick(0)
	return sim
}

func (sim *fleetSimulation) start(i int, now time.Duration) {
	instance := sim.instances[i]
	instance.run.Epoch++
	instance.budgets = retry.NewFleetBudgets(instance.run, time.Second, sim.rng)
	instance.startedAt, instance.adoptAt = now, now+adoptionDelay
	instance.received = make(map[int]time.Duration)
}

func (sim *fleetSimulation) running(i int) bool { return sim.instances[i].budgets != nil }

// kill stops instances; each starts again after downTime.
func (sim *fleetSimulation) kill(now time.Duration, instances ...int) {
	for _, i := range instances {
		sim.instances[i].budgets = nil
		sim.instances[i].startsAt = now + downTime
	}
}

func (sim *fleetSimulation) killAll(now time.Duration) {
	for i := range sim.instances {
		sim.kill(now, i)
	}
}

// startDue starts the instances that are due and lets new ones adopt a history.
func (sim *fleetSimulation) startDue(now time.Duration) {
	for i, instance := range sim.instances {
		if instance.budgets == nil && now >= instance.startsAt {
			sim.start(i, now)
			sim.tick(now)
		}
	}
	for i, instance := range sim.instances {
		if !sim.adopts || instance.budgets == nil || now < instance.adoptAt || !instance.budgets.Coverage(now).Incomplete() {
			continue
		}
		instance.adoptAt = now + adoptionDelay
		if peer := sim.rng.IntN(len(sim.instances)); peer != i && sim.running(peer) && !sim.separated(i, peer) {
			instance.budgets.Adopt(sim.instances[peer].budgets.History(now), now)
		}
	}
}

// tick sends a heartbeat of each instance that has sent nothing else, and sets its coverage
// by the instances whose messages it received lately.
func (sim *fleetSimulation) tick(now time.Duration) {
	sim.ticked = now
	for i, instance := range sim.instances {
		if instance.budgets == nil {
			continue
		}
		alive := 1
		for j := range sim.instances {
			if at, heard := instance.received[j]; heard && now-at <= silenceTimeout {
				alive++
			}
		}
		instance.budgets.SetCoverage(float64(alive)/float64(len(sim.instances)), now)
		if now-instance.reportedAt >= heartbeatInterval {
			sim.report(i, instance.budgets.RecentTotals(1, now), now)
		}
	}
}

// retryLimit returns the limit as an instance uses it.
func (sim *fleetSimulation) retryLimit(i int, now time.Duration) retry.Limit {
	heard, silence := 1, time.Duration(0)
	for _, at := range sim.instances[i].received {
		silence += min(now-at, silenceTimeout)
		if now-at <= overdueAfter {
			heard++
		}
	}
	all := time.Duration(len(sim.instances))
	return retry.Limit{
		Ratio: fleetRatio, Slack: fleetSlack, Silence: silence / all,
		Coverage: sim.instances[i].budgets.Coverage(now).LimitedTo(float64(heard) / float64(all)),
	}
}

func (sim *fleetSimulation) deliver(now time.Duration) {
	sim.reports = slices.DeleteFunc(sim.reports, func(r attemptReport) bool {
		if r.at > now {
			return false
		}
		if sim.running(r.to) && !sim.separated(r.from, r.to) {
			sim.instances[r.to].received[r.from] = r.at
			r.run.SinceStart = r.at-sim.instances[r.from].startedAt < overdueAfter
			sim.instances[r.to].budgets.ApplyReport(r.run, r.totals, r.at)
		}
		return true
	})
}

func (sim *fleetSimulation) count(from int, isRetry bool, now time.Duration) {
	if isRetry {
		sim.retries = append(sim.retries, now)
	} else {
		sim.requests = append(sim.requests, now)
	}
	budgets := sim.instances[from].budgets
	budgets.Service(service).Count(isRetry, now)
	sim.report(from, []retry.ServiceTotals{budgets.SentTotals(service)}, now)
}

// report sends a report to all other instances.
func (sim *fleetSimulation) report(from int, totals []retry.ServiceTotals, now time.Duration) {
	sim.instances[from].reportedAt = now
	for to := range sim.instances {
		if to != from {
			sim.reports = append(sim.reports, attemptReport{now + reportDelay, from, to, sim.instances[from].run, totals})
		}
	}
}

// run sends requests; the retries of a request follow it at once.
func (sim *fleetSimulation) run(from, to time.Duration) {
	for now := from; now < to; now += time.Duration(sim.rng.ExpFloat64() / sim.requestRate * float64(time.Second)) {
		if now-sim.ticked >= tickInterval {
			sim.tick(now)
		}
		sim.startDue(now)
		sim.deliver(now)
		i := sim.rng.IntN(len(sim.instances))
		if !sim.running(i) {
			continue
		}
		sim.count(i, false, now)
		for attempts := 1; sim.rng.Float64() < sim.failedShare; attempts++ {
			b := sim.instances[i].budgets
			d := retry.Decide(now, retry.Attempt{
				Result: health.ServerError, Idempotent: true, AttemptCount: attempts, Deadline: now + time.Second, Untried: maxAttempts - attempts, UntriedHasSlot: true,
			}, b.Service(service).Budget(sim.retryLimit(i, now), now))
			if d.Action != retry.Retry {
				if d.Reason == retry.ReasonBudget {
					sim.denied++
				}
				break
			}
			sim.count(i, true, now)
		}
	}
}

func within(times []time.Duration, from, to time.Duration) int {
	i, _ := slices.BinarySearch(times, from)
	j, _ := slices.BinarySearch(times, to)
	return j - i
}

// worstShare returns the largest share of the limit that was used in any window.
func (sim *fleetSimulation) worstShare() (worst float64) {
	for _, from := range sim.retries {
		worst = max(worst, float64(within(sim.retries, from, from+limitWindow))/sim.limit(from))
	}
	return worst
}

// limit returns the limit on retries in the window that begins at the given time.
func (sim *fleetSimulation) limit(from time.Duration) float64 {
	requests := 0
	for _, start := range []time.Duration{from, from - limitWindow/2, from - limitWindow} {
		requests = max(requests, within(sim.requests, start, start+limitWindow))
	}
	return fleetRatio*float64(requests) + fleetSlack
}

// requireWithinLimit requires that the retries of any window are within the limit for its
// requests, or for those of the window before it or half a window before it.
func (sim *fleetSimulation) requireWithinLimit(t *testing.T) {
	t.Helper()
	for _, from := range sim.retries {
		must.LessEq(t, sim.limit(from), float64(within(sim.retries, from, from+limitWindow)),
			must.Sprintf("%+v: from %v", sim.fleetLoad, from))
	}
}

func forEachLoad(t *testing.T, run func(t *testing.T, l fleetLoad, seed uint64)) {
	t.Helper()
	for _, rate := range []float64{5, 12, 20, 90, 600} {
		for _, adopts := range []bool{false, true} {
			for seed := range uint64(3) {
				run(t, fleetLoad{instances: 36, requestRate: rate, adopts: adopts}, seed)
			}
		}
	}
}

// All instances are killed every few seconds while most requests fail. Guards
// against retry counts that are lost with the processes, so that each start allows
// the whole slack again.
func TestRetriesStayWithinTheLimitWhenAllInstancesRestart(t *testing.T) {
	for _, interval := range []time.Duration{time.Second, 2500 * time.Millisecond, 9 * time.Second} {
		forEachLoad(t, func(t *testing.T, l fleetLoad, seed uint64) {
			sim := newFleetSimulation(l, seed)
			sim.run(0, 20*time.Second)
			for k := range 4 {
				at := 20*time.Second + time.Duration(k)*interval
				sim.killAll(at)
				sim.run(at, at+interval)
			}
			sim.requireWithinLimit(t)
		})
	}
}

// Servers begin to fail just before all instances are killed, so that the slack is
// used once by the old processes and must not be used again by the new ones.
func TestRetriesStayWithinTheLimitWhenTheSlackWasUsedBeforeARestart(t *testing.T) {
	forEachLoad(t, func(t *testing.T, l fleetLoad, seed uint64) {
		sim := newFleetSimulation(l, seed)
		for _, c := range sim.instances {
			c.budgets.AssumeNoneBefore(0)
		}
		sim.run(time.Second, 5*time.Second)
		sim.killAll(5 * time.Second)
		sim.run(5*time.Second, 30*time.Second)
		sim.requireWithinLimit(t)
	})
}

// Instances are restarted in turn, some at a time. Guards against a retry budget of
// which each new process has the whole, and against one that is empty for as long as
// instances restart.
func TestRetriesDuringARollingRestart(t *testing.T) {
	forEachLoad(t, func(t *testing.T, l fleetLoad, seed uint64) {
		undisturbed := newFleetSimulation(l, seed)
		undisturbed.run(0, 40*time.Second)
		sim := newFleetSimulation(l, seed)
		sim.run(0, 20*time.Second)
		for k := range 20 {
			at := 20*time.Second + time.Duration(k)*time.Second
			sim.kill(at, (3*k)%l.instances, (3*k+1)%l.instances, (3*k+2)%l.instances)
			sim.run(at, at+time.Second)
		}
		sim.requireWithinLimit(t)
		t.Logf("%+v: %d retries, %d without restarts", l, len(sim.retries), len(undisturbed.retries))
		if l.adopts {
			must.Greater(t, 0.8*float64(len(undisturbed.retries)), float64(len(sim.retries)))
		}
	})
}

// Two halves of the fleet are partitioned from each other for a while. Guards against
// counts that lack the retries of the other half when the partition ends.
func TestRetriesStayWithinTheLimitAfterAPartition(t *testing.T) {
	forEachLoad(t, func(t *testing.T, l fleetLoad, seed uint64) {
		sim := newFleetSimulation(l, seed)
		sim.run(0, 20*time.Second)
		for at := 20 * time.Second; at < 60*time.Second; at += 8 * time.Second {
			sim.separated = separatedHalves
			sim.run(at, at+4*time.Second)
			sim.separated = func(int, int) bool { return false }
			sim.run(at+4*time.Second, at+8*time.Second)
		}
		sim.requireWithinLimit(t)
	})
}
