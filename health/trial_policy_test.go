package health_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"foxtailspoke/balance"
	"foxtailspoke/config"
	"foxtailspoke/health"
	"foxtailspoke/retry"
)

// policy selects servers for one instance.
type policy interface {
	pick(now time.Duration, s *service, workspace string, tried []string) (string, bool)
	started(service, server string)
	ended(now time.Duration, ob health.Observation)
	// avoids reports whether the instance sends the server few or no requests.
	avoids(now time.Duration, s *service, server, workspace string) bool
	lateThreshold(service string) time.Duration
	hedges(service string) bool
}

// roundRobin is the first baseline: round robin without ejections.
type roundRobin struct{ next map[string]int }

func (p *roundRobin) pick(now time.Duration, s *service, _ string, tried []string) (string, bool) {
	for range s.servers {
		p.next[s.name]++
		id := s.servers[p.next[s.name]%len(s.servers)].id
		if !slices.Contains(tried, id) {
			return id, true
		}
	}
	return "", false
}
func (p *roundRobin) started(string, string)                              {}
func (p *roundRobin) ended(time.Duration, health.Observation)             {}
func (p *roundRobin) avoids(time.Duration, *service, string, string) bool { return false }
func (p *roundRobin) hedges(string) bool                                  { return false }
func (p *roundRobin) lateThreshold(string) time.Duration                  { return 0 }

// localEjection is the second baseline: each instance ejects a server on its own for
// localEjectionTime after localEjectionErrors consecutive errors. If all servers are
// ejected, it uses them all.
type localEjection struct {
	roundRobin
	consecutiveErrors map[string]int
	ejectedUntil      map[string]time.Duration
	// ejections counts the ejections by server id.
	ejections map[string]int
}

const (
	localEjectionErrors = 5
	localEjectionTime   = 30 * time.Second
)

func (p *localEjection) pick(now time.Duration, s *service, w string, tried []string) (string, bool) {
	for range s.servers {
		id, ok := p.roundRobin.pick(now, s, w, tried)
		if !ok || now >= p.ejectedUntil[id] {
			return id, ok
		}
	}
	return p.roundRobin.pick(now, s, w, tried)
}

func (p *localEjection) ended(now time.Duration, ob health.Observation) {
	if !ob.Result.Failed() {
		p.consecutiveErrors[ob.Server] = 0
		return
	}
	p.consecutiveErrors[ob.Server]++
	if p.consecutiveErrors[ob.Server] >= localEjectionErrors && now >= p.ejectedUntil[ob.Server] {
		p.consecutiveErrors[ob.Server] = 0
		p.ejectedUntil[ob.Server] = now + localEjectionTime
		p.ejections[ob.Server]++
	}
}

func (p *localEjection) avoids(now time.Duration, _ *service, server, _ string) bool {
	return now < p.ejectedUntil[server]
}

// healthPolicy is the policy under test: health, balance and retry together.
type healthPolicy struct {
	observer *health.Observer
	picker   *balance.Picker
	// ejected is this instance's copy of the permits: the ejected servers by
	// service.
	ejected map[string][]string
}

func (p *healthPolicy) pick(now time.Duration, s *service, workspace string, tried []string) (string, bool) {
	return p.picker.Pick(now, s.name, p.serverList(now, s, workspace), balance.Options{Exclude: tried, AvoidSuspects: !s.idempotent})
}

func (p *healthPolicy) serverList(now time.Duration, s *service, workspace string) []balance.Server {
	var inUse []string
	list := make([]balance.Server, len(s.servers))
	for i, sv := range s.servers {
		list[i] = balance.Server{ID: sv.id, Slots: s.slots, Ejected: slices.Contains(p.ejected[s.name], sv.id)}
		if !list[i].Ejected {
			inUse = append(inUse, sv.id)
		}
	}
	weights := p.observer.Weights(now, s.name, workspace, inUse, s.floor)
	for i, k := 0, 0; i < len(list); i++ {
		if !list[i].Ejected {
			list[i].Weight = weights[k]
			k++
		}
	}
	return list
}

func (p *healthPolicy) started(service, server string) { p.picker.Started(service, server) }

func (p *healthPolicy) ended(now time.Duration, ob health.Observation) {
	p.observer.Observe(now, ob)
	if ob.Result != health.Late {
		p.picker.Ended(ob.Service, ob.Server)
	}
}

func (p *healthPolicy) avoids(now time.Duration, s *service, server, workspace string) bool {
	for _, sv := range p.serverList(now, s, workspace) {
		if sv.ID == server {
			return sv.Ejected || sv.Weight < health.LowWeight
		}
	}
	return true
}

func (p *healthPolicy) lateThreshold(service string) time.Duration {
	return p.observer.LateThreshold(service)
}

func (p *healthPolicy) hedges(service string) bool {
	_, ok := p.observer.HedgeDelay(service)
	return ok
}

func (p *healthPolicy) setEjected(s *service, row config.Permits) {
	var ids, inUse []string
	for _, e := range row.Ejected {
		ids = append(ids, e.Server)
	}
	for _, sv := range s.servers {
		if !slices.Contains(ids, sv.id) {
			inUse = append(inUse, sv.id)
		}
	}
	p.ejected[s.name] = ids
	p.observer.SetServers(s.name, inUse)
}

// instance is a simulated entry instance.
type instance struct {
	index       int
	policy      policy
	budgets     map[string]*retry.Budget
	withdrawn   bool
	withdrawnAt time.Duration
}

func newInstance(policyName string, index, dataCentres int, services []*service, rng *rand.Rand) *instance {
	in := &instance{index: index, budgets: map[string]*retry.Budget{}}
	for _, s := range services {
		in.budgets[s.name] = retry.NewBudget(retry.DefaultSettings(), rng)
	}
	turn := roundRobin{next: map[string]int{}}
	for _, s := range services {
		turn.next[s.name] = rng.IntN(s.serviceSize.servers)
	}
	switch policyName {
	case "round robin":
		in.policy = &turn
	case "local":
		in.policy = &localEjection{roundRobin: turn, consecutiveErrors: map[string]int{}, ejectedUntil: map[string]time.Duration{}, ejections: map[string]int{}}
	default:
		settings := health.DefaultSettings()
		settings.DataCentre = string(rune('A' + index%dataCentres))
		in.policy = &healthPolicy{
			observer: health.NewObserver(settings, rng),
			picker:   balance.NewPicker(balance.DefaultSettings(), rng),
			ejected:  map[string][]string{},
		}
	}
	return in
}
