package lab

import (
	"math/rand/v2"
	"time"

	"foxtailspoke/discovery"
	"foxtailspoke/health"
	"foxtailspoke/placement"
)

const (
	// quick is the time of an answer that takes no work.
	quick = 3 * time.Millisecond
	// connectFor is how long an instance tries to connect.
	connectFor = 300 * time.Millisecond
)

// service is the servers of a service.
type service struct {
	world   *world
	plan    Service
	name    string
	servers []*server
}

// server is a simulated backend server.
type server struct {
	service *service
	entry   discovery.Server
	hash    uint32
	number  int
	speed   float64
	busy    int
	queue   []*job
	// spells holds the ends of good and bad times by turns, drawn beforehand.
	spells      []spell
	lastArrival time.Duration
	// charged is the end of the last spell that cost a request.
	charged time.Duration
	rng     *rand.Rand
}

type spell struct {
	until time.Duration
	ill   bool
}

// job is an attempt at a server.
type job struct {
	kind RequestKind
	// work is what a server of usual speed takes for it.
	work time.Duration
	// deadline is when the instance's time for it is up.
	deadline time.Duration
	// done is told once how it ended.
	done  func(health.Result)
	ended bool
	runs  bool
}

func newService(w *world, number int, plan Service) *service {
	s := &service{world: w, plan: plan, name: string(rune('a' + number))}
	for i := range plan.Servers {
		id := s.name + "-" + string(rune('A'+i))
		v := &server{
			service: s, number: i, speed: plan.Slowdowns[i], hash: placement.Hash(id), lastArrival: -time.Hour,
			rng: rand.New(rand.NewPCG(w.seed, uint64(1000*(number+1)+i))),
			entry: discovery.Server{
				ID: id, Service: s.name, Address: id, Slots: plan.Slots,
				DataCentre: dataCentre(i % w.deployment.DataCentres),
			},
		}
		v.drawSpells(plan.Faults)
		s.servers = append(s.servers, v)
	}
	return s
}

func dataCentre(n int) string { return string(rune('p' + n)) }

// drawSpells draws good and bad times so that the share of the bad ones is as
// planned.
func (v *server) drawSpells(s Faults) {
	well := float64(s.MeanDuration) * (1 - s.Share) / s.Share
	ill := v.rng.Float64() < s.Share
	for t := time.Duration(0); t < SimulationLength; ill = !ill {
		mean := well
		if ill {
			mean = float64(s.MeanDuration)
		}
		t += time.Duration(v.rng.ExpFloat64() * mean)
		v.spells = append(v.spells, spell{t, ill})
	}
}

func (v *server) ill(now time.Duration) bool { return v.spell(now).ill }

func (v *server) spell(now time.Duration) spell {
	for _, s := range v.spells {
		if now < s.until {
			return s
		}
	}
	return spell{}
}

// charge counts a failure against the spell that caused it.
func (v *server) charge() {
	w := v.service.world
	if w.now < WarmUp {
		return
	}
	if s := v.spell(w.now); s.until != v.charged {
		v.charged = s.until
		w.tally.spells++
	}
	w.tally.failures++
}

// arrive takes in an attempt.
func (v *server) arrive(j *job) {
	w, p := v.service.world, v.service.plan
	v.lastArrival = w.now
	switch {
	case p.ShedWindow.holds(w.now) && v.rng.Float64() < p.ShedShare, v.busy >= p.Slots && len(v.queue) >= p.Queue:
		v.finish(j, quick, health.Shed)
		return
	case v.ill(w.now) && v.rng.Float64() < p.Faults.FailureShare:
		v.charge()
		v.fail(j, p.Faults.Mode)
		return
	}
	v.enqueue(j)
}

// fail has an attempt fail as servers do in a spell.
func (v *server) fail(j *job, mode Mode) {
	switch mode {
	case Reset:
		v.finish(j, quick, health.Incomplete)
	case Error:
		v.finish(j, quick, health.ServerError)
	case Slow:
		j.work *= 5
		v.enqueue(j)
	case Truncate:
		v.service.world.after(j.work, func() { v.end(j, health.Incomplete) })
	case Hang, LoseAnswer:
		// The slot is taken until the instance gives up, or the work is done.
		v.busy++
		j.runs = true
		if mode == LoseAnswer {
			v.service.world.after(j.work, func() { v.release(j) })
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
	j.runs = true
	took := time.Duration(float64(j.work) * v.speed)
	result := health.OK
	if v.rng.Float64() < v.service.plan.ErrorShare {
		result = health.ServerError
	}
	v.service.world.after(took, func() {
		v.release(j)
		v.end(j, result)
	})
}

// release frees an attempt's slot, once.
func (v *server) release(j *job) {
	if !j.runs {
		return
	}
	j.runs = false
	v.busy--
	for len(v.queue) > 0 && v.busy < v.service.plan.Slots {
		next := v.queue[0]
		v.queue = v.queue[1:]
		if !next.ended {
			v.run(next)
		}
	}
}

// cancel takes in that the instance has given an attempt up.
func (v *server) cancel(j *job) {
	j.ended = true
	v.release(j)
}

func (v *server) finish(j *job, after time.Duration, r health.Result) {
	v.service.world.after(after, func() { v.end(j, r) })
}

func (v *server) end(j *job, r health.Result) {
	if j.ended {
		return
	}
	j.ended = true
	j.done(r)
}
