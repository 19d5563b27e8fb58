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
	smoothing               = 0.08
	initialServiceTimeShare = 0.3
)

// instance is one entry instance: the product's decisions and the state that it
// has learned from its own requests and from other instances.
type instance struct {
	world        *simulation
	number       uint32
	dataCentre   string
	placer       *placement.Placer
	usage        *usage.Counters
	retryBudgets []*retry.FleetBudget
	work         map[RequestKind]time.Duration
	own          map[uint32]int
	partitioned  map[uint32]bool
	rng          *rand.Rand
}

func newInstance(w *simulation, number int) *instance {
	i := &instance{
		world: w, number: uint32(number + 1), dataCentre: dataCentre(number % w.deployment.DataCentres),
		placer: placement.NewWithout(w.off), usage: usage.NewCounters(),
		work: make(map[RequestKind]time.Duration), own: make(map[uint32]int), partitioned: make(map[uint32]bool),
		rng: rand.New(rand.NewPCG(w.policyRNG.Uint64(), uint64(number))),
	}
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
	w := i.world
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
func (i *instance) outstanding(v *server, change int) {
	i.own[v.hash] += change
	i.placer.SetOutstanding(v.hash, 0, i.own[v.hash], i.world.now)
}

// started records the start of an attempt and reports it to the other instances.
func (i *instance) started(c *caller, v *server, number int) {
	i.outstanding(v, 1)
	i.retryBudgets[c.service].Count(number > 1, i.world.now)
	n, admitted := i.own[v.hash], i.usage.AdmittedTotal(uint32(c.workspace))
	i.broadcast(func(o *instance) {
		o.placer.SetOutstanding(v.hash, i.number, n, o.world.now)
		o.retryBudgets[c.service].Count(number > 1, o.world.now)
		o.usage.ApplyReport(usage.Report{Workspace: uint32(c.workspace), Instance: i.number, Epoch: 1, Count: admitted}, o.world.now)
	})
}

// ended records the result of an attempt and reports it to the other instances.
func (i *instance) ended(c *caller, a *attempt, r health.Result, final evidence.RequestOutcome) {
	i.outstanding(a.server, -1)
	work := i.serviceTime(c.kind)
	took := i.world.now - a.start
	if r == health.OK {
		if a.choice.Outstanding >= a.choice.Server.Slots {
			took = 0
		} else {
			i.work[c.kind] = work + time.Duration(smoothing*float64(took-work))
		}
	}
	record := func(o *instance, own bool) {
		o.placer.RecordResult(a.server.hash, r, own, took, work, o.world.now)
		if final != evidence.RequestPending {
			o.placer.RecordServerOutcome(a.server.hash, final == evidence.RequestServed, o.world.now)
		}
	}
	record(i, true)
	n := i.own[a.server.hash]
	i.broadcast(func(o *instance) {
		o.placer.SetOutstanding(a.server.hash, i.number, n, o.world.now)
		record(o, false)
	})
}

// late records that an attempt is late and reports it to the other instances.
func (i *instance) late(a *attempt) {
	i.placer.RecordResult(a.server.hash, health.Late, true, 0, 0, i.world.now)
	i.broadcast(func(o *instance) { o.placer.RecordResult(a.server.hash, health.Late, false, 0, 0, o.world.now) })
}

func (i *instance) serviceTime(k RequestKind) time.Duration {
	if w, ok := i.work[k]; ok {
		return w
	}
	return time.Duration(initialServiceTimeShare * float64(k.LatencyTarget))
}

var retryLimit = retry.Limit{Ratio: retryRatio, Slack: retrySlack, Coverage: 1}

// choose selects a server for a request and records that the request is sent.
func (i *instance) choose(c *caller) (placement.Choice, bool) {
	now := i.world.now
	r := placement.Request{
		Service: i.world.services[c.service].name, Retryable: c.kind.Idempotent,
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
	if !c.kind.Idempotent || !i.world.off.Enabled(mechanism.Hedge) {
		return false
	}
	return retry.DecideHedge(i.world.now, c.state(health.Late, 1), i.retryBudgets[c.service].Budget(retryLimit, i.world.now)).Action == retry.Hedge
}
