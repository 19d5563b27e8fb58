// Package freshness says how old this instance's knowledge of the store is,
// for which purpose it is still good enough, and when to ask the store again.
//
// Calls to the store are the dearest thing an instance does, so that few
// instances ask and tell the others. The store stamps its answers with a
// steady clock. An answer handed on keeps its stamp, and each instance works
// out its age from its own estimate of that clock; how long a message was
// under way, or lay in the buffer of a process that stood still, is part of
// the age.
package freshness

import "time"

// Bounds are the ages up to which knowledge may be acted on. They come from
// the platform's settings.
type Bounds struct {
	// MaxKeyAge is how old the proof of the configuration may be when a request
	// with a key is admitted. A key that was taken away must stop working
	// everywhere within the platform's bound, in touch with the store or not.
	MaxKeyAge time.Duration
}

// keysMargin is the part of the platform's bound on withdrawn keys that is
// kept back for the request's way to the instance and to the backend server.
const keysMargin = 0.12

// NewBounds derives the bounds from the platform's bound on withdrawn keys.
func NewBounds(revoke time.Duration) Bounds {
	return Bounds{MaxKeyAge: revoke - time.Duration(float64(revoke)*keysMargin)}
}

// StoreClock estimates the store's steady clock. The smallest difference between
// the arrival of an answer here and its stamp is the best estimate, since
// every delay makes it larger.
type StoreClock struct {
	offset time.Duration
	at     time.Duration
	known  bool
}

// drift is how fast two steady clocks may part.
const drift = 500e-6

// Observe takes in an answer with its stamp that arrived now.
func (c *StoreClock) Observe(stamp, now time.Duration) {
	seen := now - stamp
	if c.known {
		c.offset += time.Duration(float64(now-c.at) * drift)
	}
	if !c.known || seen < c.offset {
		c.offset = seen
		c.known = true
	}
	c.at = now
}

// Reset forgets the estimate: the store's clock has begun anew.
func (c *StoreClock) Reset() { *c = StoreClock{} }

// Now returns what the store's clock shows now, and whether that is known.
func (c *StoreClock) Now(now time.Duration) (time.Duration, bool) { return now - c.offset, c.known }

// Age is how long ago the store made the answer with this stamp.
func (c *StoreClock) Age(stamp, now time.Duration) time.Duration {
	if !c.known {
		return UnknownAge
	}
	return now - c.offset - stamp
}
