package soak_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foxtailspoke/internal/standin/rowstore"
)

const (
	// limitContact is how long after a server first named a limit nothing is
	// counted yet, and limitWindow the span over which it is.
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	// limitRestart is what an instance may send to a limited server before it is
	// told: its requests until the first answer.
	limitRestart = 10
	// rewriteWithin is how long operators and servers take to write again what the
	// store has lost.
	rewriteWithin = 500 * time.Millisecond
)

// limit is what a backend server names in its answers. It is guarded by world.mu.
type limit struct {
	perSecond float64
	since     time.Time
	arrived   []time.Time
}

// drills has the store come back from copies and servers name limits, for a while.
func (w *world) drills(backs []*backend, seed uint64, d time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 2))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	for end := time.Now().Add(d); ; {
		copied := w.store.Snapshot()
		time.Sleep(between(500*time.Millisecond, 3*time.Second))
		if time.Now().After(end) {
			return
		}
		if rng.IntN(2) == 0 {
			w.restore(copied, between(200*time.Millisecond, 2*time.Second), between(0, rewriteWithin))
			continue
		}
		w.nameLimit(backs[rng.IntN(len(backs))], 1+3*rng.Float64(), between(5*time.Second, 8*time.Second))
	}
}

// restore has the store away for a moment and come back from a copy; what its own
// writers had written since then is written again a little later.
func (w *world) restore(copied rowstore.Snapshot, away, rewrite time.Duration) {
	w.disturb()
	w.store.SetFault(func(string) rowstore.Fault { return rowstore.Unavailable })
	time.Sleep(away)
	lost := w.store.Restore(copied)
	w.store.SetFault(nil)
	time.Sleep(rewrite)
	w.store.Reapply(lost)
	w.disturb()
	w.mu.Lock()
	w.restores++
	w.mu.Unlock()
}

func (w *world) nameLimit(b *backend, perSecond float64, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.limit.perSecond > 0 {
		return
	}
	w.limits++
	b.limit = limit{perSecond: perSecond, since: time.Now()}
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		b.limit = limit{}
	})
}

// named is the limit that a server's answers name, 0 if none.
func (b *backend) named() float64 {
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	return b.limit.perSecond
}

// checkLimit checks a request that has reached a server against its limit, whatever
// else is going on. The lock must be held.
func (w *world) checkLimit(b *backend, now time.Time) {
	l := &b.limit
	if l.perSecond == 0 || now.Sub(l.since) < limitContact {
		return
	}
	l.arrived = append(l.arrived, now)
	recent, restarts := 0, 0
	for _, at := range l.arrived {
		if now.Sub(at) < limitWindow {
			recent++
		}
	}
	for _, at := range w.launched {
		if now.Sub(at) < limitWindow+limitContact {
			restarts++
		}
	}
	allowed := 1.5*l.perSecond*limitWindow.Seconds() + 5 + float64(limitRestart*restarts)
	if float64(recent) > allowed {
		w.faults = append(w.faults, fmt.Sprintf(
			"%s named %.1f a second and got %d requests in %v, %.0f may", b.id, l.perSecond, recent, limitWindow, allowed))
	}
}
