package health_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/health"
	"foxtailspoke/retry"
)

// simulation is a discrete-event simulation of one trial: arrivals and responses
// that are generated from a seed and processed in one loop.
type simulation struct {
	deployment deployment
	fault      *fault
	rng        *rand.Rand
	services   []*service
	instances  []*instance
	collector  *health.Collector
	permits    map[string]config.Permits
	events     events
	nextOrder  int
	outcome    outcome
	until      time.Duration
}

type event struct {
	at    time.Duration
	order int
	run   func(now time.Duration)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func (w *simulation) schedule(t time.Duration, run func(time.Duration)) {
	w.nextOrder++
	heap.Push(&w.events, event{t, w.nextOrder, run})
}

// request is the state of one caller's request.
type request struct {
	service    *service
	workspace  int
	arrived    time.Duration
	attempts   int
	running    int
	tried      []string
	mayHaveRun bool
	done       bool
}

func newSimulation(d deployment, f *fault, policyName string, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &simulation{
		deployment: d, fault: f, rng: rng, services: newServices(d),
		collector: health.NewCollector(health.DefaultSettings()),
		permits:   map[string]config.Permits{},
		until:     trialEnd,
	}
	w.collector.SetFleetSize(d.instances, d.dataCentres)
	for i := range d.instances {
		w.instances = append(w.instances, newInstance(policyName, i, d.dataCentres, w.services, rng))
	}
	w.outcome = newOutcome()
	return w
}

func (w *simulation) run() *outcome {
	for _, s := range w.services {
		w.scheduleArrivals(s)
	}
	w.schedule(0, w.tick)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if e.at >= w.until {
			break
		}
		e.run(e.at)
	}
	w.outcome.countLocalEjections(w)
	return &w.outcome
}

// scheduleArrivals schedules the requests to a service as a Poisson process.
func (w *simulation) scheduleArrivals(s *service) {
	capacity := float64(s.serviceSize.servers*s.slots) / (1.13 * medianWorkTime.Seconds())
	gap := w.rng.ExpFloat64() / (s.utilization * capacity)
	next := time.Duration(gap * float64(time.Second))
	var arrive func(time.Duration)
	arrive = func(now time.Duration) {
		r := &request{service: s, workspace: w.pickWorkspace(), arrived: now}
		w.start(now, w.pickInstance(now, r.workspace), r)
		w.schedule(now+time.Duration(w.rng.ExpFloat64()/(s.utilization*capacity)*float64(time.Second)), arrive)
	}
	w.schedule(next, arrive)
}

func (w *simulation) pickWorkspace() int {
	x := w.rng.Float64()
	for i, share := range workspaceShares {
		if x -= share; x < 0 {
			return i
		}
	}
	return 0
}

// instancesFor returns the instances that a workspace's callers use: six for a
// small workspace, half of the fleet for a large one.
func (w *simulation) instancesFor(workspace int) []*instance {
	n := 6
	if workspace < 3 {
		n = len(w.instances) / 2
	}
	list := make([]*instance, n)
	for i := range list {
		list[i] = w.instances[(workspace*11+i)%len(w.instances)]
	}
	return list
}

// pickInstance returns the instance that a caller uses. Callers learn from locate
// within locateDelay that an instance was withdrawn because of its own network.
func (w *simulation) pickInstance(now time.Duration, workspace int) *instance {
	list := w.instancesFor(workspace)
	in := list[w.rng.IntN(len(list))]
	for in.withdrawn && now-in.withdrawnAt > locateDelay {
		in = list[w.rng.IntN(len(list))]
	}
	return in
}

const (
	locateDelay = 3 * time.Second
	// withdrawalTime is how long an instance with a bad network is withdrawn.
	withdrawalTime = 20 * time.Second
)

// withdraw removes an instance from the addresses given to callers, at most one
// at a time.
func (w *simulation) withdraw(now time.Duration, in *instance) {
	for _, other := range w.instances {
		other.withdrawn = other.withdrawn && now-other.withdrawnAt < withdrawalTime
		if other.withdrawn {
			return
		}
	}
	in.withdrawn, in.withdrawnAt = true, now
	w.outcome.withdrawn = append(w.outcome.withdrawn, in.index)
}

func (w *simulation) start(now time.Duration, in *instance, r *request) {
	in.budgets[r.service.name].RecordRequest()
	if !w.send(now, in, r) {
		w.finish(now, r, false)
	}
}

// send starts the next attempt. It returns false if no server may be used.
func (w *simulation) send(now time.Duration, in *instance, r *request) bool {
	id, ok := in.policy.pick(now, r.service, strconv.Itoa(r.workspace), r.tried)
	if !ok {
		return false
	}
	s := r.service.servers[slices.IndexFunc(r.service.servers, func(s *server) bool { return s.id == id })]
	r.tried = append(r.tried, id)
	r.attempts++
	r.running++
	w.outcome.attempts++
	in.policy.started(r.service.name, id)
	a := w.attempt(now, s, r.workspace, in.index)
	ob := health.Observation{Service: r.service.name, Server: id, Workspace: strconv.Itoa(r.workspace), Result: a.result, Latency: a.latency}
	if late := in.policy.lateThreshold(r.service.name); late > 0 && a.latency > late {
		ob.ReportedLate = true
		w.schedule(now+late, func(now time.Duration) { w.late(now, in, r, ob, late) })
	}
	w.schedule(now+a.latency, func(now time.Duration) { w.end(now, in, r, ob) })
	return true
}

// late reports an attempt that is still in flight to the policy, and may hedge it.
func (w *simulation) late(now time.Duration, in *instance, r *request, ob health.Observation, waited time.Duration) {
	if r.done {
		return
	}
	ob.Result, ob.Latency, ob.ReportedLate = health.Late, waited, false
	in.policy.ended(now, ob)
	if !in.policy.hedges(r.service.name) {
		return
	}
	d := retry.DecideHedge(now, w.state(r, health.Late), in.budgets[r.service.name])
	if d.Action == retry.Hedge {
		w.send(now, in, r)
	}
}

func (w *simulation) state(r *request, result health.Result) retry.Attempt {
	return retry.Attempt{
		Result: result, Idempotent: r.service.idempotent, AttemptCount: r.attempts, MayHaveRun: r.mayHaveRun,
		InFlight: r.running, Deadline: r.arrived + 2*timeout, Untried: len(r.service.servers) - len(r.tried), UntriedHasSlot: true,
	}
}

func (w *simulation) end(now time.Duration, in *instance, r *request, ob health.Observation) {
	if r.done {
		ob.Result = health.Cancelled
	}
	in.policy.ended(now, ob)
	r.running--
	if r.done {
		return
	}
	d := retry.Decide(now, w.state(r, ob.Result), in.budgets[r.service.name])
	r.mayHaveRun = r.mayHaveRun || !ob.Result.ProvedNotRun()
	switch d.Action {
	case retry.Deliver:
		w.finish(now, r, ob.Result == health.OK)
	case retry.Retry:
		if !w.send(now, in, r) {
			w.finish(now, r, false)
		}
	case retry.GiveUp:
		w.finish(now, r, false)
	}
}

func (w *simulation) finish(now time.Duration, r *request, ok bool) {
	r.done = true
	if w.fault.service == w.serviceIndex(r.service) && r.arrived >= faultStart && r.arrived < faultEnd {
		w.outcome.recordRequest(r.workspace, now-r.arrived, ok)
	}
}

func (w *simulation) serviceIndex(s *service) int { return slices.Index(w.services, s) }
