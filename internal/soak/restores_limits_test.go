package soak_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foxtailspoke/internal/standin/rowstore"
)

const (
	// limitGracePeriod is how long after a server first named a limit nothing is
	// counted yet, and limitWindow the span over which it is.
	limitGracePeriod = 3 * time.Second
	limitWindow  = 4 * time.Second
	// limitRestartAllowance is what an instance may send to a limited server before it is
	// told: its requests until the first answer.
	limitRestartAllowance = 10
	// maxRewriteDelay is how long operators and servers take to write again what the
	// store has lost.
	maxRewriteDelay = 500 * time.Millisecond
)

// requestLimit is what a backend server names in its answers. It is guarded by world.mu.
type requestLimit struct {
	perSecond float64
	since     time.Time
	arrivals   []time.Time
}

// injectRestoresAndLimits has the store come back from copies and servers name limits, for a while.
func (c *cluster) injectRestoresAndLimits(backends []*backend, seed uint64, d time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 2))
	randomDuration := func(shortest, longest time.Duration) time.Duration {
		return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
	}
	for deadline := time.Now().Add(d); ; {
		backup := c.store.Copy()
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

// restoreStore has the store away for a moment and come back from a copy; what its own
// writers had written since then is written again a little later.
func (c *cluster) restoreStore(backup rowstore.Copy, outage, rewriteDelay time.Duration) {
	c.recordDisturbance()
	c.store.SetFault(func(string) rowstore.Fault { return rowstore.Busy })
	time.Sleep(outage)
	lost := c.store.Restore(backup)
	c.store.SetFault(nil)
	time.Sleep(rewriteDelay)
	c.store.Rewrite(lost)
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

// announcedLimit is the limit that a server's answers name, 0 if none.
func (b *backend) announcedLimit() float64 {
	b.cluster.mu.Lock()
	defer b.cluster.mu.Unlock()
	return b.limit.perSecond
}

// checkLimit checks a request that has reached a server against its limit, whatever
// else is going on. The lock must be held.
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
			"%s named %.1f a second and got %d requests in %v, %.0f may", b.id, l.perSecond, recent, limitWindow, allowed))
	}
}
