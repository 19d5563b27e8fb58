// Package health assesses backend servers by the results of callers' requests
// (passive outlier detection).
//
// An Observer keeps the evidence of one instance and lowers the weight of a suspect
// server immediately and locally. A Collector aggregates the bad results that the
// instances report for one service and proposes fleet-wide ejections, which need a
// permit in the platform's table. Servers are compared with the other servers of
// their service, so that a slow service, a workspace that sends bad requests or an
// instance with a bad network doesn't get healthy servers ejected.
//
// The package starts no goroutines, reads no clock and does no I/O. The argument now
// is the caller's monotonic clock with an arbitrary epoch.
package health

import "time"

// Result is the result of one attempt at a backend server.
type Result int

const (
	// OK is a complete response with the id of the attempt.
	OK Result = iota
	// ServerError is a complete response that reports a failure of the server.
	ServerError
	// Timeout means that no response arrived in time after the request was sent.
	Timeout
	// Incomplete is a response that ended before its declared length.
	Incomplete
	// Mismatch is a response without the attempt's id, or with another one.
	Mismatch
	// ConnectFailed means that no connection was established; nothing was sent.
	ConnectFailed
	// Shed is a refusal because of load; the request didn't run.
	Shed
	// NotRun is any other refusal that says that the request didn't run.
	NotRun
	// Cancelled means that the attempt was cancelled in favour of another one.
	Cancelled
	// Late means that the attempt is still in flight after Latency, longer than
	// nearly all others of its service. It isn't the end of the attempt.
	Late
	// Misdirected is a refusal by another server, which has the address now: the
	// request didn't run, and the server that it was meant for is no longer there.
	Misdirected
)

var resultNames = [...]string{
	"ok", "server error", "timeout", "incomplete", "mismatch",
	"connect failed", "shed", "not run", "cancelled", "late", "misdirected",
}

// String returns the name used in logs and decision records.
func (r Result) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return "invalid"
	}
	return resultNames[r]
}

// ProvedNotRun reports whether the request provably didn't run.
func (r Result) ProvedNotRun() bool {
	return r == ConnectFailed || r == Shed || r == NotRun || r == Misdirected
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

// Observation is the result of one attempt as observed by an instance.
type Observation struct {
	Service   string
	Server    string
	Workspace string
	Result    Result
	// Latency is the time from the first byte sent to the end of the response;
	// for Late and Timeout, the time that the instance has waited.
	Latency time.Duration
	// ReportedLate says that a Late observation of this attempt has been made,
	// so that a slow attempt isn't counted twice.
	ReportedLate bool
}
