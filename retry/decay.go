package retry

import (
	"math"
	"time"
)

// decay returns v after exponential decay over d with the given half-life.
func decay(v float64, d, halfLife time.Duration) float64 {
	return v * math.Exp2(-d.Seconds()/halfLife.Seconds())
}
