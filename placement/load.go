package placement

import "time"

// loadRiskLimit is the risk above which a server isn't counted on: it is more likely to fail
// than not, so that its free slots are no capacity.
const loadRiskLimit = 0.5

// ServiceLoad returns the slots and the outstanding requests of the servers of a service that
// may receive any number of requests and probably don't fail.
func (p *Placer) ServiceLoad(serviceName string, now time.Duration) (slots, outstanding int) {
	g, ok := p.services[serviceName]
	if !ok {
		return 0, 0
	}
	for _, s := range g.servers {
		if p.unlimited(g, s, now) && s.risk(p.off, now) <= loadRiskLimit {
			slots += s.entry.Slots
			outstanding += s.currentOutstanding(now)
		}
	}
	return slots, outstanding
}

// HasFreeSlot reports whether a server that may receive any number of requests and probably
// doesn't fail has a free slot, apart from the given one.
func (p *Placer) HasFreeSlot(serviceName, except string, now time.Duration) bool {
	g, ok := p.services[serviceName]
	if !ok {
		return false
	}
	for _, s := range g.servers {
		if s.entry.ID != except && p.unlimited(g, s, now) && s.risk(p.off, now) <= loadRiskLimit &&
			s.currentOutstanding(now) < s.entry.Slots {
			return true
		}
	}
	return false
}

// ServerFull reports whether a server has at least as many outstanding requests as slots, apart
// from the given number, and the service to which it belongs, "" if the server is unknown.
func (p *Placer) ServerFull(hash uint32, except int, now time.Duration) (serviceName string, full bool) {
	s, ok := p.byHash[hash]
	if !ok {
		return "", false
	}
	return s.entry.Service, s.currentOutstanding(now)-except >= s.entry.Slots
}

// ServiceName returns the name of a service with servers by its hash.
func (p *Placer) ServiceName(hash uint32) (name string, ok bool) {
	for name := range p.services {
		if Hash(name) == hash {
			return name, true
		}
	}
	return "", false
}
