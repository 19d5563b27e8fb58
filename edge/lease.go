package edge

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/freshness"
)

// proofAfterRewriteTime is how long regular polls may take to prove the
// configuration after configRewriteTime. Until then, every instance would read
// the store by itself.
const proofAfterRewriteTime = 700 * time.Millisecond

// verifyRetryDelay is the pause between two reads that verify the tables.
const verifyRetryDelay = 50 * time.Millisecond

// awaitProof returns nil once requests may be handled by this instance's copies
// of the configuration and of the servers, or a refusal if that takes too long.
// The lock must be held; it is released while waiting.
func (e *Edge) awaitProof(ctx context.Context) *refusal {
	s := &e.state
	for ctx.Err() == nil {
		now := e.now()
		e.observeStall(now)
		if e.configUnprovable(now) {
			return nil
		}
		switch s.lease.Decide(e.expiry(now), e.isReplaced(now), now) {
		case freshness.Serve:
			return nil
		case freshness.Reject:
			return &refusal{http.StatusServiceUnavailable, RuleUnverified, retryAfterElsewhere}
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
	return &refusal{http.StatusServiceUnavailable, RuleUnverified, retryAfterElsewhere}
}

// expiry returns the age of the copies as a fraction of its maximum.
func (e *Edge) expiry(now time.Duration) float64 {
	s := &e.state
	serversAge := freshness.UnknownAge
	if s.serversProof > 0 {
		serversAge = now - s.serversProof
	}
	return s.bounds.Expiry(e.configAge(now), serversAge)
}

// copyState describes the copies by which a request is handled.
type copyState struct {
	// exemption is why their proof may be older than allowed.
	exemption freshness.Exemption
	// replacedFor is the time for which the configuration is known to be replaced, 0 if
	// it isn't known.
	replacedFor time.Duration
	// ownReadAge is the time since this instance's last complete read of the store.
	ownReadAge time.Duration
}

// copyState returns the state of the copies for a request that is handled now.
func (e *Edge) copyState(now time.Duration) copyState {
	st := copyState{replacedFor: e.replacedFor(evidence.Config, now), ownReadAge: e.ownReadAge(now)}
	if e.expiry(now) > 1 {
		st.exemption = e.state.lease.Exemption(e.expiry(now), now)
		if e.configUnprovable(now) {
			st.exemption = freshness.NothingToProveBy
		}
	}
	return st
}

// ownReadAge returns the time since this instance's last complete read of the store.
func (e *Edge) ownReadAge(now time.Duration) time.Duration {
	if e.state.lastOwnRead == 0 {
		return freshness.UnknownAge
	}
	return now - e.state.lastOwnRead
}

// logAttrs returns the log attributes of copies that aren't proved to be current.
func (c copyState) logAttrs() (attrs []slog.Attr) {
	if c.replacedFor > 0 {
		attrs = append(attrs, slog.Int64("replaced_ms", c.replacedFor.Milliseconds()))
	}
	if c.exemption != freshness.NotExempt {
		attrs = append(attrs, slog.String("expired_because", string(c.exemption)))
	}
	if len(attrs) > 0 {
		attrs = append(attrs, slog.Int64("own_read_ms", millisOrUnknown(c.ownReadAge)))
	}
	return attrs
}

// renewLease records a proof that may have made the copies fresh enough.
func (e *Edge) renewLease(now time.Duration) {
	if e.expiry(now) <= 1 {
		e.state.lease.ObserveProof()
		e.notifyLeaseWaiters()
	}
}

// notifyLeaseWaiters wakes the requests that wait in awaitProof.
func (e *Edge) notifyLeaseWaiters() {
	if c := e.state.leaseChanged; c != nil {
		close(c)
		e.state.leaseChanged = nil
	}
}

// verifyTables reads the store whenever a request waits for a proof or the last
// one is about to be too old.
func (e *Edge) verifyTables(ctx context.Context) error {
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
		for e.proofDue() {
			e.verifyOnce(ctx)
			if !sleepContext(ctx, verifyRetryDelay) {
				return ctx.Err()
			}
		}
	}
}

// verifyOnce reads the store, or gets the tables from another instance if that
// fails.
func (e *Edge) verifyOnce(ctx context.Context) {
	allRead := e.pollOnce(ctx)
	if !allRead {
		e.fetchFromPeer(ctx)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if allRead && e.proofDueLocked(e.now()) {
		// The response was too old when it arrived.
		e.state.lease.ObserveOwnFailure(e.now())
	}
	e.notifyLeaseWaiters()
}

// requestProof has the tables verified if their proof is about to be too old.
func (e *Edge) requestProof(now time.Duration) {
	if e.state.table != nil && e.proofDueLocked(now) {
		wake(e.verifyNow)
	}
}

func (e *Edge) proofDue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.proofDueLocked(e.now())
}

// proofDueLocked reports whether this instance should read the store to prove its
// copies. The lock must be held.
func (e *Edge) proofDueLocked(now time.Duration) bool {
	expiry := e.expiry(now)
	return expiry > freshness.RefreshExpiry && e.state.lease.Exemption(expiry, now) == freshness.NotExempt && !e.configUnprovable(now)
}

// configUnprovable reports whether an own read is of no use to prove the
// configuration: the newest one can't be parsed, or may be missing from a store
// that was restored, or a regular poll is about to prove it after that.
func (e *Edge) configUnprovable(now time.Duration) bool {
	storeTime, known := e.state.clock.Now(now)
	return e.state.configUnreadable || known && e.inConfigRewrite(storeTime-proofAfterRewriteTime)
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
