package soak_test

import (
	"fmt"
	"time"
)

const (
	// evacuation is how long after it is written an evacuation may go unheeded.
	evacuation = 2500 * time.Millisecond

	// A cold server bears coldRate requests a second, and the platform tolerates
	// so much more.
	warmUp        = 2 * time.Second
	coldRate      = 5.0
	coldOvershoot = 1.5
	coldSlack     = 8.0
)

// evacuate evacuates a data centre for a while.
func (w *world) evacuate(dataCentre string, d time.Duration) {
	w.mu.Lock()
	_, already := w.evacuated[dataCentre]
	if !already {
		w.evacuated[dataCentre] = time.Now()
	}
	w.mu.Unlock()
	if already {
		return
	}
	w.store.Put("op", "evacuate/"+dataCentre, []byte("{}"))
	time.AfterFunc(d, func() {
		w.mu.Lock()
		delete(w.evacuated, dataCentre)
		w.mu.Unlock()
		w.store.Remove("op", "evacuate/"+dataCentre)
	})
}

// checkPlace checks a request that has reached a server against evacuations and
// what a cold server bears. The lock must be held.
func (w *world) checkPlace(b *backend, id string, now time.Time) {
	since, evacuated := w.evacuated[b.dataCentre]
	calm := now.Sub(w.disturbed) > keepsStill+evacuation
	if evacuated && calm && now.Sub(since) > evacuation {
		w.faults = append(w.faults, fmt.Sprintf("%s reached %s %v after its data centre was evacuated", id, b.id, now.Sub(since)))
	}
	if !now.Before(b.coldTill) {
		return
	}
	b.arrived = append(b.arrived, now)
	recent := 0
	for _, at := range b.arrived {
		if now.Sub(at) < time.Second {
			recent++
		}
	}
	if float64(recent) > coldRate*coldOvershoot+coldSlack {
		w.faults = append(w.faults, fmt.Sprintf("%s is the request %d within a second at the cold server %s", id, recent, b.id))
	}
}
