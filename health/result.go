// Package health judges backend servers by what callers' requests meet.
//
// An Observer keeps one instance's own evidence. It lowers a suspect server's
// weight at once and locally. A Collector pools the exceptions that the
// instances report for one service and proposes fleet-wide ejections, which
// need a permit in the platform's table. Servers are compared with the other
// servers of their service, so that neither a slow service, nor a workspace
// that sends bad requests, nor an instance with a bad network condemns them.
//
// Nothing here has a goroutine, a clock or input and output: now is the
// caller's monotonic clock with any epoch.
package health

import "time"

// Result is how one attempt at a backend server went.
type Result int

const (
	// OK is a whole answer to the right request.
	OK Result = iota
	// ServerError is a whole answer that reports the server's own failure.
	ServerError
	// Timeout means that no answer came in time after the request was sent.
	Timeout
	// Incomplete is an answer that ended before its length.
	Incomplete
	// Mismatch is an answer without the attempt's id, or with another one.
	Mismatch
	// ConnectFailed means that no connection came about; nothing was sent.
	ConnectFailed
	// Shed is the server's refusal because of load; it didn't run.
	Shed
	// NotRun is any other refusal by which the server says it didn't run.
	NotRun
	// Cancelled means that the attempt was given up for another's sake.
	Cancelled
	// Late means that the attempt is still waiting after Latency, longer
	// than nearly all others of its service. It isn't the attempt's end.
	Late
)

var resultNames = [...]string{
	"ok", "server error", "timeout", "incomplete", "mismatch",
	"connect failed", "shed", "not run", "cancelled", "late",
}

// String returns the result's name for logs and decision records.
func (r Result) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return "invalid"
	}
	return resultNames[r]
}

// ProvedNotRun reports whether the request certainly had no effect.
func (r Result) ProvedNotRun() bool {
	return r == ConnectFailed || r == Shed || r == NotRun
}

// Failed reports whether the result counts as a failure of the server.
func (r Result) Failed() bool {
	switch r {
	case ServerError, Timeout, Incomplete, Mismatch, ConnectFailed:
		return true
	default:
		return false
	}
}

// Observation is one attempt's result as an instance saw it.
type Observation struct {
	Service   string
	Server    string
	Workspace string
	Result    Result
	// Latency is from the first byte sent to the end of the answer; for Late
	// and Timeout, how long the instance has waited.
	Latency time.Duration
	// ReportedLate says that a Late observation of this attempt came before, so
	// that a slow attempt isn't counted twice.
	ReportedLate bool
}
