package health

import (
	"cmp"
	"slices"
	"time"
)

// Collector pools the reports of all instances on a service. One instance
// collects for a service. If a second one also believes that it is the
// collector, each sees part of the evidence and decides later, and the
// conditional write of the permits row keeps the two from ejecting too many
// servers together.
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
	// reporters are the instances that reported recently.
	reporters map[string]*reporter
	// servers holds the servers that are suspect, relieved of load, ejected
	// or returned.
	servers map[string]*serverState
	// unreportedAt is when addUnreported last ran.
	unreportedAt time.Duration
	// ejectionBudget is how many more servers may be ejected without going
	// below the floor.
	ejectionBudget int
	// advised is the advice computed at adviceAt.
	advised  []Suspect
	adviceAt time.Duration
}

// reporter is the last known state of a reporting instance.
type reporter struct {
	dataCentre string
	rate       float64
	lateShare  float64
	at         time.Duration
	failures   recentFailures
}

// serverState is the collector's state for one server.
type serverState struct {
	// relieved is set while instances are advised to lower the server's
	// weight because it answers late.
	relieved   bool
	relievedAt time.Duration
	// inEffect is set once enough instances have received the advice, at
	// effectAt.
	inEffect bool
	effectAt time.Duration
	// evidenceReset is set once the late answers from before the relief are
	// discarded.
	evidenceReset bool
	// reportedSick is set once the server has reported itself as sick;
	// reportedSickAt is the last time.
	reportedSick   bool
	reportedSickAt time.Duration
	// advised is when each instance was last advised to lower the weight.
	advised map[string]time.Duration
	probing probeState
}

// reporterTTL is how long after its last report an instance counts as a
// reporter.
const reporterTTL = 30 * time.Second

// selfReportTTL is how long a server's report of its own sickness is taken
// into account.
const selfReportTTL = 10 * time.Second

// NewCollector returns a collector without any evidence.
func NewCollector(s Settings) *Collector {
	return &Collector{settings: s, instances: 1, dataCentres: 1, services: map[string]*pool{}}
}

// SetFleetSize sets the number of live entry instances and of the data
// centres they run in. An ejection needs evidence from several data
// centres, or from several instances if there is only one data centre.
func (c *Collector) SetFleetSize(instances, dataCentres int) {
	c.instances = max(1, instances)
	c.dataCentres = max(1, dataCentres)
}

// Accept adds a report from instance from and returns the advice for that
// instance: the servers that the pooled evidence speaks against. See
// Observer.ApplyAdvice.
func (c *Collector) Accept(now time.Duration, from string, r Report) []Suspect {
	p := c.pool(r.Service)
	rep := p.reporters[from]
	if rep == nil {
		rep = &reporter{}
		p.reporters[from] = rep
	}
	rep.dataCentre, rep.rate, rep.lateShare, rep.at = r.DataCentre, r.Rate, r.LateShare, now
	rep.failures.add(now, r, c.settings.PooledMemory)
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

// addElsewhere counts the attempts of the workspaces in the report at
// servers that the report doesn't name.
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
		p.failed.addWorkspaceTotal(total.Workspace, float64(total.Attempts), 0)
		p.late.addWorkspaceTotal(total.Workspace, float64(total.LateAttempts), 0)
	}
}

// AcceptSelfReport records what a server reports about its own health. A
// report of sickness lowers the score needed to eject the server. A report
// of health is ignored, because servers send it even while they fail
// requests.
func (c *Collector) AcceptSelfReport(now time.Duration, service, server string, healthy bool) {
	if healthy {
		return
	}
	s := c.pool(service).server(server)
	s.reportedSick = true
	s.reportedSickAt = now
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

// adviceInterval is the least time between two computations of the advice.
const adviceInterval = 100 * time.Millisecond

// advice returns the servers whose weight every instance should lower, and
// records that instance to was advised.
func (c *Collector) advice(now time.Duration, p *pool, to string) []Suspect {
	if now-p.adviceAt >= adviceInterval {
		p.adviceAt = now
		p.late.setBaseline(p.medianLateShare(), c.settings.healthyLateShare(), c.settings.SickLateShare)
		p.advised = c.selectSuspects(now, p)
	}
	for _, s := range p.advised {
		p.server(s.Server).advised[to] = now
	}
	return p.advised
}

// selectSuspects returns the failing servers, highest score first, followed
// by the relieved ones. It returns no more than could be ejected: moving the
// load of more servers to the rest would make those late too, and they would
// become suspects in turn.
func (c *Collector) selectSuspects(now time.Duration, p *pool) []Suspect {
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
	for _, s := range list[:min(len(list), p.ejectionBudget)] {
		suspects = append(suspects, s.Suspect)
	}
	return suspects
}

// adviceWeight leaves a relieved server enough requests to go on measuring
// it.
const adviceWeight = 0.15
