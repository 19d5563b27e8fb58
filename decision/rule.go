// Package decision records why a request was served, delayed or refused, and
// explains it in one sentence for people.
//
// Every request ends under exactly one Rule of the catalogue. The rule determines
// the HTTP status, whether a Retry-After header is sent, and the sentence; the
// Record adds the inputs of the decision. A Buffer keeps the relevant records in
// bounded memory and groups them into batches for the object store. The package
// does no I/O and doesn't read the clock.
package decision

// Outcome states whether the request was executed.
type Outcome string

const (
	// Served requests were executed and the caller got the response.
	Served Outcome = "served"
	// NotRun requests reached no backend server, or one that reported that
	// it didn't execute them. Repeating them is safe.
	NotRun Outcome = "not-run"
	// Unknown requests may or may not have been executed.
	Unknown Outcome = "unknown"
	// RanBefore requests are repeats that weren't executed, because an earlier
	// request with the same operation key was.
	RanBefore Outcome = "ran-before"
)

// Rule identifies the reason for the decision on a request.
type Rule string

const (
	// RuleServed: the caller got the complete response.
	RuleServed Rule = "served"
	// RuleNoKey: the request has no API key.
	RuleNoKey Rule = "no-key"
	// RuleKeyUnknown: the API key was never issued, or was revoked.
	RuleKeyUnknown Rule = "key-unknown"
	// RuleServiceNotInPlan: the workspace's plan doesn't include the service.
	RuleServiceNotInPlan Rule = "service-not-in-plan"
	// RuleNoRoute: no service serves the path.
	RuleNoRoute Rule = "no-route"
	// RuleBadRequest: the request is malformed; see Figures.Detail.
	RuleBadRequest Rule = "bad-request"
	// RuleTooLarge: the headers or the body exceed the size limit.
	RuleTooLarge Rule = "too-large"
	// RuleRateExceeded: the workspace exceeded its rate limit and burst.
	RuleRateExceeded Rule = "over-rate"
	// RulePeerUnreachable: the instances that hold the workspace's rate limit
	// didn't respond in time.
	RulePeerUnreachable Rule = "peer-unreachable"
	// RuleConfigUnconfirmed: the instance can't confirm that its
	// configuration is current.
	RuleConfigUnconfirmed Rule = "cut-off"
	// RuleInstanceLeaving: the instance is shutting down gracefully.
	RuleInstanceLeaving Rule = "instance-leaving"
	// RuleOverloaded: the instance reached its limit of concurrent requests.
	RuleOverloaded Rule = "overloaded"
	// RuleNoServer: no backend server is usable.
	RuleNoServer Rule = "no-server"
	// RuleBackendBusy: the backend server refused the request under load.
	RuleBackendBusy Rule = "shed"
	// RuleDeadlineExceeded: the request timed out before it was sent.
	RuleDeadlineExceeded Rule = "deadline"
	// RuleAttemptsFailed: every attempt allowed for an idempotent request
	// failed.
	RuleAttemptsFailed Rule = "attempts-failed"
	// RuleUnknownOutcome: a non-idempotent request was sent and got no
	// complete response.
	RuleUnknownOutcome Rule = "unknown-outcome"
	// RuleAnswerTruncated: the response ended early, after part of it had
	// been forwarded.
	RuleAnswerTruncated Rule = "answer-cut"
	// RuleCallerDisconnected: the caller closed the connection before it had
	// the response.
	RuleCallerDisconnected Rule = "caller-gone"
	// RuleOperationElsewhere: the operation key belongs to another instance.
	RuleOperationElsewhere Rule = "operation-elsewhere"
	// RuleOperationLost: the instance that the operation key belongs to is
	// gone, so whether the operation was executed can't be determined.
	RuleOperationLost Rule = "operation-lost"
	// RuleStillRunning: the first request with this operation key is still in
	// progress. The outcome is unknown because that request may yet be refused,
	// for example by the rate limit; a caller that had been told that the
	// operation was executed would then never send it again.
	RuleStillRunning Rule = "still-running"
	// RuleAlreadyRan: the operation was executed and its response is no
	// longer stored.
	RuleAlreadyRan Rule = "ran-already"
	// RuleClaimUnavailable: the operation couldn't be claimed because the
	// platform's table didn't respond.
	RuleClaimUnavailable Rule = "claim-unavailable"
	// RuleInternal: an internal error of the instance.
	RuleInternal Rule = "internal"
)
