package lab

import (
	"math/rand/v2"
	"time"

	"foxtailspoke/discovery"
	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/mechanism"
	"foxtailspoke/placement"
	"foxtailspoke/retry"
	"foxtailspoke/usage"
)

const (
	// retryRatio and retrySlack are the retry budget of the users' platform.
	retryRatio = 0.2
	retrySlack = 60
	// minRetryAfter is the shortest Retry-After that callers get.
	minRetryAfter = 500 * time.Millisecond
	// serviceTimeSmoothing is the weight of a request in the moving average of its
	// kind's service time; initialServiceTimeShare is the share of the latency target
	// that is assumed before the first measurement.
	serviceTimeSmoothing    = 0.08
	initialServiceTimeShare = 0.3
)

// instance is one entry instance: the product's decisions and the state that it
// has learned from its own requests and from other instances.
type instance struct {
	sim          *simulation
	number       uint32
	dataCentre   string
	placer       *placement.Placer
	usage        *usage.Counters
	retryBudgets []*retry.FleetBudget
	serviceTimes map[RequestKind]time.Duration
	outstanding  map[uint32]int
	partitioned  map[uint32]bool
	rng          *rand.Rand
}

func newInstance(w *simulation, number int) *instance {
	i := &instance{
		sim: w, number: uint32(number + 1), dataCentre: dataCentre(number % w.deployment.DataCentres),
		placer: placement.NewWithout(w.off), usage: usage.NewCounters(),
		serviceTimes: make(map[RequestKind]time.Duration), outstanding: make(map[uint32]int), partitioned: make(map[uint32]bool),
		rng: rand.New(rand.NewPCG(w.policyRNG.Uint64(), uint64(number))),
	}
	i.usage.DisableReserve, i.usage.Offset = !w.off.Enabled(mechanism.Reserve), i.rng.Float64()
	paths := rand.New(rand.NewPCG(w.seed, uint64(50_000+number)))
	for _, s := range w.services {
		i.retryBudgets = append(i.retryBudgets, retry.NewFleetBudget(minRetryAfter, i.rng))
		for _, v := range s.servers {
			i.placer.Apply(discovery.Change{Server: v.entry, New: true}, w.now)
			i.partitioned[v.hash] = paths.Float64() < w.deployment.PartitionShare
		}
	}
	for n, ws := range w.deployment.Workspaces {
		i.usage.SetLimit(uint32(n), usage.Limit{Rate: ws.Rate, Burst: ws.Burst}, w.now)
	}
	return i
}

// broadcast delivers an update to the other instances after the message delay,
// each unless the message is lost.
func (i *instance) broadcast(apply func(other *instance)) {
	w := i.sim
	receivers := w.instances
	w.schedule(w.deployment.MessageDelay, func() {
		for _, other := range receivers {
			if other != i && i.rng.Float64() >= w.deployment.MessageLoss {
				apply(other)
			}
		}
	})
}

// addOutstanding changes the number of this instance's outstanding requests at a
// server.
func (i *instance) addOutstanding(v *server, change int) {
	i.outstanding[v.hash] += change
	i.placer.SetOutstanding(v.hash, 0, i.outstanding[v.hash], i.sim.now)
}

// attemptStarted records the start of an attempt and reports it to the other instances.
func (i *instance) attemptStarted(c *caller, v *server, number int) {
	i.addOutstanding(v, 1)
	i.retryBudgets[c.service].Count(number > 1, i.sim.now)
	n, admitted := i.outstanding[v.hash], i.usage.AdmittedTotal(uint32(c.workspace))
	i.broadcast(func(o *instance) {
		o.placer.SetOutstanding(v.hash, i.number, n, o.sim.now)
		o.retryBudgets[c.service].Count(number > 1, o.sim.now)
		o.usage.ApplyReport(usage.Report{Workspace: uint32(c.workspace), Instance: i.number, Epoch: 1, Count: admitted}, o.sim.now)
	})
}

// attemptEnded records the result of an attempt and reports it to the other instances.
func (i *instance) attemptEnded(c *caller, a *attempt, r health.Result, final evidence.RequestOutcome) {
	i.addOutstanding(a.server, -1)
	expected := i.serviceTime(c.kind)
	took := i.sim.now - a.start
	if r == health.OK {
		if a.choice.Outstanding >= a.choice.Server.Slots {
			took = 0
		} else {
			i.serviceTimes[c.kind] = expected + time.Duration(serviceTimeSmoothing*float64(took-expected))
		}
	}
	record := func(o *instance, reporter uint32) {
		o.placer.RecordResult(a.server.hash, reporter, r, took, expected, o.sim.now)
		if final != evidence.RequestPending {
			o.placer.RecordServerOutcome(a.server.hash, final == evidence.RequestServed, o.sim.now)
		}
	}
	record(i, placement.Self)
	n := i.outstanding[a.server.hash]
	i.broadcast(func(o *instance) {
		o.placer.SetOutstanding(a.server.hash, i.number, n, o.sim.now)
		record(o, i.number)
	})
}

// attemptLate records that an attempt is late and reports it to the other instances.
func (i *instance) attemptLate(a *attempt) {
	i.placer.RecordResult(a.server.hash, placement.Self, health.Late, 0, 0, i.sim.now)
	i.broadcast(func(o *instance) { o.placer.RecordResult(a.server.hash, i.number, health.Late, 0, 0, o.sim.now) })
}

// serviceTime returns the estimated service time of a kind of request.
func (i *instance) serviceTime(k RequestKind) time.Duration {
	if w, ok := i.serviceTimes[k]; ok {
		return w
	}
	return time.Duration(initialServiceTimeShare * float64(k.LatencyTarget))
}

var retryLimit = retry.Limit{Ratio: retryRatio, Slack: retrySlack, Coverage: retry.FullCoverage()}

// choose selects a server for a request and records that the request is sent.
func (i *instance) choose(c *caller) (placement.Choice, bool) {
	now := i.sim.now
	r := placement.Request{
		Service: i.sim.services[c.service].name, Retryable: c.kind.Idempotent,
		RetryBudgetAmple: c.kind.Idempotent && i.retryBudgets[c.service].MayProbe(retryLimit, now),
		LatencyTarget:    c.kind.LatencyTarget - (now - c.sent), Remaining: c.deadline - now, ServiceTime: i.serviceTime(c.kind),
		SizeKB: 5, DataCentre: i.dataCentre, TriedServers: c.tried,
	}
	choice, ok := i.placer.Choose(r, now, i.rng.Float64)
	if ok {
		i.placer.RecordSent(choice.Server.ID, r, now)
	}
	return choice, ok
}

func (i *instance) mayHedge(c *caller) bool {
	if !c.kind.Idempotent || !i.sim.off.Enabled(mechanism.Hedge) {
		return false
	}
	return retry.DecideHedge(i.sim.now, c.state(health.Late, 1), i.retryBudgets[c.service].Budget(retryLimit, i.sim.now)).Action == retry.Hedge
}
