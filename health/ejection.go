package health

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"foxtailspoke/config"
)

// Proposal is a change of a service's permits row.
type Proposal struct {
	// Permits is the whole new row, for a write on condition that the row
	// still is the one that Propose was given.
	Permits config.Permits
	// Reason is a plain sentence for the audit trail.
	Reason string
}

// Propose returns the change of the permits row that the evidence calls for,
// or false. The servers are those of the service that are neither leaving nor
// ended; by is the proposing instance; floor is the least number of servers
// that must stay in use.
//
// The row never holds more than len(servers)-floor servers. As every change
// is conditional on the row it was computed from, racing collectors can't go
// beyond that together either.
func (c *Collector) Propose(now time.Duration, service, by string, servers []string, row config.Permits, floor int) (Proposal, bool) {
	p := c.pool(service)
	p.failed.serverCount = len(servers)
	p.late.serverCount = len(servers)
	c.addSilent(now, p, len(servers)-len(row.Ejected))
	p.failed.advance(now)
	p.late.advance(now)
	p.room = max(0, len(servers)-floor-len(row.Ejected))
	c.relieve(now, p)

	kept, reason := c.keep(now, p, servers, row, floor)
	if reason != "" {
		return Proposal{Permits: config.Permits{Ejected: kept}, Reason: reason}, true
	}
	room := len(servers) - floor - len(kept)
	ejection, ok := c.next(now, p, service, servers, kept)
	if !ok || room <= 0 {
		return Proposal{}, false
	}
	ejection.By = by
	kept = append(kept, ejection)
	return Proposal{Permits: config.Permits{Ejected: kept}, Reason: ejection.Reason}, true
}

// keep returns the ejections that stay, and why others don't.
func (c *Collector) keep(now time.Duration, p *pool, servers []string, row config.Permits, floor int) ([]config.Ejection, string) {
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
	// Servers that left since the ejections may have taken the rest below
	// the floor: the ones ejected last come back.
	allowed := max(0, len(servers)-floor)
	if len(kept) > allowed {
		reason = fmt.Sprintf("%d servers are needed and too few are left in use", floor)
		kept = kept[:allowed]
	}
	return kept, reason
}

// next returns the server most in need of an ejection.
func (c *Collector) next(now time.Duration, p *pool, service string, servers []string, kept []config.Ejection) (config.Ejection, bool) {
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
		need := c.need(now, p, id)
		if s := c.failedScore(now, p, id); s >= need {
			list = append(list, suspect{id: id, score: s})
		} else if s := c.lateScore(now, p, id); s >= lateNeed*need && c.slowDespiteRelief(now, p, id) {
			list = append(list, suspect{id: id, score: s, late: true})
		}
	}
	if len(list) == 0 {
		return config.Ejection{}, false
	}
	worst := slices.MaxFunc(list, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(b.id, a.id))
	})
	l := p.failed
	if worst.late {
		l = p.late
	}
	return config.Ejection{Server: worst.id, Reason: reason(service, worst.id, l, worst.late)}, true
}

// need is the score that ejects a server.
func (c *Collector) need(now time.Duration, p *pool, server string) float64 {
	need := c.settings.EjectScore
	s := p.servers[server]
	if s == nil {
		return need
	}
	if s.unwell && now-s.unwellAt < unwellMemory {
		need *= unwellNeed
	}
	if s.probing.onProbation(now, c.settings) {
		need *= probationNeed
	}
	return need
}

const (
	// unwellNeed scales the score needed for a server that reports itself
	// as sick.
	unwellNeed = 0.85
	// probationNeed scales it for one that was ejected shortly before.
	probationNeed = 0.6
	// lateNeed scales it for lateness, which harms less than failures do and
	// is judged from few requests, because the server is relieved.
	lateNeed = 1.25
)

func reason(service, server string, l *outcomeStats, late bool) string {
	r := l.byServer[server]
	what := "failed"
	if late {
		what = "answered late, also with little to do,"
	}
	return fmt.Sprintf("%s %s about %.0f of its last %.0f requests, far more than the other servers of %s",
		server, what, r.bad, max(r.attempts, r.bad), service)
}

// relieve starts and ends the time in which a slow server gets little load.
//
// A server that is slow because it has too much to do looks like a sick one.
// Ejecting it would load the others until they look the same. So its load is
// taken away first: if it is still late then, load wasn't the cause.
func (c *Collector) relieve(now time.Duration, p *pool) {
	slow := p.usualLateShare() > slowServiceShare
	free := (p.room+1)/2 - p.relieved()
	for _, id := range p.suspects() {
		s := p.server(id)
		late := c.lateScore(now, p, id) >= c.need(now, p, id)
		switch {
		case slow:
			// Every server is needed while all are slow.
			s.relieved = false
		case !s.relieved && late && free > 0:
			free--
			*s = serverState{advised: map[string]time.Duration{}, unwell: s.unwell, unwellAt: s.unwellAt, probing: s.probing}
			s.relieved, s.relievedAt = true, now
		case s.relieved && !s.inEffect:
			s.inEffect = p.heard(s) >= heardShare
			s.effectAt = now
			s.relieved = s.inEffect || now-s.relievedAt < maxHearing
		case s.relieved && !s.reset && now-s.effectAt >= c.settings.Settle:
			p.late.removeServer(id)
			s.reset = true
		case s.relieved && now-s.effectAt >= c.settings.Relief:
			s.relieved = false
		}
	}
}

// relieved is how many servers are being relieved. Only half of the room is
// for them: their load moves to the others and makes these later too.
func (p *pool) relieved() int {
	n := 0
	for _, s := range p.servers {
		if s.relieved {
			n++
		}
	}
	return n
}

const (
	// heardShare of the reporting instances must have been advised before a
	// server counts as relieved; until then the others still load it.
	heardShare = 0.75
	// maxHearing is how long that is waited for. If too few have heard by then,
	// lateness proves nothing, and the relief ends.
	maxHearing = 3 * time.Second
)

// heard is the share of the reporters that were advised in this relief.
func (p *pool) heard(s *serverState) float64 {
	return float64(len(s.advised)) / float64(max(1, len(p.reporters)))
}

func (c *Collector) slowDespiteRelief(now time.Duration, p *pool, server string) bool {
	s := p.servers[server]
	return s != nil && s.relieved && s.reset
}
