package standin

import "foxtailspoke/wire"

// Headers of requests from entry instances to backend servers and of the
// responses.
const (
	AttemptHeader   = wire.HeaderAttempt
	WorkspaceHeader = wire.HeaderWorkspace
	TimeoutHeader   = wire.HeaderTimeout
	OutcomeHeader   = wire.HeaderOutcome
	OperationHeader = wire.HeaderOperation
)

// Values of OutcomeHeader.
const (
	OutcomeNotRun = wire.OutcomeNotRun
	OutcomeGaveUp = wire.OutcomeGaveUp
)

// leavingHeader is "1" in all responses of a backend server of the users' platform that
// is about to stop.
const leavingHeader = "Server-Leaving"

// Paths reserved for the backend server itself. ReservedPrefix is their common
// prefix.
const (
	ReservedPrefix = "/-/"
	HealthPath     = "/-/health"
	LoadPath       = "/-/load"
)
