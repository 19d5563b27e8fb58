package standin

import "foxtailspoke/wire"

// Headers between an entry instance and a backend server.
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

// Paths that a backend server keeps for itself.
const (
	ReservedPrefix = "/-/"
	HealthPath     = "/-/health"
	LoadPath       = "/-/load"
)
