// Package lab plays fleets in simulated time, to compare two policies on the
// same draws.
//
// Idea: a deployment is drawn from wide ranges (Wide). Its instances run the
// decisions of the product (placement, retry, usage) and hear of each other
// through messages that are delayed, lost and cut; backend servers have slots,
// queues, speeds, spells and refusals; callers have aims, leave at their
// timeout and come back when told to. The same seed draws the same deployment,
// the same arrivals and the same spells for every policy, so that the paired
// difference shows small effects that one run hides.
//
// What it leaves out: the network's bandwidth, processors, the platform's
// store, changes of the configuration and of the list of servers. See
// docs/CUSTOMER.md for where its figures part from real plays.
package lab

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"foxtailspoke/mechanism"
)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation is one play.
type simulation struct {
	deployment Deployment
	off        mechanism.Disabled
	now        time.Duration
	events     events
	order      uint64
	// environmentRNG draws what happens whatever the policy does, policyRNG what the
	// policy draws.
	environmentRNG, policyRNG *rand.Rand
	seed                      uint64
	services                  []*service
	instances                 []*instance
	tally                     tally
	// requestCount numbers the callers' requests.
	requestCount uint64
}

// Simulate plays a deployment with a policy. The seed fixes arrivals, spells and
// chance.
func Simulate(d Deployment, off mechanism.Disabled, seed uint64) Measures {
	w := &simulation{
		deployment: d, off: off, seed: seed,
		environmentRNG: rand.New(rand.NewPCG(seed, 1)), policyRNG: rand.New(rand.NewPCG(seed, 2)),
	}
	for i, s := range d.Services {
		w.services = append(w.services, newService(w, i, s))
	}
	w.tally = newTally(d)
	w.startInstances()
	w.scheduleArrivals()
	if d.RestartAt > 0 {
		w.schedule(d.RestartAt, w.startInstances)
	}
	w.schedule(WarmUp, w.sampleIdle)
	for len(w.events) > 0 && w.events[0].at <= SimulationLength {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	return w.tally.measures()
}

func (w *simulation) startInstances() {
	w.instances = nil
	for i := range w.deployment.Instances {
		w.instances = append(w.instances, newInstance(w, i))
	}
}

// schedule has something done later.
func (w *simulation) schedule(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

// scheduleArrivals plans all callers' first requests, which no policy changes.
func (w *simulation) scheduleArrivals() {
	for si, s := range w.deployment.Services {
		for ki, k := range s.Kinds {
			rng := rand.New(rand.NewPCG(w.seed, uint64(100+10*si+ki)))
			for t := time.Duration(0); t < SimulationLength; {
				perSecond := k.RequestsPerSecond
				if w.deployment.BurstWindow.contains(t) {
					perSecond *= w.deployment.BurstFactor
				}
				t += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
				w.requestCount++
				c := newCaller(w, si, k, rng, w.requestCount)
				w.schedule(t, c.submit)
			}
		}
	}
}

// sampleIdle measures, ten times a second, which healthy servers lie idle.
func (w *simulation) sampleIdle() {
	for _, s := range w.services {
		for _, v := range s.servers {
			if v.faulty(w.now) {
				continue
			}
			w.tally.healthy++
			if w.now-v.lastArrival > idleThreshold {
				w.tally.idle++
			}
		}
	}
	w.schedule(100*time.Millisecond, w.sampleIdle)
}

// idleThreshold is the time without a request from which a healthy server counts
// as left out.
const idleThreshold = 2 * time.Second

// logNormal draws around a mean with a deviation as a share of it.
func logNormal(rng *rand.Rand, mean time.Duration, spread float64) time.Duration {
	variance := math.Log1p(spread * spread)
	return time.Duration(float64(mean) * math.Exp(rng.NormFloat64()*math.Sqrt(variance)-variance/2))
}
