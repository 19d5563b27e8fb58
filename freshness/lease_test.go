package freshness_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/freshness"
)

func TestFreshCopiesAreUsed(t *testing.T) {
	var l freshness.Lease
	must.Eq(t, freshness.Serve, l.Decide(1, false, time.Second))
}

// An instance missed all proofs of two seconds. Guards against requests that are handled by a
// configuration that may have been replaced.
func TestExpiredCopiesAreVerifiedFirst(t *testing.T) {
	var l freshness.Lease
	now := 10 * time.Second
	must.Eq(t, freshness.Verify, l.Decide(1.3, false, now))
	must.Eq(t, freshness.Verify, l.Decide(1.3, false, now+freshness.VerifyTimeout-ms))
	must.Eq(t, freshness.Reject, l.Decide(1.3, false, now+freshness.VerifyTimeout))
	l.ObserveProof()
	must.Eq(t, freshness.Serve, l.Decide(0, false, now+500*ms))
	must.Eq(t, freshness.Verify, l.Decide(1.3, false, now+3*time.Second))
}

// Guards against refusing requests in an outage of the store, in which no instance can verify
// its copies.
func TestLastCopiesAreUsedDuringOutage(t *testing.T) {
	var l freshness.Lease
	now := 10 * time.Second
	for range 5 {
		l.ObserveOwnFailure(now)
		must.Eq(t, freshness.Serve, l.Decide(1.3, false, now+2*time.Second))
		now += 2 * time.Second
	}
	l.ObserveProof()
	must.Eq(t, freshness.Verify, l.Decide(1.3, false, now))
}

// Other instances fail to read the store, and this one's own read takes until its copies have just
// expired. Guards against refusing requests until then.
func TestFailuresOfOthersCountUpToTheBound(t *testing.T) {
	var l freshness.Lease
	now := 10 * time.Second
	l.ObserveOtherFailure(now)
	must.Eq(t, freshness.Serve, l.Decide(1.24, false, now+900*ms))
	l.ObserveProof()
	must.Eq(t, freshness.Verify, l.Decide(1.24, false, now+900*ms))
}

// Guards against handling requests by copies past the bound, without a read of this instance, as
// others fail to read the store.
func TestFailuresOfOthersAreNoOutage(t *testing.T) {
	var l freshness.Lease
	now := 10 * time.Second
	l.ObserveOtherFailure(now)
	must.Eq(t, freshness.Verify, l.Decide(1.26, false, now))
}

// A request waited for a proof, and then the reads failed. Guards against refusing the next request
// that needs a proof without a wait.
func TestRequestsWaitAgainAfterAnOutage(t *testing.T) {
	var l freshness.Lease
	now := 10 * time.Second
	must.Eq(t, freshness.Verify, l.Decide(1.3, false, now))
	l.ObserveOwnFailure(now + 100*ms)
	must.Eq(t, freshness.Serve, l.Decide(1.3, false, now+200*ms))
	must.Eq(t, freshness.Verify, l.Decide(1.3, false, now+3*time.Second))
}

// Guards against taking a failure that is long past for an outage that goes on.
func TestFailuresLapse(t *testing.T) {
	for name, fail := range map[string]func(*freshness.Lease, time.Duration){
		"own read failed":      (*freshness.Lease).ObserveOwnFailure,
		"others' reads failed": (*freshness.Lease).ObserveOtherFailure,
	} {
		t.Run(name, func(t *testing.T) {
			var l freshness.Lease
			fail(&l, 10*time.Second)
			must.Eq(t, freshness.Serve, l.Decide(1.2, false, 10*time.Second))
			must.Eq(t, freshness.Verify, l.Decide(1.2, false, 13*time.Second))
		})
	}
}

// The store answers another instance, which has announced a newer configuration, and not this one.
// Guards against handling requests by the replaced one past its bound.
func TestReplacedCopyIsNotExempt(t *testing.T) {
	var l freshness.Lease
	now := 10 * time.Second
	l.ObserveOwnFailure(now)
	must.Eq(t, freshness.Serve, l.Decide(1, true, now))
	must.Eq(t, freshness.Verify, l.Decide(1.01, true, now))
	must.Eq(t, freshness.Reject, l.Decide(1.3, true, now+freshness.VerifyTimeout))
	must.Eq(t, freshness.Serve, l.Decide(1.3, false, now+freshness.VerifyTimeout))
}

// The process stalled in an outage of the store that may have ended meanwhile, and another
// instance's announcement waited in a buffer. Guards against taking either for the present.
func TestFailuresBeforeStallDontCount(t *testing.T) {
	var l freshness.Lease
	now := 10 * time.Second
	l.ObserveOwnFailure(now)
	l.ObserveStall()
	l.ObserveOtherFailure(now)
	must.Eq(t, freshness.Verify, l.Decide(1.3, false, now))
	l.ObserveOwnFailure(now)
	must.Eq(t, freshness.Verify, l.Decide(1.3, false, now+ms))
	l.ObserveOwnFailure(now)
	must.Eq(t, freshness.Serve, l.Decide(1.3, false, now+2*ms))
}
