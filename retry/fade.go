package retry

import (
	"math"
	"time"
)

// fade returns what is left of v after d with a half-life.
func fade(v float64, d, halfLife time.Duration) float64 {
	return v * math.Exp2(-d.Seconds()/halfLife.Seconds())
}
