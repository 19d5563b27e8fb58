package placement

import (
	"math"
	"time"

	"foxtailspoke/discovery"
	"foxtailspoke/health"
	"foxtailspoke/mechanism"
)

// server is the state of a backend server and its registration.
type server struct {
	entry discovery.Server
	// hash is the hash of its ID.
	hash uint32
	// belief is derived from the results of all instances, path from those of this one.
	belief healthBelief
	path   path
	// slowness is its service time relative to the mean of the service, as of slownessAt.
	slowness   float64
	slownessAt time.Duration
	addedAt    time.Duration
	// coldUntil is the time at which the server can handle its full load.
	coldUntil time.Duration
	// lastAnswer is when any instance last received an answer from the server, and
	// unreachable means that one failed to connect well after that.
	// answered reports whether there was an answer since the server is listed.
	lastAnswer  time.Duration
	answered    bool
	unreachable bool
	// superseded means that a server that started later has the address.
	superseded   bool
	misdirection misdirection
	// pending is the signal whose follow-up attempt is awaited.
	pending pendingSignal
	// lastUse is the start of the last attempt that reached the server, as far as is known, and
	// lastArrival that of the last one that is known to have. used reports whether there was an
	// attempt at all.
	lastUse     time.Duration
	lastArrival time.Duration
	used        bool
	lastFailure time.Duration
	// uses holds the recent attempts by instance.
	uses map[uint32]use
	// failureResult is the result of the last failed attempt, at failedAt; OK if there
	// was none.
	failureResult health.Result
	failedAt      time.Duration
	// unresponsive means that the server, or this instance's path to it, didn't react to
	// the last attempt that shows whether it does.
	unresponsive bool
	// outstanding requests per instance; 0 is this instance.
	outstanding      map[uint32]outstandingCount
	totalOutstanding int
}

type outstandingCount struct {
	n  int
	at time.Duration
}

// evaluate returns the choice of this server of g for a request, with its cost, and the
// reason for the exploration bonus in it.
func (s *server) evaluate(off mechanism.Disabled, g *service, r Request, now time.Duration, spread bool, random func() float64) (Choice, exploration) {
	out := s.currentOutstanding(now)
	risk := s.risk(off, now)
	expected := s.expectedLatency(r.ServiceTime, g.serviceTime, out, now)
	cost := s.latencyCost(off, r, expected, out)
	if r.Retryable {
		cost += risk * retryableFailureCost
	} else {
		cost += risk
	}
	reason := noExploration
	if len(r.TriedServers) == 0 {
		reason = s.explorationReason(off, g, r, now, out, risk, spread, random)
	}
	if off.Enabled(mechanism.LocalPreference) {
		cost += r.crossingCost(s.entry.DataCentre, reason)
	}
	return Choice{Server: s.entry, ExpectedLatency: expected, Outstanding: out, Risk: risk, Cost: cost - explorationBonus[reason]}, reason
}

// latencyCost returns the cost of the expected latency for a request that doesn't fail.
func (s *server) latencyCost(off mechanism.Disabled, r Request, expected time.Duration, out int) float64 {
	ratio := float64(expected) / float64(max(r.LatencyTarget, time.Millisecond))
	cost := latencyWeight*math.Min(ratio, maxLatencyRatio) + lateAnswerCost*clamp01((ratio-0.8)/0.7)
	if off.Enabled(mechanism.QueueCost) {
		cost += queueRoundCost * s.queueRounds(out)
	}
	if off.Enabled(mechanism.Occupancy) {
		cost += s.occupancyCost(out)
	}
	return cost
}

// occupancyCost returns the cost of the share of the slots that is taken.
func (s *server) occupancyCost(out int) float64 {
	if s.entry.Slots < minOccupancySlots {
		return 0
	}
	return fullOccupancyCost * math.Min(float64(out)/float64(s.entry.Slots), 1)
}

// exploration is the reason for which a server that received no requests for a while
// becomes cheaper.
type exploration int

const (
	noExploration exploration = iota
	spreadLoad
	tryUnused
	keepInUse
	probe
)

// explorationBonus is the reduction of the cost.
var explorationBonus = [...]float64{
	spreadLoad: spreadBonus,
	tryUnused:  unusedServerBonus,
	keepInUse:  keepInUseBonus,
	probe:      probeBonus,
}

// explorationReason returns whether the request is to explore the server, and why.
// Requests that have already failed once aren't used for exploration.
func (s *server) explorationReason(off mechanism.Disabled, g *service, r Request, now time.Duration, out int, risk float64, spread bool, random func() float64) exploration {
	if !off.Enabled(mechanism.RandomTiming) {
		random = func() float64 { return 0 }
	}
	switch {
	case spread && now-s.lastFailure > spreadFailureHoldoff && isDue(now-s.lastUse-idleAfter, random):
		return spreadLoad
	case off.Enabled(mechanism.UnusedServers) && !s.used && out == 0 && isDue(now-s.addedAt-unusedServerDelay, random):
		return tryUnused
	case off.Enabled(mechanism.KeepInUse) && s.used && risk < g.maxKeepInUseRisk(r) && isDue(now-s.lastUse-keepInUsePause(risk), random):
		return keepInUse
	case off.Enabled(mechanism.Probe) && r.Retryable && r.RetryBudgetAmple && !s.unresponsive && isDue(now-s.lastUse-probeAfter, random):
		return probe
	default:
		return noExploration
	}
}

// maxKeepInUseRisk returns the risk up to which a request is used to keep a server in
// use. If enough requests are retryable, non-retryable ones leave suspect servers to
// these.
func (g *service) maxKeepInUseRisk(r Request) float64 {
	if !r.Retryable && g.retryableShare >= minRetryableShare {
		return keepInUseRiskLimitNonRetryable
	}
	return keepInUseRiskLimit
}

// keepInUsePause returns the time without a request after which a server is sent one to
// keep it in use. It grows with the risk, as each non-retryable request that meets a
// degraded server may be lost.
func keepInUsePause(risk float64) time.Duration {
	return time.Duration(float64(keepInUseAfter) * (1 + keepInUseRiskFactor*risk))
}

// isDue reports whether a request is used for something that became due the given time
// ago. All instances see it become due at the same moment and learn of each other's
// requests some 10 ms later. Without randomization, every request of the fleet until
// then would go to the same server, and all would be lost if it is failing.
func isDue(overdue time.Duration, random func() float64) bool {
	return overdue > 0 && random()*float64(dueRampTime) < float64(overdue)
}

// expectedLatency returns the expected time until an answer: the wait for a slot while
// the requests ahead are served, each taking meanServiceTime, and the request's own
// service time.
func (s *server) expectedLatency(serviceTime, meanServiceTime time.Duration, out int, now time.Duration) time.Duration {
	slowness := s.currentSlowness(now)
	if now < s.coldUntil {
		slowness = math.Max(slowness, coldSlowness)
	}
	return time.Duration(slowness * (float64(serviceTime) + s.queueRounds(out)*float64(meanServiceTime)))
}

// queueRounds returns how many rounds of requests a slot serves before it takes another
// one, given the number of outstanding requests.
func (s *server) queueRounds(out int) float64 {
	return float64(max(0, out+1-s.entry.Slots)) / float64(s.entry.Slots)
}

// currentOutstanding returns the number of requests outstanding at the server. Counts of
// other instances that weren't updated within outstandingExpiry are dropped.
func (s *server) currentOutstanding(now time.Duration) int {
	if s.totalOutstanding == 0 {
		return 0
	}
	sum := 0
	for instance, c := range s.outstanding {
		if c.n == 0 || (instance != 0 && now-c.at > outstandingExpiry) {
			delete(s.outstanding, instance)
			continue
		}
		sum += c.n
	}
	s.totalOutstanding = sum
	return sum
}

// currentSlowness returns the slowness, decayed towards that of an average server. Without
// the decay a server that was slow would receive no requests, and so no new measurement.
func (s *server) currentSlowness(now time.Duration) float64 {
	return 1 + (s.slowness-1)*math.Exp(-float64(max(now-s.slownessAt, 0))/float64(slownessDecayTime))
}

// updateSlowness updates the moving average with the latency of a request relative to
// its usual service time.
func (s *server) updateSlowness(latency, serviceTime, now time.Duration) {
	if latency <= 0 || serviceTime <= 0 {
		return
	}
	s.slowness, s.slownessAt = s.currentSlowness(now), now
	x := math.Min(float64(latency)/float64(serviceTime), maxSlowness)
	s.slowness += slownessSmoothing * (x - s.slowness)
}
