package quota

import (
	"math"
	"time"
)

// Settings must be the same on every instance of the fleet.
type Settings struct {
	// TransferTime is how long the tokens of an ask may be used, measured on
	// the asker's clock from the start of the ask.
	TransferTime time.Duration
	// Drift is the maximum error of an instance's clock rate: a clock advances
	// by between 1/(1+Drift) and 1+Drift seconds per second.
	Drift float64
	// IdleTime is how long a bucket must be unused before it may be evicted.
	IdleTime time.Duration
}

// DefaultSettings returns settings for round trips of a few milliseconds.
func DefaultSettings() Settings {
	return Settings{
		TransferTime: 100 * time.Millisecond,
		Drift:        0.001,
		IdleTime:     10 * time.Minute,
	}
}

// settleTime is the time on the giver's clock after which the asker can't use
// the given tokens any more.
//
// The asker stops when its clock has advanced by T since the start of its ask,
// which precedes the transfer. If its clock is slow, that takes up to T·(1+ε)
// of real time. The giver's clock may be fast and advance by (1+ε) times that.
// So the minimum safe wait is T·(1+ε)², rounded up.
func (s Settings) settleTime() time.Duration {
	slow := float64(s.TransferTime) * (1 + s.Drift) * (1 + s.Drift)
	return time.Duration(math.Ceil(slow))
}
