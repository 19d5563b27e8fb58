package freshness

import "time"

// UnknownAge is the age of what was never heard: older than any bound.
const UnknownAge = time.Duration(1<<62 - 1)

// PollSchedule says when this instance asks the store itself.
//
// There are no elected readers: whoever finds that its knowledge is older than
// its own threshold asks, and tells everybody. Thresholds rise with the rank
// of an instance among those alive, so that normally the first in rank asks
// for all and nobody else ever reaches its threshold. When it dies, stands
// still or is refused by the store, the next in rank takes over within a
// tenth of a second, without anything having to be agreed on. An instance that
// hears nobody asks for itself.
type PollSchedule struct {
	proof   time.Duration
	proved  bool
	attempt time.Duration
	tried   bool
	// heldFrom is the first attempt of anybody since the newest proof; 0 if
	// there was none.
	heldFrom time.Duration
	// asking says that the newest proof is this instance's own.
	asking bool
	// failures in a row of this instance's own calls.
	failures int
	failed   time.Duration
}

const (
	// every is the age of knowledge at which the first in rank asks again. It
	// leaves three quarters of the tightest bound, two seconds for a changed
	// configuration or a leaving server, to the ranks behind it.
	every = 450 * time.Millisecond
	// step is what each rank waits longer, up to mostSteps: above that the
	// bound would be in danger where nobody else can ask.
	step      = 100 * time.Millisecond
	mostSteps = 5
	// apart is the least time between two attempts of anybody, so that a
	// fleet whose store is away doesn't ask it all at once. It is stretched
	// by up to twice at random.
	apart = 120 * time.Millisecond
	// mostHeld is how long attempts of others hold an instance back that the
	// store hasn't refused. Without it, sixteen refused instances of 36 that
	// try again in turn leave no pause of that length for the others to ask
	// in, and requests go to a server that has left.
	mostHeld = 2 * apart
	// backOff after an own failed call, doubled up to maxBackOff.
	backOff    = 250 * time.Millisecond
	maxBackOff = time.Second
	// demotion is how long an instance whose call failed comes last: the
	// store may be refusing just this one.
	demotion = 5 * time.Second
)

// ObserveResponse takes in that the store answered, to whomever, what is now this old.
func (p *PollSchedule) ObserveResponse(age, now time.Duration) {
	if at := now - age; !p.proved || at > p.proof {
		p.proof = at
		p.proved = true
		p.heldFrom = 0
	}
}

// ObserveAttempt takes in that somebody asks or has asked the store.
func (p *PollSchedule) ObserveAttempt(now time.Duration) {
	p.attempt = now
	p.tried = true
	if p.heldFrom == 0 {
		p.heldFrom = now
	}
}

// OwnCallSucceeded takes in that an own call brought the newest proof. This instance
// goes on asking as if it were first in rank: where the first in rank are all
// refused, everybody would else wait for the longest threshold each time.
func (p *PollSchedule) OwnCallSucceeded() {
	p.failures = 0
	p.asking = true
}

// Yield takes in that another instance brought the newest proof.
func (p *PollSchedule) Yield() { p.asking = false }

// OwnCallFailed takes in that an own call had no useful answer.
func (p *PollSchedule) OwnCallFailed(now time.Duration) {
	p.failures++
	p.failed = now
	p.asking = false
}

// Age of the newest proof.
func (p *PollSchedule) Age(now time.Duration) time.Duration {
	if !p.proved {
		return UnknownAge
	}
	return now - p.proof
}

// Next returns when this instance should ask, given its rank among those
// alive and a random number from 0 to 1.
func (p *PollSchedule) Next(rank int, random float64, now time.Duration) time.Duration {
	switch {
	case p.asking:
		rank = 0
	case p.refused(now):
		rank = mostSteps
	}
	due := now
	if p.proved {
		due = p.proof + every + step*time.Duration(min(rank, mostSteps))
		if rank > 0 {
			due += time.Duration(random * float64(step))
		}
	}
	if p.tried {
		held := p.attempt + apart + time.Duration(random*float64(apart))
		if !p.refused(now) {
			held = min(held, p.heldFrom+mostHeld)
		}
		due = max(due, held)
	}
	if p.failures > 0 {
		wait := min(backOff<<min(p.failures-1, 4), maxBackOff)
		due = max(due, p.failed+wait)
	}
	return due
}

// refused reports whether the store failed this instance lately.
func (p *PollSchedule) refused(now time.Duration) bool {
	return p.failures > 0 || (p.failed > 0 && now-p.failed < demotion)
}

// Overdue reports that the store hasn't answered anybody for longer than it
// should, so that attempts are worth telling before they end.
func (p *PollSchedule) Overdue(now time.Duration) bool {
	return p.proved && p.Age(now) > 2*every
}
