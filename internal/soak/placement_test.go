package soak_test

import (
	"fmt"
	"time"
)

const (
	// evacuationBound is how long after an evacuation is written its data centre may
	// still receive requests.
	evacuationBound = 2500 * time.Millisecond

	// A backend server that is warming up takes warmupRate requests per second. In any
	// second the platform tolerates warmupRate*warmupOvershoot+warmupSlack requests.
	warmupDuration  = 2 * time.Second
	warmupRate      = 5.0
	warmupOvershoot = 1.5
	warmupSlack     = 8.0
)

// evacuate evacuates a data centre for d, unless it is already evacuated.
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

// checkPlacement checks that the data centre of a backend server that received a
// request is not evacuated, and that the server's warm-up rate is respected. c.mu must
// be held.
func (c *cluster) checkPlacement(b *backend, id string, now time.Time) {
	since, evacuated := c.evacuatedSince[b.dataCentre]
	settled := now.Sub(c.lastDisturbance) > settlePeriod+evacuationBound
	if evacuated && settled && now.Sub(since) > evacuationBound {
		c.violations = append(c.violations, fmt.Sprintf("request %s reached backend server %s %v after its data centre was evacuated", id, b.id, now.Sub(since)))
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
		c.violations = append(c.violations, fmt.Sprintf("request %s is number %d within one second at backend server %s, which is warming up", id, recent, b.id))
	}
}
