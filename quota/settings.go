package quota

import (
	"math"
	"time"
)

// Settings are the same on every instance of the fleet.
type Settings struct {
	// TransferTime is how long tokens that were asked for may be used,
	// counted on the asker's clock from the start of its ask.
	TransferTime time.Duration
	// Drift is the greatest error of an instance's clock rate: a clock
	// counts between 1/(1+Drift) and 1+Drift seconds in a second.
	Drift float64
	// IdleTime is how long a bucket must be unused before it is forgotten.
	IdleTime time.Duration
}

// DefaultSettings are meant for round trips of a few milliseconds.
func DefaultSettings() Settings {
	return Settings{
		TransferTime: 100 * time.Millisecond,
		Drift:        0.001,
		IdleTime:     10 * time.Minute,
	}
}

// settleTime is the time on one instance's clock after which tokens that it
// gave can't be used any more by the asker's clock.
//
// The asker stops when its clock has counted T since the start of its ask,
// which is before the giver gave. Its clock may be slow: that takes up to
// T·(1+ε) in truth. The giver's clock may be fast and count (1+ε) times that.
// So the wait is T·(1+ε)², rounded up, and nothing shorter will do.
func (s Settings) settleTime() time.Duration {
	slow := float64(s.TransferTime) * (1 + s.Drift) * (1 + s.Drift)
	return time.Duration(math.Ceil(slow))
}
