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
	// condition is known to all instances, path only to this one.
	condition condition
	path      path
	// slowness is its time for a request against the mean of the service.
	slowness float64
	since    time.Duration
	// coldTill is when the server bears its full load.
	coldTill time.Duration
	// answered is when any instance last had a sign of the server, and absent
	// says that one couldn't connect long after.
	answered time.Duration
	absent   bool
	// following is the sign that the next attempt will explain.
	following following
	lastUse   time.Duration
	lastFail  time.Duration
	used      bool
	// failure is how the last failed attempt went, at failedAt; OK if none did.
	failure  health.Result
	failedAt time.Duration
	// silent says that the server, or this instance's path to it, gave no sign
	// at the last attempt that tells of that.
	silent bool
	// outstanding per instance; 0 is this instance.
	outstanding map[uint32]count
	sum         int
}

type count struct {
	n  int
	at time.Duration
}

// weigh returns what it would cost to send the request to this server of g.
func (s *server) weigh(off mechanism.Off, g *service, r Request, now time.Duration, wide bool, random func() float64) Choice {
	out := s.count(now)
	risk := s.risk(off, now)
	expected := s.expected(r.ServiceTime, g.work, out, now)
	cost := s.delayCost(off, r, expected, out)
	if r.Retryable {
		cost += risk * riskRepeatable
	} else {
		cost += risk
	}
	if s.entry.DataCentre != r.DataCentre && off.On(mechanism.Crossing) {
		cost += math.Min(crossing+crossingPerKB*r.SizeKB, crossingMost)
	}
	if len(r.TriedServers) == 0 {
		cost -= s.pull(off, g, r, now, out, risk, wide, random)
	}
	return Choice{Server: s.entry, ExpectedLatency: expected, Outstanding: out, Risk: risk, Cost: cost}
}

// delayCost is what the expected time costs a request that doesn't fail.
func (s *server) delayCost(off mechanism.Off, r Request, expected time.Duration, out int) float64 {
	late := float64(expected) / float64(max(r.LatencyTarget, time.Millisecond))
	cost := timeCost*math.Min(late, mostLate) + lateCost*clamp((late-0.8)/0.7)
	if off.On(mechanism.Waiting) {
		cost += waiting * s.ahead(out)
	}
	return cost
}

// pull is what speaks for sending a request to a server that got none for a
// while, whatever it costs. A request that has failed once isn't used to find
// out anything.
func (s *server) pull(off mechanism.Off, g *service, r Request, now time.Duration, out int, risk float64, wide bool, random func() float64) float64 {
	if !off.On(mechanism.Chance) {
		random = func() float64 { return 0 }
	}
	switch {
	case wide && now-s.lastFail > justFailed && due(now-s.lastUse-outOfUse, random):
		return spread
	case off.On(mechanism.Newcomer) && !s.used && out == 0 && due(now-s.since-newcomerAfter, random):
		return newcomer
	case off.On(mechanism.Keep) && s.used && risk < g.keepRisk(r) && due(now-s.lastUse-keepPause(risk), random):
		return keep
	case off.On(mechanism.Probe) && r.Retryable && r.RetryBudgetAmple && !s.silent && due(now-s.lastUse-probeAfter, random):
		return probe
	default:
		return 0
	}
}

// keepRisk is the risk up to which a request keeps servers in use. Where enough
// requests can be repeated, orders leave the doubtful servers to these.
func (g *service) keepRisk(r Request) float64 {
	if !r.Retryable && g.repeatable >= enoughRepeatable {
		return keepRiskOrders
	}
	return keepRisk
}

// keepPause is the time without a request after which a server is kept in use. It
// grows with the risk: each order that finds a server failing partly is one lost.
func keepPause(risk float64) time.Duration {
	return time.Duration(float64(keepAfter) * (1 + keepRiskPause*risk))
}

// due reports whether a request acts on something that has been due for so
// long. All instances see it become due at the same moment, and hear of each
// other's requests some ten milliseconds later: without chance, every request
// of the fleet until then went to the same server, and if that was in a spell,
// all of them were lost.
func due(passed time.Duration, random func() float64) bool {
	return passed > 0 && random()*float64(dueWithin) < float64(passed)
}

// expected is the time until an answer: the wait for a slot, during which the
// requests before it are worked off, then its own work.
func (s *server) expected(work, queued time.Duration, out int, now time.Duration) time.Duration {
	slow := s.slowness
	if now < s.coldTill {
		slow = math.Max(slow, coldSlowness)
	}
	return time.Duration(slow * (float64(work) + s.ahead(out)*float64(queued)))
}

// ahead is how many rounds of requests a slot works off before it takes one
// more, with so many outstanding.
func (s *server) ahead(out int) float64 {
	return float64(max(0, out+1-s.entry.Slots)) / float64(s.entry.Slots)
}

// count is the work outstanding at the server. Counts that weren't renewed
// for long are dropped.
func (s *server) count(now time.Duration) int {
	if s.sum == 0 {
		return 0
	}
	sum := 0
	for instance, c := range s.outstanding {
		if c.n == 0 || (instance != 0 && now-c.at > stale) {
			delete(s.outstanding, instance)
			continue
		}
		sum += c.n
	}
	s.sum = sum
	return sum
}

// measure takes in how long a request took against the usual time.
func (s *server) measure(took, work time.Duration) {
	if took <= 0 || work <= 0 {
		return
	}
	x := math.Min(float64(took)/float64(work), slowest)
	s.slowness += smoothing * (x - s.slowness)
}
