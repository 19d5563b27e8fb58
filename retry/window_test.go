package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A service refuses more than half of everything, so that every other request
// asks for a repeat. However many do, the repeats of any ten seconds stay below
// the bound that is used; the rest of the platform's bound is for what other
// instances do unheard.
func TestRepeatsStayBelowTheBound(t *testing.T) {
	const ratio, slack = 0.14, 150.0
	var w Window
	b := NewBudget(DefaultSettings(), nil)
	var repeats []time.Duration
	requests := 0
	for now := time.Duration(0); now < 30*time.Second; now += 2 * time.Millisecond {
		w.Count(false, now)
		requests++
		b.SetTokens(w.Remaining(ratio, slack, now))
		if b.take() {
			w.Count(true, now)
			repeats = append(repeats, now)
		}
	}
	first, most := 0, 0
	for last, at := range repeats {
		for at-repeats[first] >= 10*time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	must.LessEq(t, ratio*500*11+slack, float64(most))
	must.Greater(t, 500, most)
}

func TestWindowForgets(t *testing.T) {
	var w Window
	for range 10 {
		w.Count(true, time.Second)
	}
	must.Eq(t, -5, w.Remaining(1, 5, 5*time.Second))
	must.Eq(t, 5, w.Remaining(1, 5, 20*time.Second))
}
