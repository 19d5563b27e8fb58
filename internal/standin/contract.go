package standin

// Headers between an entry instance and a backend server.
const (
	// AttemptHeader carries the attempt's id. The answer must repeat it.
	AttemptHeader = "Foxtailspoke-Attempt"
	// WorkspaceHeader names the workspace that the request runs for. The
	// caller's key isn't passed on.
	WorkspaceHeader = "Foxtailspoke-Workspace"
	// TimeoutHeader is what is left of the request's time, in milliseconds.
	// The server gives up after it.
	TimeoutHeader = "Foxtailspoke-Timeout-Ms"
	// OutcomeHeader is in answers that aren't the work's own result.
	OutcomeHeader = "Foxtailspoke-Outcome"
	// OperationHeader is the caller's own id of a non-idempotent operation.
	OperationHeader = "Foxtailspoke-Operation"
)

// Values of OutcomeHeader.
const (
	// NotRun promises that the work wasn't begun and never will be.
	NotRun = "not-run"
	// GaveUp says that the time ran out while the work was under way.
	GaveUp = "gave-up"
)

// Paths that a backend server keeps for itself.
const (
	ReservedPrefix = "/-/"
	HealthPath     = "/-/health"
	LoadPath       = "/-/load"
)
