package placement

import "time"

// Admission decides whether a request may wait for a server or is turned away
// at once.
//
// Load pattern: more comes than the servers' slots can take. A queue that
// grows until callers give up serves nobody in time. So a request is turned
// away while its caller can still do something else, and the less urgent ones
// first: they must expect to be served within a smaller part of their time.
const (
	// waitMost is the part of the time left that an urgent request may
	// expect to need. The rest covers what the estimate can't know: the
	// spread of the work, and what other instances send at the same moment.
	waitMost = 0.9
	// waitStep is taken off for each rank of priority below the most urgent,
	// down to waitLeast.
	waitStep  = 0.08
	waitLeast = 0.6
	// soonest and latest bound the time after which a caller is asked back.
	soonest = 200 * time.Millisecond
	latest  = 3 * time.Second
)

// Admit reports whether the request may be sent to its best server, and if
// not, when room is likely. The wait is spread by random (0 to 1), so that
// callers that were turned away together don't return together.
func Admit(c Choice, r Request, rank int, random float64) (bool, time.Duration) {
	part := max(waitMost-waitStep*float64(rank), waitLeast)
	allowed := time.Duration(float64(r.Remaining) * part)
	if c.ExpectedLatency <= allowed {
		return true, 0
	}
	over := c.ExpectedLatency - allowed
	wait := time.Duration(float64(over) * (0.5 + random))
	return false, min(max(wait, soonest), latest)
}
