package retry

import (
	"math/rand/v2"
	"time"
)

// FleetBudgets holds the retry budgets of all services, as seen by one instance. Services
// are given by the hash of their names.
type FleetBudgets struct {
	self     Run
	services map[uint32]*FleetBudget
	// reported holds what the other instances have reported.
	reported   map[uint32]*reportedRun
	coverage   CoverageHistory
	retryAfter time.Duration
	rng        *rand.Rand
}

// NewFleetBudgets returns the budgets of the given run, without requests. The parameter
// retryAfter is the shortest Retry-After time sent to callers.
func NewFleetBudgets(self Run, retryAfter time.Duration, rng *rand.Rand) *FleetBudgets {
	self.SinceStart = true
	return &FleetBudgets{
		self: self, services: make(map[uint32]*FleetBudget), reported: make(map[uint32]*reportedRun), retryAfter: retryAfter, rng: rng,
	}
}

// Service returns the budget of a service.
func (f *FleetBudgets) Service(id uint32) *FleetBudget {
	b, ok := f.services[id]
	if !ok {
		b = NewFleetBudget(f.retryAfter, f.rng)
		f.services[id] = b
	}
	return b
}

// SetCoverage records the share of the fleet whose attempts are counted from now
// on, from 0 to 1.
func (f *FleetBudgets) SetCoverage(share float64, now time.Duration) { f.coverage.Set(share, now) }

// AssumeNoneBefore records that the fleet had no attempts before now.
func (f *FleetBudgets) AssumeNoneBefore(now time.Duration) { f.coverage.Set(1, now-window) }

// Coverage returns the coverage of the counts.
func (f *FleetBudgets) Coverage(now time.Duration) Coverage { return f.coverage.Coverage(now) }

// History is what an instance has counted in the window of the limit. It lets
// an instance that has just started take into account what was counted before.
type History struct {
	// Coverage holds the periods from the oldest to the newest.
	Coverage []CoveragePeriod
	Services map[uint32][]Count
	// Runs holds the reports that the counts include.
	Runs []ReportedRun
}

// Count is the number of attempts in one second.
type Count struct {
	// Age is the time since the middle of that second, 0 if that is to come.
	Age               time.Duration
	Requests, Retries int
}

// History returns what this instance has counted.
func (f *FleetBudgets) History(now time.Duration) History {
	f.coverage.dropBefore(now - window)
	h := History{Coverage: f.coverage.periods(now), Services: make(map[uint32][]Count), Runs: f.reportedRuns(now)}
	for id, b := range f.services {
		if counts := b.window.counts(now); len(counts) > 0 {
			h.Services[id] = counts
		}
	}
	return h
}

// Adopt replaces the counts by those of another instance if these cover more of
// the window, and reports whether they do. The coverage from now on is this
// instance's own.
func (f *FleetBudgets) Adopt(h History, now time.Duration) bool {
	own := f.coverage.Coverage(now)
	adopted := historyOf(h.Coverage, now)
	other := adopted.Coverage(now)
	if other.Lowest < own.Lowest || (other.Lowest == own.Lowest && other.Mean <= own.Mean) {
		return false
	}
	adopted.Set(own.Current, now)
	f.coverage = adopted
	for _, b := range f.services {
		b.window = Window{}
	}
	for id, counts := range h.Services {
		f.Service(id).window.add(counts, now)
	}
	f.adoptRuns(h.Runs, now)
	return true
}
