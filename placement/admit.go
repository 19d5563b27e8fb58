package placement

import "time"

// Admission control decides whether a request may wait for a server or is rejected
// immediately.
//
// Load pattern: the request rate exceeds the capacity of the servers' slots. With a
// queue that grows until callers give up, no request is answered in time. A request
// is therefore rejected while its caller can still react, lower priorities first:
// their expected latency must be a smaller share of the remaining time.
const (
	// maxWaitShare is the share of the remaining time that the expected latency of a
	// request of the highest priority may take. The rest covers what the estimate
	// doesn't include: the variance of service times, and requests that other
	// instances send at the same moment.
	maxWaitShare = 0.9
	// waitShareStep is subtracted for each priority rank below the highest, down to
	// minWaitShare.
	waitShareStep = 0.08
	minWaitShare  = 0.6
	// minRetryAfter and maxRetryAfter bound the time after which a caller is told to
	// retry.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Admit reports whether the request may be sent to the chosen server, and if not,
// after what time capacity is likely to be available. That time is randomized by
// random (0 to 1), so that callers rejected together don't retry together.
func Admit(c Choice, r Request, rank int, random float64) (bool, time.Duration) {
	share := max(maxWaitShare-waitShareStep*float64(rank), minWaitShare)
	allowed := time.Duration(float64(r.Remaining) * share)
	if c.ExpectedLatency <= allowed {
		return true, 0
	}
	excess := c.ExpectedLatency - allowed
	wait := time.Duration(float64(excess) * (0.5 + random))
	return false, min(max(wait, minRetryAfter), maxRetryAfter)
}
