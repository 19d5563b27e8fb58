package placement

import "time"

// idleWindow is the time without a request after which a healthy server is idle.
const idleWindow = 2 * time.Second

// useStats estimates how many of a service's healthy servers are in use. A server
// counts by the probability that it is healthy.
type useStats struct{ healthy, inUse float64 }

// add counts a server that received its last request the given time ago.
func (u *useStats) add(s *server, within, now time.Duration) {
	p := 1 - s.belief.decayedTo(now).unhealthy()
	u.healthy += p
	if s.used && now-s.lastUse <= within {
		u.inUse += p
	}
}

// share returns the expected share of the healthy servers that are in use, 1 if
// there are none.
func (u *useStats) share() float64 {
	if u.healthy == 0 {
		return 1
	}
	return u.inUse / u.healthy
}

// HealthyInUse returns the expected share of a service's healthy servers that received
// a request of any instance in the last two seconds. Servers that may receive none or
// only a limited number are left out.
func (p *Placer) HealthyInUse(serviceName string, now time.Duration) float64 {
	g := p.service(serviceName)
	var u useStats
	for _, s := range g.servers {
		if p.unlimited(g, s, now) {
			u.add(s, idleWindow, now)
		}
	}
	return u.share()
}
