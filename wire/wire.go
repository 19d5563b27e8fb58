// Package wire names the HTTP headers of the fleet: those between an entry
// instance and a backend server, those between two entry instances, and those
// in answers to callers.
package wire

const (
	// HeaderAttempt carries the attempt's id, which differs for every try of
	// a request. The backend server's answer must echo it.
	HeaderAttempt = "Foxtailspoke-Attempt"
	// HeaderWorkspace names the workspace that the request runs for. The
	// caller's key isn't passed on to backend servers.
	HeaderWorkspace = "Foxtailspoke-Workspace"
	// HeaderTimeout is the time left for the answer, in milliseconds. The
	// backend server gives up after it.
	HeaderTimeout = "Foxtailspoke-Timeout-Ms"
	// HeaderOperation carries the caller's idempotency key.
	HeaderOperation = "Foxtailspoke-Operation"
	// HeaderForwarded marks a request that another entry instance passed on.
	HeaderForwarded = "Foxtailspoke-Forwarded"
	// HeaderRequest carries the request's id in answers to callers.
	HeaderRequest = "Foxtailspoke-Request"
	// HeaderOutcome says in answers to callers whether the request ran. A
	// backend server sets it in answers that aren't the work's own result.
	HeaderOutcome = "Foxtailspoke-Outcome"

	// HeaderLeaving is set, to any value, in a backend server's refusal when
	// it is about to stop and will take nothing new.
	HeaderLeaving = "Foxtailspoke-Leaving"

	// HeaderPrefix is the common prefix of the headers above. What a caller
	// sends under it is dropped.
	HeaderPrefix = "Foxtailspoke-"
)

// Values of HeaderOutcome that backend servers use.
const (
	// OutcomeNotRun promises that the work wasn't begun and never will be.
	OutcomeNotRun = "not-run"
	// OutcomeGaveUp says that the time ran out while the work was under way.
	OutcomeGaveUp = "gave-up"
)
