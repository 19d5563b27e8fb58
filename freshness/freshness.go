// Package freshness tracks the age of this instance's knowledge of the store:
// what it is still fresh enough for, and when to ask the store again.
//
// Calls to the store are the most expensive operation of an instance, so only a
// few instances ask and forward the responses to the others. The store stamps
// its responses with a monotonic clock. A forwarded response keeps its
// timestamp, and each instance computes its age from its own estimate of that
// clock, so that time in transit or in the buffer of a stalled process counts
// towards the age.
package freshness

import "time"

// Bounds are the maximum ages at which knowledge may be used. They are derived
// from the platform's settings.
type Bounds struct {
	// MaxKeyAge is the maximum age of the configuration at which a request with
	// a key is admitted. A withdrawn key must stop working everywhere within
	// the platform's bound, whether the store is reachable or not.
	MaxKeyAge time.Duration
	// MaxConfigAge and MaxServersAge are the maximum ages of the configuration and
	// of the list of backend servers at which requests are handled without
	// verifying them. A change must be in force, and a server that leaves must get
	// no more requests, within the platform's bounds. UnknownAge means no maximum.
	MaxConfigAge, MaxServersAge time.Duration
}

// keyAgeMargin is the fraction of the platform's bound on withdrawn keys that
// is reserved for the transit of the request to the instance and to the backend
// server.
const keyAgeMargin = 0.12

// maxAgeShare is the fraction of the platform's bound on a change at which the
// table must be verified. The rest covers the error of estimated ages.
const maxAgeShare = 0.8

// NewBounds derives the bounds from the platform's bounds on withdrawn keys, on
// changes of the configuration and on leaving servers. The last two may be 0 for
// no bound.
func NewBounds(revoke, apply, drain time.Duration) Bounds {
	return Bounds{
		MaxKeyAge:    revoke - time.Duration(float64(revoke)*keyAgeMargin),
		MaxConfigAge: maxAge(apply), MaxServersAge: maxAge(drain),
	}
}

func maxAge(bound time.Duration) time.Duration {
	if bound <= 0 {
		return UnknownAge
	}
	return time.Duration(float64(bound) * maxAgeShare)
}

// Expiry returns the larger of the two ages as a fraction of its maximum. From 1
// on, requests need a proof.
func (b Bounds) Expiry(configAge, serversAge time.Duration) float64 {
	return max(float64(configAge)/float64(b.MaxConfigAge), float64(serversAge)/float64(b.MaxServersAge))
}

// StoreClock estimates the store's monotonic clock. The smallest difference
// between the local arrival time of a response and its timestamp is the best
// estimate, since every delay makes it larger.
type StoreClock struct {
	offset     time.Duration
	observedAt time.Duration
	known      bool
}

// maxClockDrift is the maximum rate at which two monotonic clocks diverge.
const maxClockDrift = 500e-6

// Observe updates the estimate from the timestamp of a response that arrived
// now.
func (c *StoreClock) Observe(timestamp, now time.Duration) {
	offset := now - timestamp
	if c.known {
		c.offset += time.Duration(float64(now-c.observedAt) * maxClockDrift)
	}
	if !c.known || offset < c.offset {
		c.offset = offset
		c.known = true
	}
	c.observedAt = now
}

// Reset discards the estimate after the store's clock has started anew.
func (c *StoreClock) Reset() { *c = StoreClock{} }

// Now returns the store's clock at the local time now, and whether it is known.
func (c *StoreClock) Now(now time.Duration) (time.Duration, bool) { return now - c.offset, c.known }

// Age returns how long ago the store made the response with this timestamp.
func (c *StoreClock) Age(timestamp, now time.Duration) time.Duration {
	if !c.known {
		return UnknownAge
	}
	return now - c.offset - timestamp
}
