// Package balance selects the backend server for an attempt by weighted random
// sampling and the power of two choices. It also selects the subset of servers
// that an instance connects to, which bounds the connections per server in a
// large fleet.
package balance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Server is the current state of a backend server as known to this instance.
type Server struct {
	ID         string
	DataCentre string
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// Weight is between 0 and 1, as given by health.Observer.
	Weight float64
	// Leaving and Ejected servers get no new requests.
	Leaving bool
	Ejected bool
}

// Options modify a single pick.
type Options struct {
	// Exclude lists servers that this request has already tried.
	Exclude []string
	// AvoidSuspects excludes suspect servers while there are others. It is meant
	// for requests that can't be retried, for which a failure costs the caller
	// more.
	AvoidSuspects bool
}

// Settings configure a Picker. See DefaultSettings.
type Settings struct {
	// Ramp is the time in which a new or readmitted server reaches its full
	// weight.
	Ramp time.Duration
	// RampStart is the share of its weight with which such a server starts.
	RampStart float64
	// CarefulWeight is the weight below which a server counts as suspect.
	CarefulWeight float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{Ramp: 10 * time.Second, RampStart: 0.1, CarefulWeight: 0.5}
}

// minWeight keeps weights above zero, so that every candidate can be sampled.
const minWeight = 0.001

// Picker selects servers for one instance and counts the attempts that the
// instance has in flight.
type Picker struct {
	settings Settings
	rng      *rand.Rand
	services map[string]*serviceState
}

// serviceState is the picker's state of one service.
type serviceState struct {
	// initialized is set after the first list of servers, which start without
	// a ramp.
	initialized bool
	servers     map[string]*serverState
}

type serverState struct {
	inFlight int
	// inUseSince is when the ramp of the server started.
	inUseSince time.Duration
	ramped     bool
	ejected    bool
}

// NewPicker returns a picker without attempts in flight.
func NewPicker(s Settings, rng *rand.Rand) *Picker {
	return &Picker{settings: s, rng: rng, services: map[string]*serviceState{}}
}

// Pick returns the server for an attempt, or false if none may be used. The list
// must contain all servers of the service that the instance currently knows.
func (p *Picker) Pick(now time.Duration, service string, servers []Server, o Options) (string, bool) {
	v := p.service(service)
	candidates := p.candidates(now, v, servers, o.Exclude)
	if o.AvoidSuspects {
		candidates = withoutSuspects(candidates, p.settings.CarefulWeight)
	}
	if len(candidates) == 0 {
		return "", false
	}
	first := p.sample(candidates, -1)
	second := p.sample(candidates, first)
	if second >= 0 && candidates[second].load() < candidates[first].load() {
		first = second
	}
	return candidates[first].id, true
}

// Started records that an attempt was sent to a server.
func (p *Picker) Started(service, server string) {
	p.service(service).server(server).inFlight++
}

// Ended records the end of an attempt, whatever its result.
func (p *Picker) Ended(service, server string) {
	e := p.service(service).server(server)
	e.inFlight = max(0, e.inFlight-1)
}

// InFlight returns the number of attempts that this instance has in flight at a
// server.
func (p *Picker) InFlight(service, server string) int {
	v, ok := p.services[service]
	if !ok {
		return 0
	}
	if e, ok := v.servers[server]; ok {
		return e.inFlight
	}
	return 0
}

func (p *Picker) service(service string) *serviceState {
	v, ok := p.services[service]
	if !ok {
		v = &serviceState{servers: map[string]*serverState{}}
		p.services[service] = v
	}
	return v
}

func (v *serviceState) server(server string) *serverState {
	e, ok := v.servers[server]
	if !ok {
		e = &serverState{ramped: true}
		v.servers[server] = e
	}
	return e
}

// candidate is a server that may be picked.
type candidate struct {
	id       string
	slots    float64
	weight   float64
	inFlight float64
}

// load returns the share of the server's slots that this instance uses. It leaves
// out the weight, which already decides how often a server is sampled. With the
// weight in both, a suspect server would lose every comparison, get no requests
// and never show that it has recovered.
func (c candidate) load() float64 {
	return c.inFlight / c.slots
}

func (p *Picker) candidates(now time.Duration, v *serviceState, servers []Server, exclude []string) []candidate {
	list := make([]candidate, 0, len(servers))
	for _, s := range servers {
		e := p.updateServer(now, v, s)
		if s.Leaving || s.Ejected || slices.Contains(exclude, s.ID) {
			continue
		}
		list = append(list, candidate{
			id:       s.ID,
			slots:    float64(max(s.Slots, 1)),
			weight:   max(s.Weight*p.ramp(now, e), minWeight),
			inFlight: float64(e.inFlight),
		})
	}
	v.initialized = true
	return list
}

// updateServer updates the state of a server and starts the ramp if the server is
// new or readmitted.
func (p *Picker) updateServer(now time.Duration, v *serviceState, s Server) *serverState {
	e, known := v.servers[s.ID]
	if !known {
		e = &serverState{inUseSince: now, ramped: !v.initialized}
		v.servers[s.ID] = e
	}
	if e.ejected && !s.Ejected {
		e.inUseSince = now
		e.ramped = false
	}
	e.ejected = s.Ejected
	return e
}

// ramp returns the current share of a server's weight.
func (p *Picker) ramp(now time.Duration, e *serverState) float64 {
	age := now - e.inUseSince
	if e.ramped || age >= p.settings.Ramp {
		e.ramped = true
		return 1
	}
	return p.settings.RampStart + (1-p.settings.RampStart)*age.Seconds()/p.settings.Ramp.Seconds()
}

// withoutSuspects returns the servers of at least minimum weight, or the whole list
// if there are none.
func withoutSuspects(list []candidate, minimum float64) []candidate {
	var kept []candidate
	for _, c := range list {
		if c.weight >= minimum {
			kept = append(kept, c)
		}
	}
	if len(kept) == 0 {
		return list
	}
	return kept
}

// sample returns the index of a random candidate other than exclude, with a
// probability proportional to weight times slots, or -1 if there is none.
func (p *Picker) sample(list []candidate, exclude int) int {
	total := 0.0
	for i, c := range list {
		if i != exclude {
			total += c.weight * c.slots
		}
	}
	remaining := p.rng.Float64() * total
	last := -1
	for i, c := range list {
		if i == exclude {
			continue
		}
		last = i
		remaining -= c.weight * c.slots
		if remaining < 0 {
			break
		}
	}
	return last
}

// SetServers removes the state of servers that aren't listed and have no attempts
// in flight. The list has all servers of the service, including leaving and
// ejected ones.
func (p *Picker) SetServers(service string, servers []string) {
	v := p.service(service)
	maps.DeleteFunc(v.servers, func(id string, e *serverState) bool {
		return e.inFlight == 0 && !slices.Contains(servers, id)
	})
}
