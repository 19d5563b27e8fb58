package soak_test

import (
	"fmt"
	"time"
)

const (
	// evacuationBound is how long after it is written an evacuationBound may go unheeded.
	evacuationBound = 2500 * time.Millisecond

	// A cold server bears coldRate requests a second, and the platform tolerates
	// so much more.
	warmupDuration        = 2 * time.Second
	warmupRate      = 5.0
	warmupOvershoot = 1.5
	warmupSlack     = 8.0
)

// evacuate evacuates a data centre for a while.
func (c *cluster) evacuate(dataCentre string, d time.Duration) {
	c.mu.Lock()
	_, evacuated := c.evacuatedSince[dataCentre]
	if !evacuated {
		c.evacuatedSince[dataCentre] = time.Now()
	}
	c.mu.Unlock()
	if evacuated {
		return
	}
	c.store.Put("op", "evacuate/"+dataCentre, []byte("{}"))
	time.AfterFunc(d, func() {
		c.mu.Lock()
		delete(c.evacuatedSince, dataCentre)
		c.mu.Unlock()
		c.store.Remove("op", "evacuate/"+dataCentre)
	})
}

// checkPlacement checks a request that has reached a server against evacuations and
// what a cold server bears. The lock must be held.
func (c *cluster) checkPlacement(b *backend, id string, now time.Time) {
	since, evacuated := c.evacuatedSince[b.dataCentre]
	settled := now.Sub(c.lastDisturbance) > settlePeriod+evacuationBound
	if evacuated && settled && now.Sub(since) > evacuationBound {
		c.violations = append(c.violations, fmt.Sprintf("%s reached %s %v after its data centre was evacuated", id, b.id, now.Sub(since)))
	}
	if !now.Before(b.warmupEnd) {
		return
	}
	b.warmupArrivals = append(b.warmupArrivals, now)
	recent := 0
	for _, arrival := range b.warmupArrivals {
		if now.Sub(arrival) < time.Second {
			recent++
		}
	}
	if float64(recent) > warmupRate*warmupOvershoot+warmupSlack {
		c.violations = append(c.violations, fmt.Sprintf("%s is the request %d within a second at the cold server %s", id, recent, b.id))
	}
}
