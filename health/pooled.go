package health

import (
	"maps"
	"slices"
	"time"
)

// suspects lists the servers with evidence against them or under relief.
func (p *pool) suspects() []string {
	ids := map[string]bool{}
	for id := range p.failed.byServer {
		ids[id] = true
	}
	for id := range p.late.byServer {
		ids[id] = true
	}
	for id, s := range p.servers {
		if s.relieved {
			ids[id] = true
		}
	}
	return slices.Sorted(maps.Keys(ids))
}

// failedScore is the pooled evidence that a server fails requests, of all or
// of one workspace.
func (c *Collector) failedScore(now time.Duration, p *pool, server string) float64 {
	score := c.pooledScore(now, p, p.failed, server)
	r := p.failed.byServer[server]
	if r == nil {
		return score
	}
	for w, pr := range r.workspaces {
		score = max(score, p.failed.workspaceScoreWith(r, w, c.corroborated(p, pr.reporters, pr.bad)))
	}
	return score
}

// lateScore is the pooled evidence that a server answers late.
func (c *Collector) lateScore(now time.Duration, p *pool, server string) float64 {
	return c.pooledScore(now, p, p.late, server)
}

// pooledScore is a ledger's score, as far as reporters in several places
// agree: one reporter, or one data centre whose packets get lost one way,
// can't have a server ejected from the whole fleet.
func (c *Collector) pooledScore(now time.Duration, p *pool, l *outcomeStats, server string) float64 {
	l.decay(now)
	r := l.byServer[server]
	if r == nil {
		return 0
	}
	raw := l.likelihoodRatio(r.attempts, r.bad, l.sickShare)
	if raw <= 0 {
		return raw
	}
	bad := l.attributableBad(r)
	agreed := c.corroborated(p, r.reporters(), bad)
	// What one place says beyond the others is neither bad nor good.
	return l.likelihoodRatio(r.attempts-(bad-agreed), agreed, l.sickShare)
}

// reporters sums a run's bad attempts by reporter.
func (r *serverStats) reporters() map[string]float64 {
	m := map[string]float64{}
	for _, c := range r.bySource {
		m[c.reporter] += c.bad
	}
	return m
}

// corroborated is what is left of bad attempts if no place may supply more than all
// others together. The reporters' shares are those of all bad attempts.
func (c *Collector) corroborated(p *pool, reporters map[string]float64, bad float64) float64 {
	if c.instances < 2 {
		return bad
	}
	byPlace := map[string]float64{}
	total := 0.0
	for _, from := range slices.Sorted(maps.Keys(reporters)) {
		n := reporters[from]
		byPlace[c.failureDomain(p, from)] += n
		total += n
	}
	if total <= 0 {
		return 0
	}
	top := 0.0
	for _, n := range byPlace {
		top = max(top, n)
	}
	rest := total - top
	return bad * (rest + min(top, maxTopRatio*rest)) / total
}

// failureDomain is a reporter's data centre, or the reporter if there is only one.
func (c *Collector) failureDomain(p *pool, from string) string {
	if c.dataCentres < 2 {
		return from
	}
	if r := p.reporters[from]; r != nil {
		return r.dataCentre
	}
	return from
}

// addUnreported accounts for the instances that reported nothing on a suspect.
// They met no bad answer there. Leaving them out would compare the failures
// with the requests of only those instances that met one, and condemn
// healthy servers of a large fleet in which each instance sees little.
func (c *Collector) addUnreported(now time.Duration, p *pool, servers int) {
	passed := now - p.unreportedAt
	p.unreportedAt = now
	if passed <= 0 || passed > reporterTTL {
		return
	}
	each := p.typicalRequestRate(now) * passed.Seconds() / float64(max(1, servers))
	for _, l := range []*outcomeStats{p.failed, p.late} {
		l.decay(now)
		for _, id := range slices.Sorted(maps.Keys(l.byServer)) {
			l.addUnreported(now, id, each*float64(c.nonReporting(now, p, l.byServer[id], id)))
		}
	}
}

// nonReporting is how many instances use a suspect as usual and don't report it.
// Those that were advised to use it less aren't among them: counting their
// usual requests as good ones would clear the server just because it is
// avoided.
func (c *Collector) nonReporting(now time.Duration, p *pool, r *serverStats, server string) int {
	vocal := map[string]bool{}
	for from := range r.sums.reporters {
		vocal[from] = true
	}
	if s := p.servers[server]; s != nil {
		for from, at := range s.advised {
			if now-at > adviceTTL {
				delete(s.advised, from)
				continue
			}
			vocal[from] = true
		}
	}
	return max(0, c.instances-len(vocal))
}

// typicalRequestRate estimates an instance's requests per second to the service.
// Instances report the more often the more they send, so the harmonic mean
// is the one that isn't biased upwards.
func (p *pool) typicalRequestRate(now time.Duration) float64 {
	sum, n := 0.0, 0
	for _, id := range slices.Sorted(maps.Keys(p.reporters)) {
		r := p.reporters[id]
		if now-r.at > reporterTTL {
			delete(p.reporters, id)
			continue
		}
		sum += 1 / max(r.rate, 0.01)
		n++
	}
	if n == 0 {
		return 0
	}
	return float64(n) / sum
}

// medianLateShare is the median of the reporters' shares of late answers.
func (p *pool) medianLateShare() float64 {
	shares := make([]float64, 0, len(p.reporters))
	for _, r := range p.reporters {
		shares = append(shares, r.lateShare)
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}
