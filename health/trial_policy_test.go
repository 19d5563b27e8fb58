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

// policy is one instance's way to choose servers.
type policy interface {
	pick(now time.Duration, s *service, workspace string, tried []string) (string, bool)
	started(service, server string)
	ended(now time.Duration, ob health.Observation)
	// avoids reports whether the instance hardly uses the server any more.
	avoids(now time.Duration, s *service, server, workspace string) bool
	lateAfter(service string) time.Duration
	hedges(service string) bool
}

// roundRobin is the first baseline: each server in turn, no ejection.
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
func (p *roundRobin) lateAfter(string) time.Duration                      { return 0 }

// alone is the second baseline: each instance by itself leaves out a server
// for 30 s after five errors in a row, as far as its floor allows.
type alone struct {
	roundRobin
	row   map[string]int
	until map[string]time.Duration
	// ejections of servers, by id.
	ejections map[string]int
}

const (
	aloneErrors = 5
	aloneTime   = 30 * time.Second
)

func (p *alone) pick(now time.Duration, s *service, w string, tried []string) (string, bool) {
	for range s.servers {
		id, ok := p.roundRobin.pick(now, s, w, tried)
		if !ok || now >= p.until[id] {
			return id, ok
		}
	}
	return p.roundRobin.pick(now, s, w, tried)
}

func (p *alone) ended(now time.Duration, ob health.Observation) {
	if !ob.Result.Failed() {
		p.row[ob.Server] = 0
		return
	}
	p.row[ob.Server]++
	if p.row[ob.Server] >= aloneErrors && now >= p.until[ob.Server] {
		p.row[ob.Server] = 0
		p.until[ob.Server] = now + aloneTime
		p.ejections[ob.Server]++
	}
}

func (p *alone) avoids(now time.Duration, _ *service, server, _ string) bool {
	return now < p.until[server]
}

// ours is the policy under trial.
type ours struct {
	observer *health.Observer
	picker   *balance.Picker
	// ejected is this instance's copy of the permits.
	ejected map[string][]string
}

func (p *ours) pick(now time.Duration, s *service, workspace string, tried []string) (string, bool) {
	return p.picker.Pick(now, s.name, p.view(now, s, workspace), balance.Options{Exclude: tried, AvoidSuspects: !s.idempotent})
}

func (p *ours) view(now time.Duration, s *service, workspace string) []balance.Server {
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

func (p *ours) started(service, server string) { p.picker.Started(service, server) }

func (p *ours) ended(now time.Duration, ob health.Observation) {
	p.observer.Observe(now, ob)
	if ob.Result != health.Late {
		p.picker.Ended(ob.Service, ob.Server)
	}
}

func (p *ours) avoids(now time.Duration, s *service, server, workspace string) bool {
	for _, sv := range p.view(now, s, workspace) {
		if sv.ID == server {
			return sv.Ejected || sv.Weight < health.LowWeight
		}
	}
	return true
}

func (p *ours) lateAfter(service string) time.Duration { return p.observer.LateThreshold(service) }

func (p *ours) hedges(service string) bool {
	_, ok := p.observer.HedgeDelay(service)
	return ok
}

func (p *ours) setEjected(s *service, row config.Permits) {
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

// instance is an entry instance of the trial.
type instance struct {
	index   int
	policy  policy
	budgets map[string]*retry.Budget
	left    bool
	leftAt  time.Duration
}

func newInstance(kind string, index, dataCentres int, services []*service, rng *rand.Rand) *instance {
	in := &instance{index: index, budgets: map[string]*retry.Budget{}}
	for _, s := range services {
		in.budgets[s.name] = retry.NewBudget(retry.DefaultSettings(), rng)
	}
	turn := roundRobin{next: map[string]int{}}
	for _, s := range services {
		turn.next[s.name] = rng.IntN(s.serviceSize.servers)
	}
	switch kind {
	case "round robin":
		in.policy = &turn
	case "each alone":
		in.policy = &alone{roundRobin: turn, row: map[string]int{}, until: map[string]time.Duration{}, ejections: map[string]int{}}
	default:
		settings := health.DefaultSettings()
		settings.DataCentre = string(rune('A' + index%dataCentres))
		in.policy = &ours{
			observer: health.NewObserver(settings, rng),
			picker:   balance.NewPicker(balance.DefaultSettings(), rng),
			ejected:  map[string][]string{},
		}
	}
	return in
}
