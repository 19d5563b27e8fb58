package placement

import (
	"math"
	"time"

	"foxtailspoke/discovery"
)

// server is what is known of a backend server beside its entry.
type server struct {
	entry discovery.Server
	// spell is known to all instances, path only to this one.
	spell, path belief
	// slowness is its time for a request against the mean of the service.
	slowness float64
	since    time.Duration
	warmTill time.Duration
	lastUse  time.Duration
	lastFail time.Duration
	used     bool
	// outstanding per instance; 0 is this instance.
	outstanding map[uint32]count
	sum         int
}

type count struct {
	n  int
	at time.Duration
}

// weigh returns what it would cost to send the request to this server.
// The requests before it take as long as is usual at its service (queued).
func (s *server) weigh(r Request, queued, now time.Duration, wide bool) Choice {
	out := s.count(now)
	risk := s.risk(now)
	expected := s.expected(r.Work, queued, out, now)
	cost := risk
	if r.Repeatable {
		cost *= riskRepeatable
	}
	late := float64(expected) / float64(max(r.Aim, time.Millisecond))
	cost += timeCost*math.Min(late, mostLate) + lateCost*clamp((late-0.8)/0.7)
	if out+1 >= s.entry.Slots {
		cost += crowding
	}
	if s.entry.DataCentre != r.DataCentre {
		cost += math.Min(crossing+crossingPerKB*r.KB, crossingMost)
	}
	if !s.used && now-s.since > newcomerAfter && out == 0 {
		cost -= newcomer
	}
	if wide && now-s.lastUse > outOfUse && now-s.lastFail > justFailed {
		cost -= spread
	}
	return Choice{Server: s.entry, Expected: expected, Outstanding: out, Risk: risk, Cost: cost}
}

// expected is the time until an answer: the wait for a slot, during which the
// requests before it are worked off, then its own work.
func (s *server) expected(work, queued time.Duration, out int, now time.Duration) time.Duration {
	slow := s.slowness
	if now < s.warmTill {
		slow = math.Max(slow, coldSlowness)
	}
	ahead := float64(max(0, out+1-s.entry.Slots)) / float64(s.entry.Slots)
	return time.Duration(slow * (float64(work) + ahead*float64(queued)))
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
