package health

import (
	"cmp"
	"slices"
	"time"
)

// Collector pools what instances report on services. One instance collects
// for a service; if another one believes that it does, both see part of the
// evidence and are slower, and the conditional write of the permits row keeps
// them from ejecting too many together.
type Collector struct {
	settings    Settings
	instances   int
	dataCentres int
	services    map[string]*pool
}

// pool is the pooled evidence on one service.
type pool struct {
	failed *outcomeStats
	late   *outcomeStats
	// reporters are the instances that reported lately.
	reporters map[string]*reporter
	// servers are those under suspicion, relieved, ejected or returned.
	servers  map[string]*serverState
	silentAt time.Duration
	// room is how many more servers the floor allows to take out of use.
	room int
	// advised is the advice given since adviceAt.
	advised  []Suspect
	adviceAt time.Duration
}

// reporter is what the collector remembers of a reporting instance.
type reporter struct {
	dataCentre string
	rate       float64
	lateShare  float64
	at         time.Duration
	complaints complaints
}

// serverState is the collector's course of action against one server.
type serverState struct {
	// relievedAt is when lower weights were advised for slowness.
	relieved   bool
	relievedAt time.Duration
	// inEffect says that most instances have heard, since effectAt.
	inEffect bool
	effectAt time.Duration
	// reset says that evidence from before the relief was dropped.
	reset bool
	// unwell is when the server last reported itself as sick.
	unwell   bool
	unwellAt time.Duration
	// advised is when which instance was advised to lower the weight.
	advised map[string]time.Duration
	probing probeState
}

// reporterMemory is how long a reporter counts as one.
const reporterMemory = 30 * time.Second

// unwellMemory is how long a server's own report of sickness matters.
const unwellMemory = 10 * time.Second

// NewCollector returns a collector without evidence.
func NewCollector(s Settings) *Collector {
	return &Collector{settings: s, instances: 1, dataCentres: 1, services: map[string]*pool{}}
}

// SetFleetSize tells how many entry instances are live, and in how many data
// centres. An ejection needs evidence from several of each, if there are.
func (c *Collector) SetFleetSize(instances, dataCentres int) {
	c.instances = max(1, instances)
	c.dataCentres = max(1, dataCentres)
}

// Accept takes in a report of instance from, and returns advice for it: the
// servers that the pooled evidence speaks against. See Observer.Advise.
func (c *Collector) Accept(now time.Duration, from string, r Report) []Suspect {
	p := c.pool(r.Service)
	rep := p.reporters[from]
	if rep == nil {
		rep = &reporter{}
		p.reporters[from] = rep
	}
	rep.dataCentre, rep.rate, rep.lateShare, rep.at = r.DataCentre, r.Rate, r.LateShare, now
	rep.complaints.add(now, r, c.settings.PooledMemory)
	for _, s := range r.Servers {
		for _, w := range s.Workspaces {
			src := source{reporter: from, workspace: w.Workspace}
			p.failed.add(now, s.Server, src, float64(w.Attempts), float64(w.Failed))
			p.late.add(now, s.Server, src, float64(w.LateAttempts), float64(w.Late))
		}
	}
	p.addElsewhere(r)
	return c.advice(now, p, from)
}

// addElsewhere adds the named workspaces' attempts at servers that the report
// doesn't name.
func (p *pool) addElsewhere(r Report) {
	for _, total := range r.Elsewhere {
		for _, s := range r.Servers {
			for _, w := range s.Workspaces {
				if w.Workspace == total.Workspace {
					total.Attempts -= min(total.Attempts, w.Attempts)
					total.LateAttempts -= min(total.LateAttempts, w.LateAttempts)
				}
			}
		}
		p.failed.addTally(total.Workspace, float64(total.Attempts), 0)
		p.late.addTally(total.Workspace, float64(total.LateAttempts), 0)
	}
}

// AcceptSelfReport takes in what a server says of its own health. "Sick" shortens
// the suspicion; "healthy" means nothing, because servers say so while they
// fail requests.
func (c *Collector) AcceptSelfReport(now time.Duration, service, server string, healthy bool) {
	if healthy {
		return
	}
	s := c.pool(service).server(server)
	s.unwell = true
	s.unwellAt = now
}

func (c *Collector) pool(service string) *pool {
	p, ok := c.services[service]
	if !ok {
		s := c.settings
		p = &pool{
			failed:    newOutcomeStats(s.FailureShare, s.SickFailureShare, s.PooledMemory),
			late:      newOutcomeStats(s.healthyLateShare(), s.SickLateShare, s.PooledMemory),
			reporters: map[string]*reporter{},
			servers:   map[string]*serverState{},
		}
		c.services[service] = p
	}
	return p
}

func (p *pool) server(id string) *serverState {
	s, ok := p.servers[id]
	if !ok {
		s = &serverState{advised: map[string]time.Duration{}}
		p.servers[id] = s
	}
	return s
}

// adviceInterval is how often the advice is worked out anew.
const adviceInterval = 100 * time.Millisecond

// advice lists the servers whose weight every instance should lower.
func (c *Collector) advice(now time.Duration, p *pool, to string) []Suspect {
	if now-p.adviceAt >= adviceInterval {
		p.adviceAt = now
		p.late.setBaseline(p.usualLateShare(), c.settings.healthyLateShare(), c.settings.SickLateShare)
		p.advised = c.advise(now, p)
	}
	for _, s := range p.advised {
		p.server(s.Server).advised[to] = now
	}
	return p.advised
}

// advise lists the servers that fail, the worst first, then those that are
// relieved: no more than could be ejected, or the load of all of them would
// make the others late as well, and they would be advised against in turn.
func (c *Collector) advise(now time.Duration, p *pool) []Suspect {
	type scored struct {
		Suspect
		score float64
	}
	var list []scored
	for _, id := range p.suspects() {
		s := p.servers[id]
		score := c.failedScore(now, p, id)
		failed := score >= c.settings.AdviseScore
		if failed || s != nil && s.relieved {
			list = append(list, scored{Suspect{Server: id, Weight: adviceWeight, Late: !failed}, score})
		}
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	suspects := make([]Suspect, 0, len(list))
	for _, s := range list[:min(len(list), p.room)] {
		suspects = append(suspects, s.Suspect)
	}
	return suspects
}

// adviceWeight leaves enough requests to go on judging a relieved server.
const adviceWeight = 0.15
