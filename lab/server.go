package lab

import (
	"math/rand/v2"
	"time"

	"foxtailspoke/discovery"
	"foxtailspoke/health"
	"foxtailspoke/placement"
)

const (
	// immediateLatency is the response time of an answer that needs no processing.
	immediateLatency = 3 * time.Millisecond
	// connectTimeout is the time after which a connection attempt fails.
	connectTimeout = 300 * time.Millisecond
)

// service is a service with its backend servers.
type service struct {
	sim     *simulation
	plan    Service
	name    string
	servers []*server
}

// server is a simulated backend server.
type server struct {
	service  *service
	entry    discovery.Server
	hash     uint32
	number   int
	slowdown float64
	busy     int
	queue    []*job
	// periods holds alternating healthy and faulty periods, drawn in advance.
	periods     []period
	lastArrival time.Duration
	// lastFailurePeriod is the end of the last faulty period that a failed request
	// was counted for.
	lastFailurePeriod time.Duration
	rng               *rand.Rand
}

type period struct {
	until  time.Duration
	faulty bool
}

// job is an attempt as its server sees it.
type job struct {
	kind RequestKind
	// serviceTime is the service time on a server with a slowdown of 1.
	serviceTime time.Duration
	// deadline is when the instance gives up on it.
	deadline time.Duration
	// done is called once, with the result.
	done      func(health.Result)
	ended     bool
	holdsSlot bool
}

func newService(w *simulation, number int, plan Service) *service {
	s := &service{sim: w, plan: plan, name: string(rune('a' + number))}
	for i := range plan.Servers {
		id := s.name + "-" + string(rune('A'+i))
		v := &server{
			service: s, number: i, slowdown: plan.Slowdowns[i], hash: placement.Hash(id), lastArrival: -time.Hour,
			rng: rand.New(rand.NewPCG(w.seed, uint64(1000*(number+1)+i))),
			entry: discovery.Server{
				ID: id, Service: s.name, Address: id, Slots: plan.Slots,
				DataCentre: dataCentre(i % w.deployment.DataCentres),
			},
		}
		v.drawPeriods(plan.Faults)
		s.servers = append(s.servers, v)
	}
	return s
}

func dataCentre(n int) string { return string(rune('p' + n)) }

// drawPeriods draws healthy and faulty periods so that the expected share of
// faulty time is as configured.
func (v *server) drawPeriods(s Faults) {
	healthyMean := float64(s.MeanDuration) * (1 - s.Share) / s.Share
	faulty := v.rng.Float64() < s.Share
	for t := time.Duration(0); t < SimulationLength; faulty = !faulty {
		mean := healthyMean
		if faulty {
			mean = float64(s.MeanDuration)
		}
		t += time.Duration(v.rng.ExpFloat64() * mean)
		v.periods = append(v.periods, period{t, faulty})
	}
}

func (v *server) faulty(now time.Duration) bool { return v.periodAt(now).faulty }

func (v *server) periodAt(now time.Duration) period {
	for _, s := range v.periods {
		if now < s.until {
			return s
		}
	}
	return period{}
}

// countFailure counts a failed request, and the faulty period at its first failed
// request.
func (v *server) countFailure() {
	w := v.service.sim
	if w.now < WarmUp {
		return
	}
	if s := v.periodAt(w.now); s.until != v.lastFailurePeriod {
		v.lastFailurePeriod = s.until
		w.tally.faults++
	}
	w.tally.failures++
}

// arrive runs or queues an attempt, or sheds or fails it.
func (v *server) arrive(j *job) {
	w, p := v.service.sim, v.service.plan
	v.lastArrival = w.now
	switch {
	case p.ShedWindow.contains(w.now) && v.rng.Float64() < p.ShedShare, v.busy >= p.Slots && len(v.queue) >= p.Queue:
		v.finish(j, immediateLatency, health.Shed)
		return
	case v.faulty(w.now) && v.rng.Float64() < p.Faults.FailureShare:
		v.countFailure()
		v.fail(j, p.Faults.Mode)
		return
	}
	v.enqueue(j)
}

// fail makes an attempt fail in the given mode.
func (v *server) fail(j *job, mode Mode) {
	switch mode {
	case Reset:
		v.finish(j, immediateLatency, health.Incomplete)
	case Error:
		v.finish(j, immediateLatency, health.ServerError)
	case Slow:
		j.serviceTime *= 5
		v.enqueue(j)
	case Truncate:
		v.service.sim.schedule(j.serviceTime, func() { v.end(j, health.Incomplete) })
	case Hang, LoseAnswer:
		// The slot stays taken until the instance cancels the attempt or, for
		// LoseAnswer, until the work is done.
		v.busy++
		j.holdsSlot = true
		if mode == LoseAnswer {
			v.service.sim.schedule(j.serviceTime, func() { v.release(j) })
		}
	case Blackhole, modes:
	}
}

func (v *server) enqueue(j *job) {
	if v.busy >= v.service.plan.Slots {
		v.queue = append(v.queue, j)
		return
	}
	v.run(j)
}

func (v *server) run(j *job) {
	v.busy++
	j.holdsSlot = true
	took := time.Duration(float64(j.serviceTime) * v.slowdown)
	result := health.OK
	if v.rng.Float64() < v.service.plan.ErrorShare {
		result = health.ServerError
	}
	v.service.sim.schedule(took, func() {
		v.release(j)
		v.end(j, result)
	})
}

// release frees an attempt's slot, if it holds one, and starts queued attempts.
func (v *server) release(j *job) {
	if !j.holdsSlot {
		return
	}
	j.holdsSlot = false
	v.busy--
	for len(v.queue) > 0 && v.busy < v.service.plan.Slots {
		next := v.queue[0]
		v.queue = v.queue[1:]
		if !next.ended {
			v.run(next)
		}
	}
}

// cancel ends an attempt that the instance has given up.
func (v *server) cancel(j *job) {
	j.ended = true
	v.release(j)
}

func (v *server) finish(j *job, after time.Duration, r health.Result) {
	v.service.sim.schedule(after, func() { v.end(j, r) })
}

func (v *server) end(j *job, r health.Result) {
	if j.ended {
		return
	}
	j.ended = true
	j.done(r)
}
