package placement

import (
	"math"
	"time"

	"foxtailspoke/discovery"
	"foxtailspoke/health"
	"foxtailspoke/mechanism"
)

// server is what is known of a backend server beside its entry.
type server struct {
	entry discovery.Server
	// hash is the short form of its id.
	hash uint32
	// belief is known to all instances, path only to this one.
	belief healthBelief
	path      path
	// slowness is its time for a request against the mean of the service.
	slowness float64
	addedAt    time.Duration
	// coldUntil is when the server bears its full load.
	coldUntil time.Duration
	// lastAnswer is when any instance last had a sign of the server, and absent
	// says that one couldn't connect long after.
	lastAnswer time.Duration
	unreachable   bool
	// pending is the sign that the next attempt will explain.
	pending pendingSignal
	lastUse   time.Duration
	lastFailure  time.Duration
	used      bool
	// failureResult is how the last failed attempt went, at failedAt; OK if none did.
	failureResult  health.Result
	failedAt time.Duration
	// unresponsive says that the server, or this instance's path to it, gave no sign
	// at the last attempt that tells of that.
	unresponsive bool
	// outstanding per instance; 0 is this instance.
	outstanding map[uint32]outstandingCount
	totalOutstanding         int
}

type outstandingCount struct {
	n  int
	at time.Duration
}

// evaluate returns what it would cost to send the request to this server of g.
func (s *server) evaluate(off mechanism.Off, g *service, r Request, now time.Duration, wide bool, random func() float64) Choice {
	out := s.currentOutstanding(now)
	risk := s.risk(off, now)
	expected := s.expectedLatency(r.ServiceTime, g.serviceTime, out, now)
	cost := s.latencyCost(off, r, expected, out)
	if r.Retryable {
		cost += risk * retryableFailureCost
	} else {
		cost += risk
	}
	if s.entry.DataCentre != r.DataCentre && off.On(mechanism.Crossing) {
		cost += math.Min(crossDCCost+crossDCCostPerKB*r.SizeKB, maxCrossDCCost)
	}
	if len(r.TriedServers) == 0 {
		cost -= s.explorationBonus(off, g, r, now, out, risk, wide, random)
	}
	return Choice{Server: s.entry, ExpectedLatency: expected, Outstanding: out, Risk: risk, Cost: cost}
}

// latencyCost is what the expected time costs a request that doesn't fail.
func (s *server) latencyCost(off mechanism.Off, r Request, expected time.Duration, out int) float64 {
	late := float64(expected) / float64(max(r.LatencyTarget, time.Millisecond))
	cost := latencyWeight*math.Min(late, maxLatencyRatio) + lateAnswerCost*clamp01((late-0.8)/0.7)
	if off.On(mechanism.Waiting) {
		cost += queueRoundCost * s.queueRounds(out)
	}
	return cost
}

// explorationBonus is what speaks for sending a request to a server that got none for a
// while, whatever it costs. A request that has failed once isn't used to find
// out anything.
func (s *server) explorationBonus(off mechanism.Off, g *service, r Request, now time.Duration, out int, risk float64, wide bool, random func() float64) float64 {
	if !off.On(mechanism.Chance) {
		random = func() float64 { return 0 }
	}
	switch {
	case wide && now-s.lastFailure > spreadFailureHoldoff && isDue(now-s.lastUse-idleAfter, random):
		return spreadBonus
	case off.On(mechanism.Newcomer) && !s.used && out == 0 && isDue(now-s.addedAt-unusedServerDelay, random):
		return unusedServerBonus
	case off.On(mechanism.Keep) && s.used && risk < g.maxKeepInUseRisk(r) && isDue(now-s.lastUse-keepInUsePause(risk), random):
		return keepInUseBonus
	case off.On(mechanism.Probe) && r.Retryable && r.RetryBudgetAmple && !s.unresponsive && isDue(now-s.lastUse-probeAfter, random):
		return probeBonus
	default:
		return 0
	}
}

// maxKeepInUseRisk is the risk up to which a request keeps servers in use. Where enough
// requests can be repeated, orders leave the doubtful servers to these.
func (g *service) maxKeepInUseRisk(r Request) float64 {
	if !r.Retryable && g.retryableShare >= minRetryableShare {
		return keepInUseRiskLimitNonRetryable
	}
	return keepInUseRiskLimit
}

// keepInUsePause is the time without a request after which a server is kept in use. It
// grows with the risk: each order that finds a server failing partly is one lost.
func keepInUsePause(risk float64) time.Duration {
	return time.Duration(float64(keepInUseAfter) * (1 + keepInUseRiskFactor*risk))
}

// isDue reports whether a request acts on something that has been isDue for so
// long. All instances see it become isDue at the same moment, and hear of each
// other's requests some ten milliseconds later: without chance, every request
// of the fleet until then went to the same server, and if that was in a spell,
// all of them were lost.
func isDue(passed time.Duration, random func() float64) bool {
	return passed > 0 && random()*float64(dueRampTime) < float64(passed)
}

// expectedLatency is the time until an answer: the wait for a slot, during which the
// requests before it are worked off, then its own work.
func (s *server) expectedLatency(work, queued time.Duration, out int, now time.Duration) time.Duration {
	slow := s.slowness
	if now < s.coldUntil {
		slow = math.Max(slow, coldSlowness)
	}
	return time.Duration(slow * (float64(work) + s.queueRounds(out)*float64(queued)))
}

// queueRounds is how many rounds of requests a slot works off before it takes one
// more, with so many outstanding.
func (s *server) queueRounds(out int) float64 {
	return float64(max(0, out+1-s.entry.Slots)) / float64(s.entry.Slots)
}

// currentOutstanding is the work outstanding at the server. Counts that weren't renewed
// for long are dropped.
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

// updateSlowness takes in how long a request took against the usual time.
func (s *server) updateSlowness(took, work time.Duration) {
	if took <= 0 || work <= 0 {
		return
	}
	x := math.Min(float64(took)/float64(work), maxSlowness)
	s.slowness += slownessSmoothing * (x - s.slowness)
}
