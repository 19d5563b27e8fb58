// Package balance chooses the backend server for an attempt: the less loaded
// of two, drawn by weight. It also chooses which servers an instance connects
// to at all, so that a server's connections stay bounded in a large fleet.
package balance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Server is a backend server as this instance sees it now.
type Server struct {
	ID         string
	DataCentre string
	// Slots is how many requests it works on at the same time.
	Slots int
	// Weight is from 0 to 1, from health.Observer.
	Weight float64
	// Leaving and Ejected servers get nothing new.
	Leaving bool
	Ejected bool
}

// Options of one pick.
type Options struct {
	// Exclude lists servers that this request tried already.
	Exclude []string
	// AvoidSuspects keeps away from suspect servers while there is a better one.
	// It is meant for requests that can't be sent a second time: a failure
	// costs their caller more than it costs a lookup, which is retried.
	AvoidSuspects bool
}

// Settings of the choice. See DefaultSettings.
type Settings struct {
	// Ramp is how long a new or returned server takes to full weight.
	Ramp time.Duration
	// RampStart is the share of its weight that it starts with.
	RampStart float64
	// CarefulWeight is the weight below which a server counts as suspect.
	CarefulWeight float64
}

// DefaultSettings returns the settings used unless operators change them.
func DefaultSettings() Settings {
	return Settings{Ramp: 10 * time.Second, RampStart: 0.1, CarefulWeight: 0.5}
}

// minWeight keeps weights above zero in divisions.
const minWeight = 0.001

// Picker chooses servers for one instance and counts what it has in flight.
type Picker struct {
	settings Settings
	rng      *rand.Rand
	services map[string]*view
}

// view is what the picker remembers of one service.
type view struct {
	// seen is false until the first list: its servers need no ramp.
	seen    bool
	servers map[string]*entry
}

type entry struct {
	inFlight int
	// since is when the server came into use, for the ramp.
	since  time.Duration
	ramped bool
	out    bool
}

// NewPicker returns a picker with nothing in flight.
func NewPicker(s Settings, rng *rand.Rand) *Picker {
	return &Picker{settings: s, rng: rng, services: map[string]*view{}}
}

// Pick returns the server for an attempt, or false if none may be used. The
// servers are the instance's whole view of the service at this moment.
func (p *Picker) Pick(now time.Duration, service string, servers []Server, o Options) (string, bool) {
	v := p.view(service)
	candidates := p.candidates(now, v, servers, o.Exclude)
	if o.AvoidSuspects {
		candidates = careful(candidates, p.settings.CarefulWeight)
	}
	if len(candidates) == 0 {
		return "", false
	}
	first := p.draw(candidates, -1)
	second := p.draw(candidates, first)
	if second >= 0 && candidates[second].load() < candidates[first].load() {
		first = second
	}
	return candidates[first].id, true
}

// Started counts an attempt that was sent to a server.
func (p *Picker) Started(service, server string) {
	p.view(service).entry(server).inFlight++
}

// Ended counts the end of an attempt, however it ended.
func (p *Picker) Ended(service, server string) {
	e := p.view(service).entry(server)
	e.inFlight = max(0, e.inFlight-1)
}

// InFlight returns how many attempts this instance has at a server.
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

func (p *Picker) view(service string) *view {
	v, ok := p.services[service]
	if !ok {
		v = &view{servers: map[string]*entry{}}
		p.services[service] = v
	}
	return v
}

func (v *view) entry(server string) *entry {
	e, ok := v.servers[server]
	if !ok {
		e = &entry{ramped: true}
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

// load is the share of the server's slots that this instance uses. The weight
// isn't in it: it decides how often a server is drawn. With the weight in
// both, a suspect server would lose every comparison, get nothing at all, and
// never show that it is well again.
func (c candidate) load() float64 {
	return c.inFlight / c.slots
}

func (p *Picker) candidates(now time.Duration, v *view, servers []Server, exclude []string) []candidate {
	list := make([]candidate, 0, len(servers))
	for _, s := range servers {
		e := p.track(now, v, s)
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
	v.seen = true
	return list
}

// track notices new servers and returns from ejection, which start slowly.
func (p *Picker) track(now time.Duration, v *view, s Server) *entry {
	e, known := v.servers[s.ID]
	if !known {
		e = &entry{since: now, ramped: !v.seen}
		v.servers[s.ID] = e
	}
	if e.out && !s.Ejected {
		e.since = now
		e.ramped = false
	}
	e.out = s.Ejected
	return e
}

// ramp returns the share of its weight that a server may use by now.
func (p *Picker) ramp(now time.Duration, e *entry) float64 {
	age := now - e.since
	if e.ramped || age >= p.settings.Ramp {
		e.ramped = true
		return 1
	}
	return p.settings.RampStart + (1-p.settings.RampStart)*age.Seconds()/p.settings.Ramp.Seconds()
}

// careful drops suspect servers, unless all are.
func careful(list []candidate, weight float64) []candidate {
	var kept []candidate
	for _, c := range list {
		if c.weight >= weight {
			kept = append(kept, c)
		}
	}
	if len(kept) == 0 {
		return list
	}
	return kept
}

// draw returns the index of a candidate, by weight and slots; -1 if none.
func (p *Picker) draw(list []candidate, not int) int {
	total := 0.0
	for i, c := range list {
		if i != not {
			total += c.weight * c.slots
		}
	}
	left := p.rng.Float64() * total
	last := -1
	for i, c := range list {
		if i == not {
			continue
		}
		last = i
		left -= c.weight * c.slots
		if left < 0 {
			break
		}
	}
	return last
}

// SetServers drops what is kept of servers that are gone. The list has all
// servers of the service, also the leaving and the ejected ones.
func (p *Picker) SetServers(service string, servers []string) {
	v := p.view(service)
	maps.DeleteFunc(v.servers, func(id string, e *entry) bool {
		return e.inFlight == 0 && !slices.Contains(servers, id)
	})
}
