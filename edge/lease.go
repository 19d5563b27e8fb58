package edge

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/freshness"
)

// verifyRetryDelay is the pause between two reads that verify the configuration.
const verifyRetryDelay = 50 * time.Millisecond

// awaitConfigProof returns nil once requests may be handled by the configuration
// in force, or a refusal if that takes too long. The lock must be held; it is
// released while waiting.
func (e *Edge) awaitConfigProof(ctx context.Context) *refusal {
	s := &e.state
	for ctx.Err() == nil {
		now := e.now()
		e.observeStall(now)
		if e.configUnprovable(now) {
			return nil
		}
		switch s.lease.Decide(e.configAge(now), s.bounds.MaxConfigAge, now) {
		case freshness.Serve:
			return nil
		case freshness.Reject:
			return &refusal{http.StatusServiceUnavailable, RuleConfigUnverified, retryAfterElsewhere}
		case freshness.Verify:
		}
		if s.leaseChanged == nil {
			s.leaseChanged = make(chan struct{})
		}
		changed := s.leaseChanged
		wake(e.verifyNow)
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(freshness.VerifyTimeout):
		case <-ctx.Done():
		}
		e.mu.Lock()
	}
	return &refusal{http.StatusServiceUnavailable, RuleConfigUnverified, retryAfterElsewhere}
}

// notifyLeaseWaiters wakes the requests that wait in awaitConfigProof.
func (e *Edge) notifyLeaseWaiters() {
	if c := e.state.leaseChanged; c != nil {
		close(c)
		e.state.leaseChanged = nil
	}
}

// observeConfigProof renews the lease after a proof that is fresh enough.
func (e *Edge) observeConfigProof(now time.Duration) {
	if e.configAge(now) <= e.state.bounds.MaxConfigAge {
		e.state.lease.ObserveProof()
		e.notifyLeaseWaiters()
	}
}

// verifyConfig reads the configuration whenever a request waits for a proof or
// the last one is about to be too old.
func (e *Edge) verifyConfig(ctx context.Context) error {
	select {
	case <-e.storeReadable:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		select {
		case <-e.verifyNow:
		case <-ctx.Done():
			return ctx.Err()
		}
		for e.configProofDue() {
			if !e.readConfig(ctx) {
				e.fetchFromPeer(ctx)
			}
			e.mu.Lock()
			if e.configProofDueLocked(e.now()) {
				e.state.lease.ObserveOwnFailure()
			}
			e.notifyLeaseWaiters()
			e.mu.Unlock()
			if !sleepContext(ctx, verifyRetryDelay) {
				return ctx.Err()
			}
		}
	}
}

// requestConfigProof has the configuration verified if its proof is about to be
// too old. Usually the polls of any instance prove it before that.
func (e *Edge) requestConfigProof(now time.Duration) {
	if e.state.table != nil && e.configProofDueLocked(now) {
		wake(e.verifyNow)
	}
}

func (e *Edge) configProofDue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.configProofDueLocked(e.now())
}

// configProofDueLocked reports whether this instance should read the
// configuration to prove it. The lock must be held.
func (e *Edge) configProofDueLocked(now time.Duration) bool {
	s := &e.state
	return e.configAge(now) > s.bounds.RefreshAge && !s.lease.StoreUnavailable() && !e.configUnprovable(now)
}

// configUnprovable reports whether no read can prove the configuration in force:
// the newest one can't be parsed, or may be missing from a store that was just
// restored.
func (e *Edge) configUnprovable(now time.Duration) bool {
	storeTime, known := e.state.clock.Now(now)
	return e.state.configUnreadable || known && e.inConfigRewrite(storeTime)
}

// observeStall records and logs a stall of the process that has just ended.
func (e *Edge) observeStall(now time.Duration) {
	s := &e.state
	d := s.stalls.Advance(now)
	if d == 0 {
		return
	}
	s.lease.ObserveStall()
	e.metrics.stalls.Inc()
	event.ProcessStalled.Log(e.log, slog.Int64("for_ms", d.Milliseconds()), ageAttr(e.configAge(now)))
}
