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

// world runs one trial: a list of arrivals and answers from a seed, worked
// off in one loop.
type world struct {
	deployment deployment
	fault      *fault
	rng        *rand.Rand
	services   []*service
	instances  []*instance
	collector  *health.Collector
	permits    map[string]config.Permits
	events     events
	order      int
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

func (w *world) at(t time.Duration, run func(time.Duration)) {
	w.order++
	heap.Push(&w.events, event{t, w.order, run})
}

// request is one caller's request on its way.
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

func newWorld(d deployment, f *fault, kind string, seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &world{
		deployment: d, fault: f, rng: rng, services: newServices(d),
		collector: health.NewCollector(health.DefaultSettings()),
		permits:   map[string]config.Permits{},
		until:     trialEnd,
	}
	w.collector.SetFleetSize(d.instances, d.dataCentres)
	for i := range d.instances {
		w.instances = append(w.instances, newInstance(kind, i, d.dataCentres, w.services, rng))
	}
	w.outcome = newOutcome()
	return w
}

func (w *world) run() *outcome {
	for _, s := range w.services {
		w.arrivals(s)
	}
	w.at(0, w.tick)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if e.at >= w.until {
			break
		}
		e.run(e.at)
	}
	w.outcome.healthyEjectionsAlone(w)
	return &w.outcome
}

// arrivals schedules a service's next request, and itself again.
func (w *world) arrivals(s *service) {
	capacity := float64(s.serviceSize.servers*s.slots) / (1.13 * medianWork.Seconds())
	gap := w.rng.ExpFloat64() / (s.use * capacity)
	next := time.Duration(gap * float64(time.Second))
	var arrive func(time.Duration)
	arrive = func(now time.Duration) {
		r := &request{service: s, workspace: w.drawWorkspace(), arrived: now}
		w.start(now, w.draw(now, r.workspace), r)
		w.at(now+time.Duration(w.rng.ExpFloat64()/(s.use*capacity)*float64(time.Second)), arrive)
	}
	w.at(next, arrive)
}

func (w *world) drawWorkspace() int {
	x := w.rng.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return 0
}

// serving are the instances that a workspace's callers use: six for a small
// workspace, half of the fleet for a large one.
func (w *world) serving(workspace int) []*instance {
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

// draw is the instance that a caller uses. It hears from locate within
// locateTime that an instance has left because of its own network.
func (w *world) draw(now time.Duration, workspace int) *instance {
	list := w.serving(workspace)
	in := list[w.rng.IntN(len(list))]
	for in.left && now-in.leftAt > locateTime {
		in = list[w.rng.IntN(len(list))]
	}
	return in
}

const (
	locateTime = 3 * time.Second
	// awayTime is how long an instance with a bad network stays away.
	awayTime = 20 * time.Second
)

// leave takes an instance out of the addresses told, at most one at a time.
func (w *world) leave(now time.Duration, in *instance) {
	for _, other := range w.instances {
		other.left = other.left && now-other.leftAt < awayTime
		if other.left {
			return
		}
	}
	in.left, in.leftAt = true, now
	w.outcome.left = append(w.outcome.left, in.index)
}

func (w *world) start(now time.Duration, in *instance, r *request) {
	in.budgets[r.service.name].RecordRequest()
	if !w.send(now, in, r) {
		w.finish(now, r, false)
	}
}

// send makes the next attempt.
func (w *world) send(now time.Duration, in *instance, r *request) bool {
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
	if late := in.policy.lateAfter(r.service.name); late > 0 && a.latency > late {
		ob.ReportedLate = true
		w.at(now+late, func(now time.Duration) { w.late(now, in, r, ob, late) })
	}
	w.at(now+a.latency, func(now time.Duration) { w.end(now, in, r, ob) })
	return true
}

// late tells the policy of an attempt that is still out, and may hedge it.
func (w *world) late(now time.Duration, in *instance, r *request, ob health.Observation, waited time.Duration) {
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

func (w *world) state(r *request, result health.Result) retry.Attempt {
	return retry.Attempt{
		Result: result, Idempotent: r.service.idempotent, AttemptCount: r.attempts, MayHaveRun: r.mayHaveRun,
		InFlight: r.running, Deadline: r.arrived + 2*timeout, Untried: len(r.service.servers) - len(r.tried), UntriedHasSlot: true,
	}
}

func (w *world) end(now time.Duration, in *instance, r *request, ob health.Observation) {
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

func (w *world) finish(now time.Duration, r *request, ok bool) {
	r.done = true
	if w.fault.service == w.serviceIndex(r.service) && r.arrived >= faultStart && r.arrived < faultEnd {
		w.outcome.served(r.workspace, now-r.arrived, ok)
	}
}

func (w *world) serviceIndex(s *service) int { return slices.Index(w.services, s) }
