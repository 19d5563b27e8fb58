package retry

import "time"

const (
	// lateAfter is how many usual times an attempt may take before it counts
	// as late; a request's work rarely takes longer, a hanging server always.
	lateAfter = 3.0
	// lateLeast keeps very short requests from being late by mere chance.
	lateLeast = 150 * time.Millisecond
)

// LateThreshold is how long an attempt may take before it counts as late, given the
// usual time of such requests.
func LateThreshold(work time.Duration) time.Duration {
	return max(time.Duration(lateAfter*float64(work)), lateLeast)
}
