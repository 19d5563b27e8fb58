package decision

import "net/http"

// statusCallerDisconnected is the non-standard status, introduced by nginx, for a
// client that closed the connection. It is only recorded, never sent.
const statusCallerDisconnected = 499

// RuleInfo is the catalogue entry of a rule.
type RuleInfo struct {
	Rule Rule
	// Status is the HTTP status of the response. For RuleServed it is a
	// placeholder: the caller gets the status from the backend server.
	Status int
	// Title is a short summary that doesn't depend on the request.
	Title string
	// Outcome is the default outcome of the rule. That of a Record may be
	// more specific.
	Outcome Outcome
	// RetryAfter means that the response has a Retry-After header.
	RetryAfter bool
	// cause returns the clause of the sentence that states the reason.
	cause func(Record) string
}

var catalogue = []RuleInfo{
	{RuleServed, http.StatusOK, "Served", Served, false, causeServed},
	{RuleNoKey, http.StatusUnauthorized, "No key", NotRun, false, causeNoKey},
	{RuleKeyUnknown, http.StatusUnauthorized, "Key not valid", NotRun, false, causeKeyUnknown},
	{RuleServiceNotInPlan, http.StatusForbidden, "Service not in the plan", NotRun, false, causeServiceNotInPlan},
	{RuleNoRoute, http.StatusNotFound, "No such address", NotRun, false, causeNoRoute},
	{RuleBadRequest, http.StatusBadRequest, "Malformed request", NotRun, false, causeBadRequest},
	{RuleTooLarge, http.StatusRequestEntityTooLarge, "Request too large", NotRun, false, causeTooLarge},
	{RuleRateExceeded, http.StatusTooManyRequests, "Over the rate", NotRun, true, causeRateExceeded},
	{RulePeerUnreachable, http.StatusServiceUnavailable, "Rate can't be checked", NotRun, true, causePeerUnreachable},
	{RuleConfigUnconfirmed, http.StatusServiceUnavailable, "Configuration not confirmed", NotRun, true, causeConfigUnconfirmed},
	{RuleInstanceLeaving, http.StatusServiceUnavailable, "Instance is stopping", NotRun, true, causeInstanceLeaving},
	{RuleOverloaded, http.StatusServiceUnavailable, "Instance is full", NotRun, true, causeOverloaded},
	{RuleNoServer, http.StatusServiceUnavailable, "No backend server", NotRun, true, causeNoServer},
	{RuleBackendBusy, http.StatusServiceUnavailable, "Backend server is busy", NotRun, true, causeBackendBusy},
	{RuleDeadlineExceeded, http.StatusGatewayTimeout, "Out of time", NotRun, true, causeDeadlineExceeded},
	{RuleAttemptsFailed, http.StatusBadGateway, "All attempts failed", Unknown, true, causeAttemptsFailed},
	{RuleUnknownOutcome, http.StatusBadGateway, "Outcome unknown", Unknown, false, causeUnknownOutcome},
	{RuleAnswerTruncated, http.StatusBadGateway, "Answer broke off", Unknown, false, causeAnswerTruncated},
	{RuleCallerDisconnected, statusCallerDisconnected, "Caller hung up", Unknown, false, causeCallerDisconnected},
	{RuleOperationElsewhere, http.StatusMisdirectedRequest, "Operation belongs to another instance", NotRun, true, causeOperationElsewhere},
	{RuleOperationLost, http.StatusConflict, "Operation's record is lost", Unknown, false, causeOperationLost},
	{RuleStillRunning, http.StatusConflict, "Operation is running", Unknown, true, causeStillRunning},
	{RuleAlreadyRan, http.StatusConflict, "Operation ran already", RanBefore, false, causeAlreadyRan},
	{RuleClaimUnavailable, http.StatusServiceUnavailable, "Operation can't be claimed", NotRun, true, causeClaimUnavailable},
	{RuleInternal, http.StatusInternalServerError, "Internal fault", Unknown, false, causeInternal},
}

var catalogueByRule = func() map[Rule]RuleInfo {
	m := make(map[Rule]RuleInfo, len(catalogue))
	for _, i := range catalogue {
		m[i.Rule] = i
	}
	return m
}()

// Catalogue returns the entries of all rules, in the order of the stages of
// request processing.
func Catalogue() []RuleInfo { return append([]RuleInfo(nil), catalogue...) }

// Lookup returns the catalogue entry of a rule, or that of RuleInternal if the
// rule is unknown.
func Lookup(r Rule) RuleInfo {
	if i, ok := catalogueByRule[r]; ok {
		return i
	}
	return catalogueByRule[RuleInternal]
}

// Info returns the catalogue entry of the rule.
func (r Rule) Info() RuleInfo { return Lookup(r) }

// Status returns the HTTP status of the rule.
func (r Rule) Status() int { return Lookup(r).Status }
