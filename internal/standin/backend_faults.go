package standin

import (
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config"
)

// BackendFaults are the faults that a Backend can inject. The zero value injects
// none.
// Ratios are shares of requests from 0 to 1. At most one of them applies to a
// request, so their sum is at most 1.
type BackendFaults struct {
	// LatencyFactor multiplies the execution time; 0 means 1.
	LatencyFactor float64 `json:"factor"`
	// AddedLatency is added to the execution time, for example "250ms".
	AddedLatency config.Duration `json:"delay"`

	// TruncatedRatio is the share of responses that end, with the connection,
	// before their declared length.
	TruncatedRatio float64 `json:"halfRatio"`
	// StalledRatio is the share of responses that stop halfway, with the
	// connection left open until the client closes it.
	StalledRatio float64 `json:"stallRatio"`
	// ErrorRatio is the share of requests that are executed and get a response
	// with status 500.
	ErrorRatio float64 `json:"errorRatio"`
	// ErrorWorkspace restricts ErrorRatio to one workspace.
	ErrorWorkspace string `json:"errorWorkspace"`
	// HangRatio is the share of requests that get no response and occupy their
	// slot until the connection is closed, irrespective of their timeout.
	HangRatio float64 `json:"hangRatio"`
	// MismatchedRatio is the share of requests that get the response to another
	// request.
	MismatchedRatio float64 `json:"crossedRatio"`
	// MissingAttemptRatio is the share of responses without the attempt ID.
	MissingAttemptRatio float64 `json:"noEchoRatio"`
	// LateRatio is the share of requests that are executed irrespective of
	// timeout and cancellation, with the response sent LateDelay after the
	// execution.
	LateRatio float64         `json:"lateRatio"`
	LateDelay config.Duration `json:"lateBy"`
	// EndlessRatio is the share of requests that get headers without end until the
	// connection is closed.
	EndlessRatio float64 `json:"endlessRatio"`
	// DuplicateRatio is the share of responses sent twice on their connection.
	DuplicateRatio float64 `json:"duplicateRatio"`

	// FatalPath, if not empty, makes requests whose path begins with it end the server:
	// after the execution time its connections are closed, and new ones are refused.
	FatalPath string `json:"fatalPath"`

	// FlapPeriod, if not 0, makes all faults above flap: inactive for one
	// period, active for the next.
	FlapPeriod config.Duration `json:"flapPeriod"`

	// HealthOverride is the health to report, "ok" or "bad", irrespective of the
	// actual state. If empty, the report shows whether the server is draining
	// and, apart from ReportLag, does not reflect faults.
	HealthOverride string `json:"health"`
	// ReportLag is the age of the state shown in health and load reports.
	ReportLag config.Duration `json:"reportLag"`
	// ReportZeroLoad makes load reports show an idle server.
	ReportZeroLoad bool `json:"hideLoad"`

	// RefuseConnections refuses new connections. Established connections are
	// not affected.
	RefuseConnections bool `json:"refuse"`
	// StopReading stops reading from all connections.
	StopReading bool `json:"stopReading"`
}

// Values of HealthReport.Status that HealthOverride accepts.
const (
	healthOK  = "ok"
	healthBad = "bad"
)

// validate uses negated comparisons because they also reject NaN.
func (f BackendFaults) validate() error {
	sum := 0.0
	for _, ratio := range f.ratios() {
		if !(ratio >= 0 && ratio <= 1) {
			return errors.New("ratios must be between 0 and 1")
		}
		sum += ratio
	}
	if sum > 1 {
		return errors.New("the sum of the ratios must not exceed 1")
	}
	if !(f.LatencyFactor >= 0) || f.AddedLatency < 0 || f.LateDelay < 0 || f.FlapPeriod < 0 || f.ReportLag < 0 {
		return errors.New("factor, delay, lateBy, flapPeriod and reportLag must not be negative")
	}
	switch f.HealthOverride {
	case "", healthOK, healthBad:
		return nil
	}
	return errors.Newf("invalid health %q: must be ok, bad or empty", f.HealthOverride)
}

// responseFault is the fault that applies to a single request.
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
	endlessResponse
)

// ratios returns the ratio of each responseFault after noFault, in the order of
// the constants.
func (f BackendFaults) ratios() []float64 {
	return []float64{
		f.TruncatedRatio, f.ErrorRatio, f.HangRatio, f.MismatchedRatio,
		f.MissingAttemptRatio, f.LateRatio, f.DuplicateRatio, f.StalledRatio, f.EndlessRatio,
	}
}

// responseFault selects the fault for a request of the workspace. Random is a
// number from 0 to 1.
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

// activeAt returns the faults that are active at now, the time since the start
// of the server, according to FlapPeriod.
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

// latency returns the execution time with faults, given the one without.
func (f BackendFaults) latency(base time.Duration) time.Duration {
	if f.LatencyFactor > 0 {
		base = time.Duration(float64(base) * f.LatencyFactor)
	}
	return base + time.Duration(f.AddedLatency)
}
