package retry

import (
	"math/rand/v2"
	"time"
)

// FleetBudgets holds the retry budgets of all services, as seen by one instance.
type FleetBudgets struct {
	services   map[string]*FleetBudget
	coverage   float64
	retryAfter time.Duration
	rng        *rand.Rand
}

// NewFleetBudgets returns budgets without requests. The parameter retryAfter is
// the shortest Retry-After time sent to callers.
func NewFleetBudgets(retryAfter time.Duration, rng *rand.Rand) *FleetBudgets {
	return &FleetBudgets{services: make(map[string]*FleetBudget), retryAfter: retryAfter, rng: rng}
}

// Service returns the budget of a service.
func (f *FleetBudgets) Service(name string) *FleetBudget {
	b, ok := f.services[name]
	if !ok {
		b = NewFleetBudget(f.retryAfter, f.rng)
		f.services[name] = b
	}
	return b
}

// SetCoverage records the share of the fleet whose attempts are counted from now
// on, from 0 to 1.
func (f *FleetBudgets) SetCoverage(share float64) { f.coverage = share }

// Coverage returns the coverage of the counts.
func (f *FleetBudgets) Coverage() float64 { return f.coverage }
