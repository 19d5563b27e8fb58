package placement

import (
	"time"

	"foxtailspoke/health"
	"foxtailspoke/mechanism"
)

// risk is the probability that a request sent now fails.
func (s *server) risk(off mechanism.Off, t time.Duration) float64 {
	if !off.On(mechanism.Spells) {
		return baseFailureRate
	}
	return 1 - (1-s.belief.decayedTo(t).failureProbability())*(1-s.path.downProbability(t))
}

// recordResult takes in the result of an attempt, of this instance or another. Took is
// the time until it and work the usual one of such requests.
func (s *server) recordResult(l *signalStats, r health.Result, own bool, took, work, t time.Duration) {
	if r.Failed() {
		s.failureResult, s.failedAt = r, t
	}
	s.updateUnresponsive(r, own)
	s.recordFollowUp(l, r, t, took)
	sign := signalOf(r, took, work)
	if before := s.belief.decayedTo(t).unhealthy(); sign != noSignal && before < maxFollowUpBelief {
		s.pending = pendingSignal{sign, t, before}
	}
	switch r {
	case health.OK:
		s.belief.update(t, successLikelihoods)
		if own {
			s.path.update(t, successPathLikelihood)
		}
	case health.Incomplete, health.Mismatch, health.ServerError:
		s.belief.update(t, l.likelihoods(sign))
		if sign != slowError {
			s.lastFailure = t
		}
	case health.ConnectFailed:
		s.belief.update(t, connectFailedLikelihoods)
		s.recordNoAnswer(own, t)
	case health.Late, health.Timeout:
		s.belief.update(t, l.likelihoods(sign))
		s.recordNoAnswer(own, t)
	case health.Shed, health.NotRun, health.Cancelled:
		// A refusal tells of load, which the outstanding work shows already.
	}
}

// recordNoAnswer takes in an attempt without any sign of the server.
func (s *server) recordNoAnswer(own bool, t time.Duration) {
	if own {
		s.path.update(t, noAnswerPathLikelihood)
		s.lastFailure = t
	}
}

// updateUnresponsive notes whether the server answers at all. That another instance gets no
// connection says nothing of this one's path: with a path in five cut, all
// servers had such a failure last, and were left out of use for seconds.
func (s *server) updateUnresponsive(r health.Result, own bool) {
	switch r {
	case health.Timeout, health.Late:
		s.unresponsive = true
	case health.ConnectFailed:
		s.unresponsive = s.unresponsive || own
	case health.OK, health.ServerError, health.Incomplete, health.Mismatch, health.Shed, health.NotRun:
		s.unresponsive = false
	case health.Cancelled:
	}
}
