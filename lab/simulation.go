// Package lab simulates fleets in virtual time, to compare two policies on the
// same random deployments.
//
// A deployment is drawn from wide ranges (Wide). Its instances run the product's
// placement, retry and usage decisions and exchange messages that are delayed,
// lost or cut off by a partition. Backend servers have slots, queues, different
// speeds and periods of faults, and shed load. Callers have latency targets, give
// up at their timeout and retry after the time that they are told. A seed
// determines the deployment, the arrivals and the faults for every policy, so the
// paired difference shows small effects that are lost in the variation of single
// runs.
//
// Not modelled: network bandwidth, processors, the platform's store, and changes
// of the configuration or of the list of servers. docs/CUSTOMER.md describes where
// the figures differ from those of real runs.
package lab

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"foxtailspoke/mechanism"
)

// event is a function to be run at a simulated time.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation is the state of one run.
type simulation struct {
	deployment Deployment
	off        mechanism.Disabled
	now        time.Duration
	events     events
	sequence   uint64
	// environmentRNG drives what does not depend on the policy, policyRNG the
	// policy's own random choices.
	environmentRNG, policyRNG *rand.Rand
	seed                      uint64
	services                  []*service
	instances                 []*instance
	tally                     tally
	// requestCount numbers the callers' requests.
	requestCount uint64
}

// Simulate runs a deployment with the mechanisms in off disabled. The seed
// determines the arrivals, the faults and all random choices.
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

// schedule runs a function after a delay in simulated time.
func (w *simulation) schedule(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{w.now + d, w.sequence, do})
}

// scheduleArrivals schedules the first attempts of all callers, which are the
// same for every policy.
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

// sampleIdle counts, every 100 ms, the healthy servers and those of them that
// are idle.
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

// idleThreshold is the time without a request after which a healthy server
// counts as idle.
const idleThreshold = 2 * time.Second

// logNormal draws from a log-normal distribution with a mean and a coefficient
// of variation.
func logNormal(rng *rand.Rand, mean time.Duration, spread float64) time.Duration {
	variance := math.Log1p(spread * spread)
	return time.Duration(float64(mean) * math.Exp(rng.NormFloat64()*math.Sqrt(variance)-variance/2))
}
