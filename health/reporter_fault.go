package health

import (
	"math"
	"time"
)

const (
	// minReporterFailures is the least number of recent failures, decayed,
	// at which an instance may be at fault.
	minReporterFailures = 6
	// minReporterFailedShare is the least share of the instance's recent
	// requests that failed.
	minReporterFailedShare = 0.15
	// maxWorkspaceFraction is the largest part of the instance's failures
	// that one workspace may account for. Above it, that workspace's
	// requests may be the cause.
	maxWorkspaceFraction = 0.8
	// minReporterExcess is the factor by which the instance's failures must
	// exceed the mean of the other instances.
	minReporterExcess = 5
)

// recentFailures counts the failures that one instance reported, with
// exponential decay.
type recentFailures struct {
	servers    map[string]float64
	workspaces map[string]float64
	all        float64
	at         time.Duration
}

func (c *recentFailures) add(now time.Duration, r Report, halfLife time.Duration) {
	if c.servers == nil {
		c.servers = map[string]float64{}
		c.workspaces = map[string]float64{}
	}
	c.decay(now, halfLife)
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

func (c *recentFailures) decay(now, halfLife time.Duration) {
	f := math.Exp2(-(now - c.at).Seconds() / halfLife.Seconds())
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

// ReporterAtFault reports whether instance from sees failures at most
// servers of a service while the other instances don't, which means that the
// instance's own network is faulty and no server is to blame. The instance
// should be left out of the addresses given to callers, because any other
// instance would serve them better. The caller bounds how many instances are
// left out at the same time.
func (c *Collector) ReporterAtFault(now time.Duration, from, service string) bool {
	p := c.pool(service)
	r := p.reporters[from]
	if r == nil {
		return false
	}
	r.failures.decay(now, c.settings.PooledMemory)
	own := r.failures
	timeConstant := c.settings.PooledMemory.Seconds() / math.Ln2
	switch {
	case own.all < minReporterFailures,
		own.all < minReporterFailedShare*r.rate*timeConstant,
		2*len(own.servers) < p.failed.serverCount:
		return false
	}
	for _, n := range own.workspaces {
		if n > maxWorkspaceFraction*own.all {
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
	return own.all > minReporterExcess*others/float64(max(1, c.instances-1))
}
