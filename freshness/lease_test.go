package freshness_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/freshness"
)

const maxConfigAge = 1600 * ms

func TestFreshConfigurationIsUsed(t *testing.T) {
	var l freshness.Lease
	must.Eq(t, freshness.Serve, l.Decide(maxConfigAge, maxConfigAge, time.Second))
	must.Eq(t, freshness.Serve, l.Decide(time.Hour, freshness.UnknownAge, time.Second))
}

// An instance missed all proofs of two seconds. Guards against requests that are handled by a
// configuration that may have been replaced.
func TestExpiredConfigurationIsVerifiedFirst(t *testing.T) {
	var l freshness.Lease
	now := 10 * time.Second
	must.Eq(t, freshness.Verify, l.Decide(2*time.Second, maxConfigAge, now))
	must.Eq(t, freshness.Verify, l.Decide(2200*ms, maxConfigAge, now+freshness.VerifyTimeout-ms))
	must.Eq(t, freshness.Reject, l.Decide(2400*ms, maxConfigAge, now+freshness.VerifyTimeout))
	l.ObserveProof()
	must.Eq(t, freshness.Serve, l.Decide(0, maxConfigAge, now+500*ms))
	must.Eq(t, freshness.Verify, l.Decide(2*time.Second, maxConfigAge, now+3*time.Second))
}

// Guards against refusing requests in an outage of the store, in which no instance can verify
// its configuration.
func TestLastConfigurationIsUsedDuringOutage(t *testing.T) {
	for name, fail := range map[string]func(*freshness.Lease){
		"own read failed":      (*freshness.Lease).ObserveOwnFailure,
		"others' reads failed": (*freshness.Lease).ObserveOtherFailure,
	} {
		t.Run(name, func(t *testing.T) {
			var l freshness.Lease
			fail(&l)
			must.Eq(t, freshness.Serve, l.Decide(3*time.Second, maxConfigAge, 10*time.Second))
			l.ObserveProof()
			must.Eq(t, freshness.Verify, l.Decide(2*time.Second, maxConfigAge, 20*time.Second))
		})
	}
}

// The process stalled in an outage of the store that may have ended meanwhile, and another
// instance's announcement waited in a buffer. Guards against taking either for the present.
func TestFailuresBeforeStallDontCount(t *testing.T) {
	var l freshness.Lease
	now := 10 * time.Second
	l.ObserveOwnFailure()
	l.ObserveStall()
	l.ObserveOtherFailure()
	must.Eq(t, freshness.Verify, l.Decide(3*time.Second, maxConfigAge, now))
	l.ObserveOwnFailure()
	must.Eq(t, freshness.Verify, l.Decide(3*time.Second, maxConfigAge, now+ms))
	l.ObserveOwnFailure()
	must.Eq(t, freshness.Serve, l.Decide(3*time.Second, maxConfigAge, now+2*ms))
}
