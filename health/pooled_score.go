package health

import (
	"maps"
	"slices"
	"time"
)

// suspects returns the servers that have evidence against them or are being
// relieved.
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

// failedScore returns the pooled score for failed requests of a server: the
// maximum of the score over all requests and the scores of single workspaces.
func (c *Collector) failedScore(now time.Duration, p *pool, server string) float64 {
	score := c.pooledScore(now, p, p.failed, server)
	r := p.failed.byServer[server]
	if r == nil {
		return score
	}
	for w, ws := range r.workspaces {
		score = max(score, p.failed.workspaceScoreWith(r, w, c.corroborated(p, ws.reporters, ws.bad)))
	}
	return score
}

// lateScore returns the pooled score for late answers of a server.
func (c *Collector) lateScore(now time.Duration, p *pool, server string) float64 {
	return c.pooledScore(now, p, p.late, server)
}

// pooledScore is the score of a server, counting bad attempts only as far as
// reporters in several failure domains corroborate them. One reporter, or
// one data centre that loses packets in one direction, can't have a server
// ejected from the whole fleet.
func (c *Collector) pooledScore(now time.Duration, p *pool, stats *outcomeStats, server string) float64 {
	stats.decay(now)
	r := stats.byServer[server]
	if r == nil {
		return 0
	}
	raw := stats.likelihoodRatio(r.attempts, r.bad, stats.sickShare)
	if raw <= 0 {
		return raw
	}
	bad := stats.attributableBad(r)
	agreed := c.corroborated(p, r.reporters(), bad)
	// Bad attempts that are not corroborated count neither as bad nor as
	// good.
	return stats.likelihoodRatio(r.attempts-(bad-agreed), agreed, stats.sickShare)
}

// reporters returns the bad attempts by reporter.
func (r *serverStats) reporters() map[string]float64 {
	m := map[string]float64{}
	for _, c := range r.bySource {
		m[c.reporter] += c.bad
	}
	return m
}

// corroborated returns how many of the bad attempts remain if no failure
// domain may contribute more than all others together. reporters gives each
// reporter's part of all bad attempts.
func (c *Collector) corroborated(p *pool, reporters map[string]float64, bad float64) float64 {
	if c.instances < 2 {
		return bad
	}
	byDomain := map[string]float64{}
	total := 0.0
	for _, from := range slices.Sorted(maps.Keys(reporters)) {
		n := reporters[from]
		byDomain[c.failureDomain(p, from)] += n
		total += n
	}
	if total <= 0 {
		return 0
	}
	top := 0.0
	for _, n := range byDomain {
		top = max(top, n)
	}
	rest := total - top
	return bad * (rest + min(top, maxTopRatio*rest)) / total
}

// failureDomain returns the reporter's data centre, or the reporter itself
// if there is only one data centre.
func (c *Collector) failureDomain(p *pool, from string) string {
	if c.dataCentres < 2 {
		return from
	}
	if r := p.reporters[from]; r != nil {
		return r.dataCentre
	}
	return from
}

// addUnreported accounts for the instances that reported nothing on a
// suspect, which means that they got no bad answer from it. Without them,
// the failures would be compared with the requests of only those instances
// that saw one, and healthy servers would be ejected in a large fleet where
// each instance sends them few requests.
func (c *Collector) addUnreported(now time.Duration, p *pool, servers int) {
	elapsed := now - p.unreportedAt
	p.unreportedAt = now
	if elapsed <= 0 || elapsed > reporterTTL {
		return
	}
	perInstance := p.typicalRequestRate(now) * elapsed.Seconds() / float64(max(1, servers))
	for _, stats := range []*outcomeStats{p.failed, p.late} {
		stats.decay(now)
		for _, id := range slices.Sorted(maps.Keys(stats.byServer)) {
			stats.addUnreported(now, id, perInstance*float64(c.nonReporting(now, p, stats.byServer[id], id)))
		}
	}
}

// nonReporting returns how many instances use a suspect at its normal weight
// and don't report on it. Instances that were advised to lower the weight
// are excluded: counting their normal request rate as good attempts would
// clear the server only because it is avoided.
func (c *Collector) nonReporting(now time.Duration, p *pool, r *serverStats, server string) int {
	excluded := map[string]bool{}
	for from := range r.sums.reporters {
		excluded[from] = true
	}
	if s := p.servers[server]; s != nil {
		for from, at := range s.advised {
			if now-at > adviceTTL {
				delete(s.advised, from)
				continue
			}
			excluded[from] = true
		}
	}
	return max(0, c.instances-len(excluded))
}

// typicalRequestRate estimates an instance's requests per second to the
// service. Instances with more requests report more often, so the arithmetic
// mean would be biased upwards; the harmonic mean isn't.
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

// medianLateShare returns the median of the reporters' shares of late
// answers.
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
