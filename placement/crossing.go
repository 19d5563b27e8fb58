package placement

import (
	"math"
	"time"
)

// crossingCost returns the cost of serving the request in a data centre. Requests that explore
// a server never pay more than the fixed cost: servers must stay in use wherever they are.
func (r Request) crossingCost(dataCentre string, reason exploration) float64 {
	if dataCentre == r.DataCentre {
		return 0
	}
	fixed := math.Min(crossDCCost+crossDCCostPerKB*r.SizeKB, maxCrossDCCost)
	switch {
	case r.PlannedDataCentre == "":
		return fixed
	case dataCentre == r.PlannedDataCentre:
		return 0
	case reason != noExploration:
		return math.Min(fixed, r.LeavingCost)
	}
	return r.LeavingCost
}

// LeavingCost returns the cost of serving a request in another data centre although it was
// planned to stay, for the price of a kilobyte in lost requests. The bound keeps local servers
// that fail, or that nothing is known about, dearer than healthy ones elsewhere.
func LeavingCost(sizeKB, pricePerKB float64) float64 {
	return math.Min(plannedLeavingCost+pricePerKB*sizeKB, maxCrossDCCost)
}

// minCapacityAnswers is the number of answers after which the mean service time of a service has
// come within a tenth of its value.
const minCapacityAnswers = 50

// Capacity is that of the servers of a service in one data centre, without those that may
// receive no requests.
type Capacity struct {
	// RequestsPerSecond is the number of requests that they are expected to handle.
	RequestsPerSecond float64
	// Slots is the number of their slots, each by the probability that its server is healthy.
	Slots float64
	// Waiting is the number of requests that wait for a slot there.
	Waiting int
}

// Capacities returns the capacity of each service by data centre. It depends only on what all
// instances receive, not on paths or back-offs of this one, so that all get the same figures
// within the delay of messages. Services with few answers so far are left out, as their service
// time, a moving average that starts at 0, is still too short.
func (p *Placer) Capacities(now time.Duration) map[string]map[string]Capacity {
	all := make(map[string]map[string]Capacity, len(p.services))
	for name, g := range p.services {
		if g.answers < minCapacityAnswers {
			continue
		}
		byCentre := make(map[string]Capacity)
		for _, s := range g.servers {
			c := byCentre[s.entry.DataCentre]
			p.addCapacity(&c, g, s, now)
			byCentre[s.entry.DataCentre] = c
		}
		all[name] = byCentre
	}
	return all
}

// addCapacity adds the capacity of a server of g.
func (p *Placer) addCapacity(c *Capacity, g *service, s *server, now time.Duration) {
	if s.entry.Draining || s.addressReused(now) || p.evacuated[s.entry.DataCentre] {
		return
	}
	healthy := 1 - s.belief.decayedTo(now).unhealthy()
	slots := healthy * float64(s.entry.Slots)
	rate := slots / (s.currentSlowness(now) * g.serviceTime.Seconds())
	if g.warmUp.limitsServer(s, now) {
		rate = math.Min(rate, g.warmUp.Rate)
	}
	if p.rateLimiter != nil {
		if limit, limited := p.rateLimiter.Limit(s.hash); limited {
			rate = math.Min(rate, limit)
		}
	}
	c.Slots += slots
	c.RequestsPerSecond += rate
	c.Waiting += max(0, s.currentOutstanding(now)-s.entry.Slots)
}
