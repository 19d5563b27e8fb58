package placement

import (
	"slices"
	"time"

	"foxtailspoke/discovery"
)

const (
	// minMisdirectedHold is the time without requests to a server after a misdirected one:
	// somewhat more than the time between two writes of a server's entry.
	minMisdirectedHold = 2 * time.Second
	// maxMisdirectedHold bounds the hold, which doubles while the server's address remains
	// that of another one.
	maxMisdirectedHold = 16 * time.Second
	// reportedHoldFactor lengthens the hold at instances that only know the misdirected
	// request by report, so that the one that sent it tries the server again first.
	reportedHoldFactor = 1.5
)

// misdirection records that another server rejected a request as not its own (421): the
// entry of the server it was meant for is false until the server proves otherwise.
type misdirection struct {
	hold time.Duration
	// until is when the hold ends; 0 if there is none.
	until time.Duration
}

// record records a misdirected request of this instance (own) or another. Those that were
// sent before the hold was known don't extend it.
func (m *misdirection) record(own bool, now time.Duration) {
	if now < m.until {
		return
	}
	m.hold = min(max(2*m.hold, minMisdirectedHold), maxMisdirectedHold)
	m.until = now + m.hold
	if !own {
		m.until = now + time.Duration(reportedHoldFactor*float64(m.hold))
	}
}

func (m *misdirection) holds(now time.Duration) bool { return now < m.until }

// addressReused reports whether another server has the address of a server.
func (s *server) addressReused(now time.Duration) bool {
	return s.superseded || s.misdirection.holds(now)
}

// updateSuperseded marks the servers whose address a server that started later has: an
// address belongs to one server at a time, and the entry of a crashed one remains for
// seconds.
func (p *Placer) updateSuperseded(address string) {
	latest := int64(0)
	for _, s := range p.byAddress[address] {
		latest = max(latest, s.entry.StartTimeMS)
	}
	for _, s := range p.byAddress[address] {
		s.superseded = s.entry.StartTimeMS < latest
	}
}

// setEntry replaces the entry of a server.
func (p *Placer) setEntry(s *server, entry discovery.Server) {
	if entry.Address != s.entry.Address {
		p.removeAddress(s)
		p.byAddress[entry.Address] = append(p.byAddress[entry.Address], s)
		s.misdirection = misdirection{}
	}
	s.entry = entry
	p.updateSuperseded(entry.Address)
}

// removeAddress removes a server from those at its address.
func (p *Placer) removeAddress(s *server) {
	address := s.entry.Address
	p.byAddress[address] = slices.DeleteFunc(p.byAddress[address], func(o *server) bool { return o == s })
	if len(p.byAddress[address]) == 0 {
		delete(p.byAddress, address)
	}
	p.updateSuperseded(address)
}

// ServiceAt returns the service of the server that has an address, or false if none is
// known.
func (p *Placer) ServiceAt(address string) (string, bool) {
	for _, s := range p.byAddress[address] {
		if !s.superseded {
			return s.entry.Service, true
		}
	}
	return "", false
}
