// Package wire defines the HTTP headers used between entry instances and backend
// servers, between entry instances, and in responses to callers.
package wire

const (
	// HeaderAttempt carries the attempt ID, which is unique for each attempt of
	// a request. The backend server's response must echo it.
	HeaderAttempt = "Foxtailspoke-Attempt"
	// HeaderWorkspace carries the workspace that the request belongs to. The
	// caller's API key is not forwarded to backend servers.
	HeaderWorkspace = "Foxtailspoke-Workspace"
	// HeaderTimeout carries the remaining time for the response, in
	// milliseconds. The backend server aborts the request when it has elapsed.
	HeaderTimeout = "Foxtailspoke-Timeout-Ms"
	// HeaderOperation carries the caller's idempotency key.
	HeaderOperation = "Foxtailspoke-Operation"
	// HeaderForwarded marks a request forwarded by another entry instance.
	HeaderForwarded = "Foxtailspoke-Forwarded"
	// HeaderRequest carries the request ID in responses to callers.
	HeaderRequest = "Foxtailspoke-Request"
	// HeaderOutcome states in responses to callers whether the request was
	// executed. A backend server sets it in responses that are not the result
	// of executing the request.
	HeaderOutcome = "Foxtailspoke-Outcome"

	// HeaderLeaving is set, to any value, when a backend server rejects a
	// request because it is shutting down and accepts no new requests.
	HeaderLeaving = "Foxtailspoke-Leaving"

	// HeaderPrefix is the common prefix of the headers above. Headers with this
	// prefix are removed from callers' requests.
	HeaderPrefix = "Foxtailspoke-"
)

// Values of HeaderOutcome that backend servers use.
const (
	// OutcomeNotRun guarantees that execution was not started and never will be.
	OutcomeNotRun = "not-run"
	// OutcomeGaveUp means that the timeout expired during execution.
	OutcomeGaveUp = "gave-up"
)
