package placement

import (
	"time"

	"foxtailspoke/health"
)

// failureSignal classifies how an attempt failed. Which classes indicate a failing
// server differs between services: some servers reset connections or report failures
// immediately, others hang. Some requests fail on any server, after their usual
// service time.
type failureSignal int

const (
	// noSignal: the result says nothing about the server.
	noSignal failureSignal = iota
	// quickError is a complete answer that reports a failure, too early for the request
	// to have been processed.
	quickError
	// slowError is one after about the usual service time.
	slowError
	// quickDisconnect and slowDisconnect are connections or answers that broke off.
	quickDisconnect
	slowDisconnect
	// noAnswer means that no answer arrived in time.
	noAnswer

	signalCount
)

const (
	// quickFailureShare is the share of the usual service time below which a failure
	// counts as quick.
	quickFailureShare = 0.2
	// followUpWindow is the time within which the next attempt at a server counts as a
	// follow-up of a signal. A failing period may have ended before later attempts.
	followUpWindow = 1500 * time.Millisecond
	// maxFollowUpBelief is the probability of an unhealthy server below which a signal
	// is followed up: only what follows the first failure shows what it indicates.
	maxFollowUpBelief = 0.15
	// priorWeight is the weight of the prior values, in observations.
	priorWeight = 6.0
	// maxFollowUpWeight is the number of observations at which all counts are halved, so
	// that the statistics adapt when the meaning of a signal changes.
	maxFollowUpWeight = 60.0
	// maxSignalCertainty bounds the probability of an unhealthy server after a signal.
	maxSignalCertainty = 0.97
)

// priorFollowUpFailures is the share of attempts assumed to fail after each signal
// while there are few observations.
var priorFollowUpFailures = [signalCount]float64{
	quickError:      0.75,
	slowError:       0.1,
	quickDisconnect: 0.75,
	slowDisconnect:  0.3,
	noAnswer:        0.12,
}

// signalOf classifies a result. latency is the time until the result, 0 if unknown,
// and serviceTime the usual one of such a request.
func signalOf(r health.Result, latency, serviceTime time.Duration) failureSignal {
	quick := float64(latency) < quickFailureShare*float64(serviceTime) || latency <= 0
	switch r {
	case health.ServerError:
		if quick {
			return quickError
		}
		return slowError
	case health.Incomplete, health.Mismatch:
		if quick {
			return quickDisconnect
		}
		return slowDisconnect
	case health.Timeout, health.Late:
		return noAnswer
	case health.OK, health.ConnectFailed, health.Shed, health.NotRun, health.Misdirected, health.Cancelled:
	}
	return noSignal
}

// signalStats estimates for one service how often the next attempt at a server failureShare
// after each signal.
type signalStats struct {
	followUps [signalCount]followUpStats
}

type followUpStats struct {
	// failed of all follow-up attempts, decaying.
	failed, all float64
	// before is the sum of the probabilities of an unhealthy server before the signal.
	before float64
}

// observe records whether the follow-up of a signal failed, and the probability of an
// unhealthy server before the signal.
func (l *signalStats) observe(s failureSignal, failed bool, before float64) {
	f := &l.followUps[s]
	if f.all >= maxFollowUpWeight {
		f.failed, f.all, f.before = f.failed/2, f.all/2, f.before/2
	}
	f.all++
	f.before += before
	if failed {
		f.failed++
	}
}

// likelihoods returns how much more likely a signal is in each state than at a healthy
// server. The share of failed follow-ups lies between the failure rates of two states;
// the probability is interpolated between these.
func (l *signalStats) likelihoods(s failureSignal) likelihoods {
	f := l.followUps[s]
	failureShare := (f.failed + priorWeight*priorFollowUpFailures[s]) / (f.all + priorWeight)
	before := (f.before + priorWeight*priorBeforeSignal) / (f.all + priorWeight)
	var degraded, failing float64
	if failureShare <= degradedFailureRate {
		degraded = max((failureShare-baseFailureRate)/(degradedFailureRate-baseFailureRate), before)
	} else {
		failing = min((failureShare-degradedFailureRate)/(failingFailureRate-degradedFailureRate), 1)
		degraded = 1 - failing
	}
	degraded, failing = max(degraded*maxSignalCertainty, before/2), max(failing*maxSignalCertainty, before/2)
	healthy := max(1-degraded-failing, 1-maxSignalCertainty)
	priorOdds := before / 2 / (1 - before)
	return likelihoods{healthy: 1, degraded: degraded / healthy / priorOdds, failing: failing / healthy / priorOdds}
}

// priorBeforeSignal is the typical probability of an unhealthy server for a server in
// constant use.
const priorBeforeSignal = 0.01

// pendingSignal is a signal that awaits its follow-up attempt.
type pendingSignal struct {
	signal failureSignal
	at     time.Duration
	before float64
}

// recordFollowUp records the result of an attempt as the follow-up of the pending
// signal. Attempts that started before the signal say nothing about it.
func (s *server) recordFollowUp(l *signalStats, r health.Result, now, latency time.Duration) {
	f := s.pending
	if f.signal == noSignal {
		return
	}
	if now-f.at > followUpWindow {
		s.pending = pendingSignal{}
		return
	}
	if started := now - latency; latency <= 0 || started < f.at {
		return
	}
	if r == health.OK || signalOf(r, latency, latency) != noSignal {
		l.observe(f.signal, r != health.OK, f.before)
		s.pending = pendingSignal{}
	}
}
