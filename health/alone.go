package health

import (
	"math"
	"time"
)

const (
	// minReporterFailures is how many failures an instance must have met lately.
	minReporterFailures = 6
	// minReporterFailedShare is the least share of its requests that failed.
	minReporterFailedShare = 0.15
	// maxWorkspaceFraction is the most that one workspace may contribute; beyond
	// it, that workspace's requests may be the cause.
	maxWorkspaceFraction = 0.8
	// minReporterExcess is by how much it must exceed the typical instance.
	minReporterExcess = 5
)

// recentFailures are the failures that one instance reported lately.
type recentFailures struct {
	servers    map[string]float64
	workspaces map[string]float64
	all        float64
	at         time.Duration
}

func (c *recentFailures) add(now time.Duration, r Report, memory time.Duration) {
	if c.servers == nil {
		c.servers = map[string]float64{}
		c.workspaces = map[string]float64{}
	}
	c.decay(now, memory)
	for _, s := range r.Servers {
		for _, w := range s.Workspaces {
			if w.Failed > 0 {
				c.servers[s.Server] += float64(w.Failed)
				c.workspaces[w.Workspace] += float64(w.Failed)
				c.all += float64(w.Failed)
			}
		}
	}
}

func (c *recentFailures) decay(now, memory time.Duration) {
	f := math.Exp2(-(now - c.at).Seconds() / memory.Seconds())
	c.at = now
	c.all *= f
	for _, m := range []map[string]float64{c.servers, c.workspaces} {
		scale(m, f)
		for k, n := range m {
			if n < minBadCount {
				delete(m, k)
			}
		}
	}
}

// ReporterAtFault reports whether instance from meets failures at most servers of a
// service while the other instances don't: its own network is bad. It should
// leave the addresses that callers are told, because they would be served
// better anywhere else; no server is to blame. The caller bounds how many
// instances may leave at the same time.
func (c *Collector) ReporterAtFault(now time.Duration, from, service string) bool {
	p := c.pool(service)
	r := p.reporters[from]
	if r == nil {
		return false
	}
	r.failures.decay(now, c.settings.PooledMemory)
	mine := r.failures
	memory := c.settings.PooledMemory.Seconds() / math.Ln2
	switch {
	case mine.all < minReporterFailures,
		mine.all < minReporterFailedShare*r.rate*memory,
		2*len(mine.servers) < p.failed.serverCount:
		return false
	}
	for _, n := range mine.workspaces {
		if n > maxWorkspaceFraction*mine.all {
			return false
		}
	}
	others := 0.0
	for id, other := range p.reporters {
		if id != from {
			other.failures.decay(now, c.settings.PooledMemory)
			others += other.failures.all
		}
	}
	return mine.all > minReporterExcess*others/float64(max(1, c.instances-1))
}
