package freshness

import "time"

// UnknownAge is the age when no response has been seen. It exceeds any bound.
const UnknownAge = time.Duration(1<<62 - 1)

// PollSchedule decides when this instance asks the store itself.
//
// There is no leader election: an instance asks when its knowledge is older
// than its own threshold, and forwards the response to all others. Thresholds
// rise with the rank of an instance among those alive, so that normally only
// the first in rank asks. When it dies, stalls or is refused by the store, the
// next in rank takes over within 0.1 s without coordination. An instance that
// hears no other asks for itself.
type PollSchedule struct {
	lastResponse time.Duration
	hasResponse  bool
	lastAttempt  time.Duration
	hasAttempt   bool
	// firstAttempt is the first attempt of any instance since the newest
	// response; 0 if there was none.
	firstAttempt time.Duration
	// ownResponse means that the newest response came from this instance's own
	// call.
	ownResponse bool
	// failures counts consecutive failures of this instance's own calls.
	failures    int
	lastFailure time.Duration
}

const (
	// pollInterval is the age of knowledge at which the first in rank asks
	// again. It leaves three quarters of the tightest bound, two seconds for a
	// changed configuration or a leaving server, to the lower ranks.
	pollInterval = 450 * time.Millisecond
	// rankStep is the additional wait per rank, up to maxRankSteps: a longer
	// wait could exceed the bound where no other instance can ask.
	rankStep     = 100 * time.Millisecond
	maxRankSteps = 5
	// minAttemptGap is the minimum time between two attempts of any instances,
	// so that a fleet does not ask an unavailable store all at once. It is
	// stretched randomly by a factor of up to two.
	minAttemptGap = 120 * time.Millisecond
	// maxHoldOff is how long attempts of others hold back an instance that the
	// store has not refused. Without it, 16 refused instances of 36 that retry
	// in turn leave no gap of minAttemptGap, the others cannot ask, and
	// requests go to a server that has left.
	maxHoldOff = 2 * minAttemptGap
	// maxFailedHoldOff is how long attempts of others hold back an instance after its
	// own last failure or, if that was before the newest response, after their first
	// attempt since. It is stretched randomly by up to failedHoldOffJitter. These attempts
	// may all fail while this instance reaches the store again. A call that failed just
	// before, this wait and the next read together stay below three seconds, after
	// which the instance must apply changes in time again.
	maxFailedHoldOff    = time.Second
	failedHoldOffJitter = 400 * time.Millisecond
	// initialBackoff is the wait after a failed own call. It doubles with each
	// further failure up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = time.Second
	// demotionPeriod is how long an instance has the lowest rank after a failed
	// call: the store may be refusing only this instance.
	demotionPeriod = 5 * time.Second
)

// ObserveResponse records a response of the store, of the given age, to any
// instance.
func (p *PollSchedule) ObserveResponse(age, now time.Duration) {
	if at := now - age; !p.hasResponse || at > p.lastResponse {
		p.lastResponse = at
		p.hasResponse = true
		p.firstAttempt = 0
	}
}

// ObserveAttempt records that any instance has asked the store.
func (p *PollSchedule) ObserveAttempt(now time.Duration) {
	p.lastAttempt = now
	p.hasAttempt = true
	if p.firstAttempt == 0 {
		p.firstAttempt = now
	}
}

// OwnCallSucceeded records that an own call brought the newest response. This
// instance keeps asking as if it were first in rank: if all instances first in
// rank are refused, everyone would otherwise wait for the longest threshold
// each time.
func (p *PollSchedule) OwnCallSucceeded() {
	p.failures = 0
	p.ownResponse = true
}

// Yield records that another instance brought the newest response.
func (p *PollSchedule) Yield() { p.ownResponse = false }

// OwnCallFailed records that an own call failed or brought no useful response.
func (p *PollSchedule) OwnCallFailed(now time.Duration) {
	p.failures++
	p.lastFailure = now
	p.ownResponse = false
}

// Age returns the age of the newest response.
func (p *PollSchedule) Age(now time.Duration) time.Duration {
	if !p.hasResponse {
		return UnknownAge
	}
	return now - p.lastResponse
}

// Next returns when this instance should ask, given its rank among those alive
// and a random number from 0 to 1.
func (p *PollSchedule) Next(rank int, random float64, now time.Duration) time.Duration {
	switch {
	case p.ownResponse:
		rank = 0
	case p.recentlyFailed(now):
		rank = maxRankSteps
	}
	due := now
	if p.hasResponse {
		due = p.lastResponse + pollInterval + rankStep*time.Duration(min(rank, maxRankSteps))
		if rank > 0 {
			due += time.Duration(random * float64(rankStep))
		}
	}
	if p.hasAttempt {
		earliest := p.lastAttempt + minAttemptGap + time.Duration(random*float64(minAttemptGap))
		holdOffEnd := p.firstAttempt + maxHoldOff
		if p.recentlyFailed(now) {
			holdOffEnd = max(p.firstAttempt, p.lastFailure) + maxFailedHoldOff + time.Duration(random*float64(failedHoldOffJitter))
		}
		earliest = min(earliest, holdOffEnd)
		due = max(due, earliest)
	}
	if p.failures > 0 {
		wait := min(initialBackoff<<min(p.failures-1, 4), maxBackoff)
		due = max(due, p.lastFailure+wait)
	}
	return due
}

// recentlyFailed reports whether the store recently failed a call of this
// instance.
func (p *PollSchedule) recentlyFailed(now time.Duration) bool {
	return p.failures > 0 || (p.lastFailure > 0 && now-p.lastFailure < demotionPeriod)
}

// Overdue reports whether the store has not answered any instance for longer
// than expected, so that attempts should be announced to the others before they
// end.
func (p *PollSchedule) Overdue(now time.Duration) bool {
	return p.hasResponse && p.Age(now) > 2*pollInterval
}
