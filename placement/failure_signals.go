package placement

import (
	"time"

	"foxtailspoke/health"
)

// failureSignal is a way in which attempts fail. Which ways betray a spell differs: some
// servers reset connections or report failures at once, others hang; and some
// requests fail by themselves on any server, after the usual time of their work.
type failureSignal int

const (
	// noSignal: the result doesn't tell of the server.
	noSignal failureSignal = iota
	// quickError is a whole answer that reports a failure, too soon for the work
	// to have been done.
	quickError
	// slowError is one after about the time of the work.
	slowError
	// quickDisconnect and slowBreak are connections or answers that broke off.
	quickDisconnect
	slowDisconnect
	// noAnswer is the lack of an answer.
	noAnswer

	signalCount
)

const (
	// quickFailureShare is the part of the usual time of the work below which a failure
	// is too quick for it.
	quickFailureShare = 0.2
	// followUpWindow is the time within which the next attempt at a server shows
	// whether a sign meant a spell. Of later ones some find that it has ended.
	followUpWindow = 1500 * time.Millisecond
	// maxFollowUpBelief is the belief in a spell up to which a sign is followed: what
	// comes after the first failure tells what that meant.
	maxFollowUpBelief = 0.15
	// priorWeight is the number of observations that the initial figures weigh.
	priorWeight = 6.0
	// maxFollowUpWeight is the weight of observations above which all are halved, so
	// that signs may change their meaning.
	maxFollowUpWeight = 60.0
	// maxSignalCertainty bounds how sure a spell is after a sign.
	maxSignalCertainty = 0.97
)

// priorFollowUpFailures is the share of attempts that fail after each sign as long as little
// is observed.
var priorFollowUpFailures = [signalCount]float64{
	quickError: 0.75,
	slowError:  0.1,
	quickDisconnect: 0.75,
	slowDisconnect:  0.3,
	noAnswer:    0.12,
}

// signalOf returns what a result may betray. Took is the time until it, 0 if it
// isn't known, and work the usual time of such a request.
func signalOf(r health.Result, took, work time.Duration) failureSignal {
	quick := float64(took) < quickFailureShare*float64(work) || took <= 0
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
	case health.OK, health.ConnectFailed, health.Shed, health.NotRun, health.Cancelled:
	}
	return noSignal
}

// signalStats learns for one service how often attempts at a server go on failing
// after each sign.
type signalStats struct {
	followUps [signalCount]followUpStats
}

type followUpStats struct {
	// failed of all attempts that came next at a server, fading.
	failed, all float64
	// before is the sum of the beliefs before the sign.
	before float64
}

// observe takes in whether the next attempt after a sign failed, and what was
// believed before the sign.
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

// likelihoods is how much likelier a sign is in each condition than at a server that is
// well. The share that fails after it lies between those of two conditions, which
// then share what is believed.
func (l *signalStats) likelihoods(s failureSignal) likelihoods {
	f := l.followUps[s]
	fails := (f.failed + priorWeight*priorFollowUpFailures[s]) / (f.all + priorWeight)
	before := (f.before + priorWeight*priorBeforeSignal) / (f.all + priorWeight)
	var partly, spell float64
	if fails <= degradedFailureRate {
		partly = max((fails-baseFailureRate)/(degradedFailureRate-baseFailureRate), before)
	} else {
		spell = min((fails-degradedFailureRate)/(failingFailureRate-degradedFailureRate), 1)
		partly = 1 - spell
	}
	partly, spell = max(partly*maxSignalCertainty, before/2), max(spell*maxSignalCertainty, before/2)
	well := max(1-partly-spell, 1-maxSignalCertainty)
	usual := before / 2 / (1 - before)
	return likelihoods{healthy: 1, degraded: partly / well / usual, failing: spell / well / usual}
}

// priorBeforeSignal is the belief that a server is ill which is used all the time.
const priorBeforeSignal = 0.01

// pendingSignal is a sign whose meaning the next attempt at its server will show.
type pendingSignal struct {
	signal   failureSignal
	at     time.Duration
	before float64
}

// recordFollowUp takes in the result of an attempt that took so long. Attempts that began
// before the sign say nothing of it.
func (s *server) recordFollowUp(l *signalStats, r health.Result, now, took time.Duration) {
	f := s.pending
	if f.signal == noSignal {
		return
	}
	if now-f.at > followUpWindow {
		s.pending = pendingSignal{}
		return
	}
	if began := now - took; took <= 0 || began < f.at {
		return
	}
	if r == health.OK || signalOf(r, took, took) != noSignal {
		l.observe(f.signal, r != health.OK, f.before)
		s.pending = pendingSignal{}
	}
}
