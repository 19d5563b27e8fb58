package freshness

import "time"

// Lease decides whether requests may be handled by this instance's copies of the
// configuration and of the list of backend servers.
//
// A change must be in force within a bound of its confirmation. Usually several
// proofs that the copies are current arrive within that time. An instance that
// stalled or missed them can't know of a change, so it reads the store before it
// handles another request. While the store is unavailable to this instance it
// can't do that, and requests are handled by the last copies. Only its own failed
// reads show that beyond the bound, and only for a limited time.
type Lease struct {
	// stalled is set from a stall of the process until the next proof.
	stalled bool
	// ownFailures counts this instance's failed reads since the newest proof or stall,
	// lastOwnFailure is when the last one failed.
	ownFailures    int
	lastOwnFailure time.Duration
	// otherFailure is when another instance last announced a failed read since then,
	// valid if othersFailed is set.
	otherFailure time.Duration
	othersFailed bool
	// verifyingSince is when the first request had to wait for a proof; valid if
	// verifying is set.
	verifyingSince time.Duration
	verifying      bool
}

// LeaseDecision is what to do with a request.
type LeaseDecision int

const (
	// Serve means that the copies may be used.
	Serve LeaseDecision = iota
	// Verify means that the copies must be verified first.
	Verify
	// Reject means that verifying takes too long.
	Reject
)

const (
	// RefreshExpiry is the result of Bounds.Expiry from which the copies are
	// verified before a request needs it. Regular polls usually prove them before
	// that.
	RefreshExpiry = 0.875
	// VerifyTimeout is how long requests wait for a proof. A read usually takes a
	// few milliseconds.
	VerifyTimeout = 400 * time.Millisecond
	// stallFailures is the number of failed reads after a stall that show that
	// the store is unavailable: the stall itself may have broken the first.
	stallFailures = 2
	// ownFailureValidity is how long a failed read shows that the store is unavailable to
	// this instance. PollSchedule has it read again before that.
	ownFailureValidity = 2500 * time.Millisecond
	// otherFailureValidity is how long a failed read of another instance shows the same.
	otherFailureValidity = time.Second
	// maxExpiryByOthers is the result of Bounds.Expiry up to which failures of others count.
	// Copies of that age are within the platform's bound, by an estimate without a margin;
	// beyond it this instance must have tried by itself.
	maxExpiryByOthers = 1 / maxAgeShare
)

// ObserveProof records that the copies are proved and fresh enough to serve
// requests.
func (l *Lease) ObserveProof() { *l = Lease{} }

// ObserveStall records that the process has stalled. What it knew of failed
// reads is out of date.
func (l *Lease) ObserveStall() {
	l.stalled = true
	l.ownFailures, l.othersFailed = 0, false
}

// ObserveOwnFailure records that a read of this instance failed or proved
// nothing.
func (l *Lease) ObserveOwnFailure(now time.Duration) {
	l.ownFailures++
	l.lastOwnFailure = now
}

// ObserveOtherFailure records that another instance announced that it gets no
// answer of the store.
func (l *Lease) ObserveOtherFailure(now time.Duration) { l.othersFailed, l.otherFailure = true, now }

// Exemption is why copies whose proof is too old may be used.
type Exemption string

// Exemptions.
const (
	NotExempt        Exemption = ""
	OwnReadsFail     Exemption = "own-reads-fail"
	OthersReadsFail  Exemption = "others-reads-fail"
	NothingToProveBy Exemption = "no-proof-possible"
)

// Exemption returns why copies with the given result of Bounds.Expiry may be used now although
// they are expired, or about to be. After a stall only reads of this instance count: the
// announcements of others may have waited in a buffer.
func (l *Lease) Exemption(expiry float64, now time.Duration) Exemption {
	failures := 1
	if l.stalled {
		failures = stallFailures
	}
	switch {
	case l.ownFailures >= failures && now-l.lastOwnFailure < ownFailureValidity:
		return OwnReadsFail
	case !l.stalled && l.othersFailed && now-l.otherFailure < otherFailureValidity && expiry <= maxExpiryByOthers:
		return OthersReadsFail
	default:
		return NotExempt
	}
}

// Decide returns what to do with a request, given the result of Bounds.Expiry and whether a
// copy is known to be replaced by one that can be fetched. Then no failure of the store exempts:
// it has answered another instance.
func (l *Lease) Decide(expiry float64, replaced bool, now time.Duration) LeaseDecision {
	if expiry <= 1 || (!replaced && l.Exemption(expiry, now) != NotExempt) {
		l.verifying = false
		return Serve
	}
	if !l.verifying {
		l.verifying, l.verifyingSince = true, now
	}
	if now-l.verifyingSince < VerifyTimeout {
		return Verify
	}
	return Reject
}
