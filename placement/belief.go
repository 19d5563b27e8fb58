package placement

import (
	"math"
	"time"

	"foxtailspoke/health"
	"foxtailspoke/mechanism"
)

// belief is the probability that something is in a bad state, kept as a
// two-state model: it turns bad and well again by itself, at rates that are
// known roughly, and every result of a request says which of both is likelier.
type belief struct {
	bad float64
	at  time.Duration
}

// model is what is known of such states in general.
type model struct {
	// usually is the share that is bad when nothing is known.
	usually float64
	// trust and suspicion are the times after which good and bad experience
	// has faded to a third.
	trust, suspicion time.Duration
}

// spells are the states of a server: in a spell of failures, or well.
//
// As observed, about 30% of the servers of a service are in a spell at any
// time, a spell lasts about nine seconds, rarely twice that, and a server that
// is well stays so for about half a minute. Trust in a server that isn't used
// must outlast the pauses between requests, or all load stays on few servers;
// suspicion has to outlast most of a spell, since each early try is probably
// lost.
var spells = model{usually: 0.3, trust: 9 * time.Second, suspicion: 6 * time.Second}

// paths are the states of the network between this instance and a server. A
// path that is cut loses everything that this instance sends, while others
// reach the server as before; cuts last some seconds.
var paths = model{usually: 0.01, trust: 9 * time.Second, suspicion: 6 * time.Second}

// likelihood of a result in the bad state and in the good one.
type likelihood struct{ bad, well float64 }

// What a failure means is learnt (signs). A request that gets no connection tells
// more of the path than of the server, if it was this instance's own.
var (
	answeredIs    = likelihood{1 - failsInSpell, 1 - failsOtherwise}
	unreachableIs = likelihood{0.3, 0.06}
	silentPathIs  = likelihood{0.9, 0.03}
	goodPathIs    = likelihood{0.1, 0.97}
)

const (
	// failsInSpell and failsOtherwise are the shares of requests that fail at
	// servers in spells and at others.
	failsInSpell   = 0.8
	failsOtherwise = 0.012
	// bounds keep a belief from becoming a certainty that no result moves.
	leastBelief = 0.002
	mostBelief  = 0.995
)

// now returns the probability faded to the given time.
func (b belief) now(m model, t time.Duration) float64 {
	passed := t - b.at
	if passed <= 0 {
		return b.bad
	}
	fades := m.trust
	if b.bad > m.usually {
		fades = m.suspicion
	}
	kept := math.Exp(-float64(passed) / float64(fades))
	return m.usually + (b.bad-m.usually)*kept
}

// learn takes in a result.
func (b *belief) learn(m model, t time.Duration, l likelihood) {
	p := b.now(m, t)
	p = p * l.bad / (p*l.bad + (1-p)*l.well)
	b.bad = math.Min(math.Max(p, leastBelief), mostBelief)
	b.at = t
}

// risk is the probability that a request sent now fails.
func (s *server) risk(off mechanism.Off, t time.Duration) float64 {
	if !off.On(mechanism.Spells) {
		return failsOtherwise
	}
	spell := s.spell.now(spells, t)
	fails := spell*failsInSpell + (1-spell)*failsOtherwise
	return 1 - (1-fails)*(1-s.path.now(paths, t))
}

// learn takes in the result of an attempt, of this instance or another. Took is
// the time until it and work the usual one of such requests.
func (s *server) learn(l *signs, r health.Result, own bool, took, work, t time.Duration) {
	if r.Failed() {
		s.failure, s.failedAt = r, t
	}
	s.hear(r, own)
	s.follow(l, r, t, took)
	sign := signOf(r, took, work)
	if before := s.spell.now(spells, t); sign != noSign && before < followTrust {
		s.following = following{sign, t, before}
	}
	switch r {
	case health.OK:
		s.spell.learn(spells, t, answeredIs)
		if own {
			s.path.learn(paths, t, goodPathIs)
		}
	case health.Incomplete, health.Mismatch, health.ServerError:
		s.spell.learn(spells, t, l.means(sign))
		if sign != slowError {
			s.lastFail = t
		}
	case health.ConnectFailed:
		s.spell.learn(spells, t, unreachableIs)
		s.losePath(own, t)
	case health.Late, health.Timeout:
		s.spell.learn(spells, t, l.means(sign))
		s.losePath(own, t)
	case health.Shed, health.NotRun, health.Cancelled:
		// A refusal tells of load, which the outstanding work shows already.
	}
}

// losePath takes in an attempt without any sign of the server.
func (s *server) losePath(own bool, t time.Duration) {
	if own {
		s.path.learn(paths, t, silentPathIs)
		s.lastFail = t
	}
}

// hear notes whether the server answers at all. That another instance gets no
// connection says nothing of this one's path: with a path in five cut, all
// servers had such a failure last, and were left out of use for seconds.
func (s *server) hear(r health.Result, own bool) {
	switch r {
	case health.Timeout, health.Late:
		s.silent = true
	case health.ConnectFailed:
		s.silent = s.silent || own
	case health.OK, health.ServerError, health.Incomplete, health.Mismatch, health.Shed, health.NotRun:
		s.silent = false
	case health.Cancelled:
	}
}
