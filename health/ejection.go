package health

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"foxtailspoke/config"
)

// Proposal is a proposed change of a service's permits row.
type Proposal struct {
	// Permits is the whole new row. It must be written on condition that the
	// row is still the one that was passed to Propose.
	Permits config.Permits
	// Reason is an explanation for the audit trail.
	Reason string
}

// Propose returns the change of the permits row that the evidence calls for,
// or false if there is none. servers are those of the service that are
// neither leaving nor ended; by is the proposing instance; floor is the
// least number of servers that must stay in use.
//
// The row never holds more than len(servers)-floor servers. Since every
// write is conditional on the row that the change was computed from,
// concurrent collectors can't exceed that together either.
func (c *Collector) Propose(now time.Duration, service, by string, servers []string, row config.Permits, floor int) (Proposal, bool) {
	p := c.pool(service)
	p.failed.serverCount = len(servers)
	p.late.serverCount = len(servers)
	c.addUnreported(now, p, len(servers)-len(row.Ejected))
	p.failed.decay(now)
	p.late.decay(now)
	p.ejectionBudget = max(0, len(servers)-floor-len(row.Ejected))
	c.updateRelief(now, p)

	kept, reason := c.retainEjections(now, p, servers, row, floor)
	if reason != "" {
		return Proposal{Permits: config.Permits{Ejected: kept}, Reason: reason}, true
	}
	remaining := len(servers) - floor - len(kept)
	ejection, ok := c.nextEjection(now, p, service, servers, kept)
	if !ok || remaining <= 0 {
		return Proposal{}, false
	}
	ejection.By = by
	kept = append(kept, ejection)
	return Proposal{Permits: config.Permits{Ejected: kept}, Reason: ejection.Reason}, true
}

// retainEjections returns the ejections that stay in force, and the reason
// why any others end.
func (c *Collector) retainEjections(now time.Duration, p *pool, servers []string, row config.Permits, floor int) ([]config.Ejection, string) {
	kept := []config.Ejection{}
	reason := ""
	for _, e := range row.Ejected {
		switch {
		case !slices.Contains(servers, e.Server):
			reason = fmt.Sprintf("%s is not in the list of servers any more", e.Server)
			delete(p.servers, e.Server)
		case p.server(e.Server).probing.passedProbes(c.settings):
			reason = fmt.Sprintf("%s answered %d probes in a row", e.Server, c.settings.ProbesToReturn)
		default:
			kept = append(kept, e)
		}
	}
	// Servers that left after the ejections may have brought the rest below
	// the floor. The latest ejections are reverted first.
	allowed := max(0, len(servers)-floor)
	if len(kept) > allowed {
		reason = fmt.Sprintf("%d servers are needed and too few are left in use", floor)
		kept = kept[:allowed]
	}
	return kept, reason
}

// nextEjection returns the ejection of the server with the highest score at
// or above its threshold, or false if there is none. A late server must also
// have stayed late through its relief.
func (c *Collector) nextEjection(now time.Duration, p *pool, service string, servers []string, kept []config.Ejection) (config.Ejection, bool) {
	type suspect struct {
		id    string
		score float64
		late  bool
	}
	var list []suspect
	for _, id := range p.suspects() {
		ejected := slices.ContainsFunc(kept, func(e config.Ejection) bool { return e.Server == id })
		if ejected || !slices.Contains(servers, id) {
			continue
		}
		threshold := c.ejectThreshold(now, p, id)
		if s := c.failedScore(now, p, id); s >= threshold {
			list = append(list, suspect{id: id, score: s})
		} else if s := c.lateScore(now, p, id); s >= lateFactor*threshold && c.slowDespiteRelief(now, p, id) {
			list = append(list, suspect{id: id, score: s, late: true})
		}
	}
	if len(list) == 0 {
		return config.Ejection{}, false
	}
	worst := slices.MaxFunc(list, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(b.id, a.id))
	})
	stats := p.failed
	if worst.late {
		stats = p.late
	}
	return config.Ejection{Server: worst.id, Reason: ejectionReason(service, worst.id, stats, worst.late)}, true
}

// ejectThreshold is the score from which a server is ejected.
func (c *Collector) ejectThreshold(now time.Duration, p *pool, server string) float64 {
	threshold := c.settings.EjectScore
	s := p.servers[server]
	if s == nil {
		return threshold
	}
	if s.reportedSick && now-s.reportedSickAt < selfReportTTL {
		threshold *= sickReportFactor
	}
	if s.probing.onProbation(now, c.settings) {
		threshold *= probationFactor
	}
	return threshold
}

const (
	// sickReportFactor scales the threshold for a server that reports itself
	// as sick.
	sickReportFactor = 0.85
	// probationFactor scales the threshold for a server that recently
	// returned from an ejection.
	probationFactor = 0.6
	// lateFactor scales the threshold for lateness, which does less harm
	// than failures and is judged from few requests, because the server is
	// relieved of load.
	lateFactor = 1.25
)

func ejectionReason(service, server string, stats *outcomeStats, late bool) string {
	r := stats.byServer[server]
	what := "failed"
	if late {
		what = "answered late, also with little to do,"
	}
	return fmt.Sprintf("%s %s about %.0f of its last %.0f requests, far more than the other servers of %s",
		server, what, r.bad, max(r.attempts, r.bad), service)
}

// updateRelief starts and ends the relief of slow servers, during which they
// get little load.
//
// An overloaded server looks the same as a faulty slow one. Ejecting it
// would move its load to the others until they look the same as well. So the
// load is taken away first: a server that stays late without it isn't slow
// because of load.
func (c *Collector) updateRelief(now time.Duration, p *pool) {
	slow := p.medianLateShare() > slowServiceShare
	available := (p.ejectionBudget+1)/2 - p.relievedCount()
	for _, id := range p.suspects() {
		s := p.server(id)
		late := c.lateScore(now, p, id) >= c.ejectThreshold(now, p, id)
		switch {
		case slow:
			// The capacity of every server is needed while the whole service
			// is slow.
			s.relieved = false
		case !s.relieved && late && available > 0:
			available--
			*s = serverState{advised: map[string]time.Duration{}, reportedSick: s.reportedSick, reportedSickAt: s.reportedSickAt, probing: s.probing}
			s.relieved, s.relievedAt = true, now
		case s.relieved && !s.inEffect:
			s.inEffect = p.advisedShare(s) >= minAdvisedShare
			s.effectAt = now
			s.relieved = s.inEffect || now-s.relievedAt < maxAdviceWait
		case s.relieved && !s.evidenceReset && now-s.effectAt >= c.settings.Settle:
			p.late.removeServer(id)
			s.evidenceReset = true
		case s.relieved && now-s.effectAt >= c.settings.Relief:
			s.relieved = false
		}
	}
}

// relievedCount returns how many servers are being relieved. updateRelief
// allows this for half of the ejection budget only, because their load makes
// the other servers slower too.
func (p *pool) relievedCount() int {
	n := 0
	for _, s := range p.servers {
		if s.relieved {
			n++
		}
	}
	return n
}

const (
	// minAdvisedShare is the share of the reporting instances that must have
	// been advised before a server counts as relieved. Until then the others
	// still load it.
	minAdvisedShare = 0.75
	// maxAdviceWait is how long the relief waits for minAdvisedShare. If too
	// few instances have been advised by then, lateness proves nothing, and
	// the relief ends.
	maxAdviceWait = 3 * time.Second
)

// advisedShare returns the share of the reporters that were advised during
// the current relief.
func (p *pool) advisedShare(s *serverState) float64 {
	return float64(len(s.advised)) / float64(max(1, len(p.reporters)))
}

func (c *Collector) slowDespiteRelief(now time.Duration, p *pool, server string) bool {
	s := p.servers[server]
	return s != nil && s.relieved && s.evidenceReset
}
