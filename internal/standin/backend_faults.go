package standin

import (
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config"
)

// BackendFaults are the faults that a backend server stand-in can show. The
// zero value is none. Ratios are shares of requests from 0 to 1; a request
// meets at most one of them, so they add up to at most 1.
type BackendFaults struct {
	// LatencyFactor multiplies the time that work takes; 0 means 1.
	LatencyFactor float64 `json:"factor"`
	// AddedLatency is added to the time that work takes, like "250ms".
	AddedLatency config.Duration `json:"delay"`

	// TruncatedRatio of answers end before their declared length.
	TruncatedRatio float64 `json:"halfRatio"`
	// StalledRatio of answers stop halfway, and the connection stays open until
	// the other side closes it.
	StalledRatio float64 `json:"stallRatio"`
	// ErrorRatio of answers have status 500, after the work was done.
	ErrorRatio float64 `json:"errorRatio"`
	// ErrorWorkspace restricts the errors to one workspace.
	ErrorWorkspace string `json:"errorWorkspace"`
	// HangRatio of requests get no answer and keep their slot until the
	// connection is closed, whatever their time.
	HangRatio float64 `json:"hangRatio"`
	// MismatchedRatio of requests get another request's answer.
	MismatchedRatio float64 `json:"crossedRatio"`
	// MissingAttemptRatio of answers lack the attempt's id.
	MissingAttemptRatio float64 `json:"noEchoRatio"`
	// LateRatio of answers come LateBy after the work was done, whatever the
	// request's time, and also if it was cancelled.
	LateRatio float64         `json:"lateRatio"`
	LateDelay config.Duration `json:"lateBy"`
	// DuplicateRatio of answers are sent twice on their connection.
	DuplicateRatio float64 `json:"duplicateRatio"`

	// FlapPeriod, if set, lets all of the above come and go: off for one
	// period, on for the next.
	FlapPeriod config.Duration `json:"flapPeriod"`

	// HealthOverride is "ok" or "bad" to report that whatever is the case; empty
	// reports what the server believes. It never knows of its faults.
	HealthOverride string `json:"health"`
	// ReportLag is how old the health and load reports are.
	ReportLag config.Duration `json:"reportLag"`
	// ReportZeroLoad reports an idle server.
	ReportZeroLoad bool `json:"hideLoad"`

	// RefuseConnections refuses new connections; those that stand go on.
	RefuseConnections bool `json:"refuse"`
	// StopReading reads nothing from any connection.
	StopReading bool `json:"stopReading"`
}

// Health reports.
const (
	healthOK  = "ok"
	healthBad = "bad"
)

func (f BackendFaults) validate() error {
	sum := 0.0
	for _, ratio := range f.ratios() {
		if !(ratio >= 0 && ratio <= 1) {
			return errors.New("a ratio must be from 0 to 1")
		}
		sum += ratio
	}
	if sum > 1 {
		return errors.New("the ratios add up to more than 1")
	}
	if !(f.LatencyFactor >= 0) || f.AddedLatency < 0 || f.LateDelay < 0 || f.FlapPeriod < 0 || f.ReportLag < 0 {
		return errors.New("factor and times can't be negative")
	}
	switch f.HealthOverride {
	case "", healthOK, healthBad:
		return nil
	}
	return errors.Newf("health: %q is neither ok nor bad", f.HealthOverride)
}

// responseFault is the way in which one answer goes wrong.
type responseFault int

const (
	noFault responseFault = iota
	truncatedResponse
	errorResponse
	hangingRequest
	mismatchedResponse
	missingAttempt
	lateResponse
	duplicatedResponse
	stalledResponse
)

// ratios returns the ratio of each quirk, in the order of the constants.
func (f BackendFaults) ratios() []float64 {
	return []float64{
		f.TruncatedRatio, f.ErrorRatio, f.HangRatio, f.MismatchedRatio,
		f.MissingAttemptRatio, f.LateRatio, f.DuplicateRatio, f.StalledRatio,
	}
}

// responseFault returns what a request meets, by a random number from 0 to 1.
func (f BackendFaults) responseFault(workspace string, random float64) responseFault {
	for i, ratio := range f.ratios() {
		if random < ratio {
			fault := responseFault(i + 1)
			if fault == errorResponse && f.ErrorWorkspace != "" && f.ErrorWorkspace != workspace {
				return noFault
			}
			return fault
		}
		random -= ratio
	}
	return noFault
}

// activeAt returns the faults in force activeAt a time since the start.
func (f BackendFaults) activeAt(now time.Duration) BackendFaults {
	period := time.Duration(f.FlapPeriod)
	if period == 0 || (now/period)%2 == 1 {
		return f
	}
	return BackendFaults{
		HealthOverride:    f.HealthOverride,
		ReportLag:         f.ReportLag,
		ReportZeroLoad:    f.ReportZeroLoad,
		RefuseConnections: f.RefuseConnections,
		StopReading:       f.StopReading,
	}
}

// latency returns how long the work takes that takes d without faults.
func (f BackendFaults) latency(base time.Duration) time.Duration {
	if f.LatencyFactor > 0 {
		base = time.Duration(float64(base) * f.LatencyFactor)
	}
	return base + time.Duration(f.AddedLatency)
}
