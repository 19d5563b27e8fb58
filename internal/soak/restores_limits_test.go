package soak_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foxtailspoke/internal/standin/rowstore"
)

const (
	// limitGracePeriod is how long after a backend server announces a limit its
	// requests are not counted. limitWindow is the window over which they are counted.
	limitGracePeriod = 3 * time.Second
	limitWindow      = 4 * time.Second
	// limitRestartAllowance is how many requests a restarted instance may send to a
	// limited backend server before the first response tells it the limit.
	limitRestartAllowance = 10
	// maxRewriteDelay bounds how long operators and backend servers take to rewrite
	// what the store has lost.
	maxRewriteDelay = 500 * time.Millisecond
)

// requestLimit is the limit a backend server announces in its responses, in requests
// per second, since when, and the requests counted against it. It is guarded by
// cluster.mu.
type requestLimit struct {
	perSecond float64
	since     time.Time
	arrivals  []time.Time
}

// injectRestoresAndLimits restores the store from copies and has backend servers
// announce limits, in random order for d.
func (c *cluster) injectRestoresAndLimits(backends []*backend, seed uint64, d time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 2))
	randomDuration := func(shortest, longest time.Duration) time.Duration {
		return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
	}
	for deadline := time.Now().Add(d); ; {
		backup := c.store.Snapshot()
		time.Sleep(randomDuration(500*time.Millisecond, 3*time.Second))
		if time.Now().After(deadline) {
			return
		}
		if rng.IntN(2) == 0 {
			c.restoreStore(backup, randomDuration(200*time.Millisecond, 2*time.Second), randomDuration(0, maxRewriteDelay))
			continue
		}
		c.announceLimit(backends[rng.IntN(len(backends))], 1+3*rng.Float64(), randomDuration(5*time.Second, 8*time.Second))
	}
}

// restoreStore makes the store unavailable for the outage and restores it from the
// backup. What the platform's own writers wrote since the backup is rewritten after
// rewriteDelay.
func (c *cluster) restoreStore(backup rowstore.Snapshot, outage, rewriteDelay time.Duration) {
	c.recordDisturbance()
	c.store.SetFault(func(string) rowstore.Fault { return rowstore.Unavailable })
	time.Sleep(outage)
	lost := c.store.Restore(backup)
	c.store.SetFault(nil)
	time.Sleep(rewriteDelay)
	c.store.Reapply(lost)
	c.recordDisturbance()
	c.mu.Lock()
	c.restoreCount++
	c.mu.Unlock()
}

func (c *cluster) announceLimit(b *backend, perSecond float64, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.limit.perSecond > 0 {
		return
	}
	c.limitCount++
	b.limit = requestLimit{perSecond: perSecond, since: time.Now()}
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		b.limit = requestLimit{}
	})
}

// announcedLimit returns the limit that the server's responses announce, or 0 if there
// is none.
func (b *backend) announcedLimit() float64 {
	b.cluster.mu.Lock()
	defer b.cluster.mu.Unlock()
	return b.limit.perSecond
}

// checkLimit checks a request that reached a backend server against the server's limit.
// Unlike checkPlacement it excuses no disturbance. c.mu must be held.
func (c *cluster) checkLimit(b *backend, now time.Time) {
	l := &b.limit
	if l.perSecond == 0 || now.Sub(l.since) < limitGracePeriod {
		return
	}
	l.arrivals = append(l.arrivals, now)
	recent, launches := 0, 0
	for _, arrival := range l.arrivals {
		if now.Sub(arrival) < limitWindow {
			recent++
		}
	}
	for _, launch := range c.launchTimes {
		if now.Sub(launch) < limitWindow+limitGracePeriod {
			launches++
		}
	}
	allowed := 1.5*l.perSecond*limitWindow.Seconds() + 5 + float64(limitRestartAllowance*launches)
	if float64(recent) > allowed {
		c.violations = append(c.violations, fmt.Sprintf(
			"backend server %s announced %.1f requests/s and received %d requests in %v, at most %.0f allowed", b.id, l.perSecond, recent, limitWindow, allowed))
	}
}
