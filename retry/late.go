package retry

import "time"

const (
	// lateFactor is the multiple of the usual duration after which an attempt
	// is late. Regular requests rarely take that long; a hanging server always
	// does.
	lateFactor = 3.0
	// minLateThreshold keeps very short requests from being late by chance.
	minLateThreshold = 150 * time.Millisecond
)

// LateThreshold returns how long an attempt may take before it counts as late,
// given the usual duration of such requests.
func LateThreshold(usual time.Duration) time.Duration {
	return max(time.Duration(lateFactor*float64(usual)), minLateThreshold)
}
