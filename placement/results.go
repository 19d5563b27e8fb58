package placement

import (
	"time"

	"foxtailspoke/health"
	"foxtailspoke/mechanism"
)

// risk returns the probability that a request sent now fails.
func (s *server) risk(off mechanism.Disabled, t time.Duration) float64 {
	if !off.Enabled(mechanism.FailurePrediction) {
		return baseFailureRate
	}
	return 1 - (1-s.belief.decayedTo(t).failureProbability())*(1-s.path.downProbability(t))
}

// recordResult records the result of an attempt of this instance (own) or another.
// latency is the time until the result and serviceTime the usual one of such a request.
func (s *server) recordResult(l *signalStats, r health.Result, own bool, latency, serviceTime, t time.Duration) {
	if r.Failed() {
		s.failureResult, s.failedAt = r, t
	}
	s.updateUnresponsive(r, own)
	s.updateMisdirection(r, own, t)
	s.recordFollowUp(l, r, t, latency)
	signal := signalOf(r, latency, serviceTime)
	if before := s.belief.decayedTo(t).unhealthy(); signal != noSignal && before < maxFollowUpBelief {
		s.pending = pendingSignal{signal, t, before}
	}
	switch r {
	case health.OK:
		s.belief.update(t, successLikelihoods)
		if own {
			s.path.update(t, successPathLikelihood)
		}
	case health.Incomplete, health.Mismatch, health.ServerError:
		s.belief.update(t, l.likelihoods(signal))
		if signal != slowError {
			s.lastFailure = t
		}
	case health.ConnectFailed:
		// While other instances get answers, those that can't connect are partitioned from
		// the server, which says nothing about it.
		if own || !s.answeredWithin(partitionEvidenceWindow, t) {
			s.belief.update(t, connectFailedLikelihoods)
		}
		s.recordNoAnswer(own, t)
	case health.Late, health.Timeout:
		s.belief.update(t, l.likelihoods(signal))
		s.recordNoAnswer(own, t)
	case health.Shed, health.NotRun, health.Cancelled:
		// A rejection is a sign of load, which the outstanding requests already show.
	case health.Misdirected:
	}
}

// updateMisdirection records whether the server is at the address of its entry. Results that
// any server at the address could give show nothing.
func (s *server) updateMisdirection(r health.Result, own bool, t time.Duration) {
	switch r {
	case health.Misdirected:
		s.misdirection.record(own, t)
	case health.OK, health.ServerError, health.Shed, health.NotRun:
		s.misdirection = misdirection{}
	case health.Timeout, health.Incomplete, health.Mismatch, health.ConnectFailed, health.Cancelled, health.Late:
	}
}

// recordNoAnswer records an attempt to which the server didn't react at all.
func (s *server) recordNoAnswer(own bool, t time.Duration) {
	if own {
		s.path.update(t, noAnswerPathLikelihood)
		s.lastFailure = t
	}
}

// updateUnresponsive records whether the server answers at all. A failed connection
// attempt of another instance is ignored, as it says nothing about this instance's
// path: with one path in five down, it would mark all servers as unresponsive and
// leave them unused for seconds.
func (s *server) updateUnresponsive(r health.Result, own bool) {
	switch r {
	case health.Timeout, health.Late:
		s.unresponsive = true
	case health.ConnectFailed:
		s.unresponsive = s.unresponsive || own
	case health.OK, health.ServerError, health.Incomplete, health.Mismatch, health.Shed, health.NotRun:
		s.unresponsive = false
	case health.Cancelled, health.Misdirected:
	}
}
