package placement

import (
	"time"

	"foxtailspoke/health"
	"foxtailspoke/mechanism"
)

// risk is the probability that a request sent now fails.
func (s *server) risk(off mechanism.Off, t time.Duration) float64 {
	if !off.On(mechanism.Spells) {
		return failsOtherwise
	}
	return 1 - (1-s.condition.now(t).fails())*(1-s.path.now(t))
}

// learn takes in the result of an attempt, of this instance or another. Took is
// the time until it and work the usual one of such requests.
func (s *server) learn(l *signs, r health.Result, own bool, took, work, t time.Duration) {
	if r.Failed() {
		s.failure, s.failedAt = r, t
	}
	s.noteSilence(r, own)
	s.follow(l, r, t, took)
	sign := signOf(r, took, work)
	if before := s.condition.now(t).ill(); sign != noSign && before < followTrust {
		s.following = following{sign, t, before}
	}
	switch r {
	case health.OK:
		s.condition.learn(t, answered)
		if own {
			s.path.learn(t, goodPathIs)
		}
	case health.Incomplete, health.Mismatch, health.ServerError:
		s.condition.learn(t, l.means(sign))
		if sign != slowError {
			s.lastFail = t
		}
	case health.ConnectFailed:
		s.condition.learn(t, unreachable)
		s.losePath(own, t)
	case health.Late, health.Timeout:
		s.condition.learn(t, l.means(sign))
		s.losePath(own, t)
	case health.Shed, health.NotRun, health.Cancelled:
		// A refusal tells of load, which the outstanding work shows already.
	}
}

// losePath takes in an attempt without any sign of the server.
func (s *server) losePath(own bool, t time.Duration) {
	if own {
		s.path.learn(t, silentPathIs)
		s.lastFail = t
	}
}

// noteSilence notes whether the server answers at all. That another instance gets no
// connection says nothing of this one's path: with a path in five cut, all
// servers had such a failure last, and were left out of use for seconds.
func (s *server) noteSilence(r health.Result, own bool) {
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
