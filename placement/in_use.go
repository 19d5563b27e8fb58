package placement

import "time"

const (
	// idleWindow is the time without a request after which a healthy server is idle.
	idleWindow = 2 * time.Second
	// idleSoon leaves some time to send a server a request before it is idle.
	idleSoon = 1400 * time.Millisecond
	// minInUseShare is the share of the healthy servers that are kept in use. At least 0.7
	// must be in use whenever the fleet begins to lose requests; nothing that reacts to lost
	// requests is in time for that.
	minInUseShare = 0.75
)

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
	u := p.useStats(p.service(serviceName), idleWindow, now)
	return u.share()
}

// fewInUse reports whether more healthy servers must come into use. A single server that
// is probably failing isn't worth a request.
func (p *Placer) fewInUse(g *service, now time.Duration) bool {
	u := p.useStats(g, idleSoon, now)
	return u.share() < minInUseShare && u.healthy-u.inUse >= 1
}

// useStats returns the use of a service's servers within the given time.
func (p *Placer) useStats(g *service, within, now time.Duration) (u useStats) {
	for _, s := range g.servers {
		if p.unlimited(g, s, now) {
			u.add(s, within, now)
		}
	}
	return u
}
