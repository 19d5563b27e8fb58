package node

import (
	"net/http"
	"time"

	"foxtailspoke/claim"
	"foxtailspoke/config"
	"foxtailspoke/decision"
	"foxtailspoke/membership"
	"foxtailspoke/quota"
)

// request is a caller's request in progress.
type request struct {
	arrived   RequestArrived
	arrivedAt time.Duration
	deadline  time.Duration
	workspace config.Workspace
	service   config.Service
	limit     config.Limit
	// idempotent is set if the request may be sent again after an unknown
	// outcome.
	idempotent bool
	// operation is set if this instance runs the request under an idempotency
	// key.
	operation *operation

	search *quota.Search
	// unansweredAsks counts the asks for tokens that got no answer.
	unansweredAsks int
	// forwards counts how often the request was forwarded to the minter of its
	// key.
	forwards int

	// tried are the backend servers at which an attempt was started.
	tried []string
	// running are the attempts in progress, oldest first.
	running []*attempt
	// mayHaveRun is set once an attempt ended without proof that the backend
	// server did not run it.
	mayHaveRun bool
	// answered is set once the answer is being relayed to the caller.
	answered   bool
	callerGone bool
	server     string
	figures    decision.Figures
}

// handleRequest admits or refuses a new request. Checks are ordered to disclose as
// little as possible: while the configuration is not confirmed, or without a
// valid key, a caller learns nothing else.
func (n *Node) handleRequest(e RequestArrived) {
	r := &request{arrived: e, arrivedAt: n.now, deadline: n.now + n.settings.DefaultTimeout}
	if rule := n.admit(r); rule != "" {
		n.refuse(r, rule, 0)
		return
	}
	n.requests[e.Request] = r
	if r.idempotent || e.Operation == "" {
		n.acquireTokens(r)
		return
	}
	n.beginOperation(r)
}

// admit sets the request's workspace, service, limit and deadline from the
// configuration, or returns the rule under which it is refused.
func (n *Node) admit(r *request) decision.Rule {
	rule, workspace := n.authenticate(r.arrived.Key, r.arrived.HasKey, &r.figures)
	if rule != "" {
		return rule
	}
	r.workspace = workspace
	service, route, ok := n.replica.Route(r.arrived.Path)
	if !ok {
		return decision.RuleNoRoute
	}
	r.service, _ = n.replica.Service(service)
	r.limit, ok = n.replica.Limit(workspace.Name, service)
	r.figures.Plan = workspace.Plan
	if !ok {
		return decision.RuleServiceNotInPlan
	}
	r.figures.Rate = r.limit.Rate
	r.figures.Burst = r.limit.Burst
	if len(n.requests) >= n.settings.MaxRequests {
		return decision.RuleOverloaded
	}
	if t := time.Duration(r.service.Timeout); t > 0 {
		r.deadline = n.now + t
	}
	r.figures.Timeout = r.deadline - n.now
	r.idempotent = idempotent(r.arrived.Method, route)
	return ""
}

// revalidate checks a request again after it waited for an attempt, another
// instance or the platform. Meanwhile its key may have been withdrawn, its plan
// changed, or the confirmation of the configuration expired.
func (n *Node) revalidate(r *request) decision.Rule {
	if rule, _ := n.authenticate(r.arrived.Key, r.arrived.HasKey, &r.figures); rule != "" {
		return rule
	}
	limit, ok := n.replica.Limit(r.workspace.Name, r.service.Name)
	if !ok {
		return decision.RuleServiceNotInPlan
	}
	r.limit = limit
	return ""
}

// resume revalidates a request that waited for its claim and takes its tokens.
func (n *Node) resume(r *request) {
	if rule := n.revalidate(r); rule != "" {
		n.refuse(r, rule, 0)
		return
	}
	n.acquireTokens(r)
}

// authenticate returns the workspace of a key, or the rule under which the request
// is refused.
func (n *Node) authenticate(key config.KeyHash, hasKey bool, f *decision.Figures) (decision.Rule, config.Workspace) {
	c := n.member.Confirmation(n.now)
	f.Revision = uint64(c.Revision)
	if c.State == membership.CutOff {
		f.AgeLimit = n.member.Settings().Fresh
		return decision.RuleConfigUnconfirmed, config.Workspace{}
	}
	if !hasKey {
		return decision.RuleNoKey, config.Workspace{}
	}
	workspace, ok := n.replica.WorkspaceByKey(key)
	if !ok {
		return decision.RuleKeyUnknown, config.Workspace{}
	}
	return "", workspace
}

// idempotent reports whether a request is idempotent by its method (RFC 9110,
// section 9.2.2); the route may override this.
func idempotent(method string, route config.Route) bool {
	if route.Idempotent != nil {
		return *route.Idempotent
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

func (r *request) bucket() quota.Bucket {
	return quota.Bucket{Workspace: r.workspace.Name, Service: r.service.Name}
}

// handleCallerGone cancels the attempts of a request whose caller disconnected. An
// operation with an idempotency key runs to completion, so that a repeat can get
// its answer.
func (n *Node) handleCallerGone(id string) {
	r, ok := n.requests[id]
	if !ok {
		return
	}
	r.callerGone = true
	if r.operation != nil {
		return
	}
	n.cancelOthers(r, nil)
}

// refuse answers a request that is not served.
func (n *Node) refuse(r *request, rule decision.Rule, retryAfter time.Duration) {
	record := n.record(r, rule)
	if rule.Info().RetryAfter {
		record.RetryAfter = max(retryAfter, time.Second)
	}
	if r.mayHaveRun || r.forwards > 0 {
		record.Outcome = decision.Unknown
	}
	n.refuseWithRecord(r, record)
}

func (n *Node) refuseWithRecord(r *request, record decision.Record) {
	delete(n.requests, r.arrived.Request)
	n.endOperation(r, outcomeOf(record), nil)
	n.rateRefusals.count(record)
	if !r.callerGone {
		n.emit(Refuse{Request: r.arrived.Request, Record: record, Addresses: n.otherAddresses(r)})
	}
	n.emitRecord(record)
}

// outcomeOf returns the outcome of an operation whose request was refused.
func outcomeOf(record decision.Record) claim.Outcome {
	if record.Outcome == decision.NotRun {
		return claim.NotRun
	}
	return claim.Unknown
}

// record returns the decision record of a request as of now.
func (n *Node) record(r *request, rule decision.Rule) decision.Record {
	return decision.Record{
		Request:   r.arrived.Request,
		At:        r.arrived.At,
		Instance:  n.settings.Self.ID,
		Workspace: r.workspace.Name,
		Service:   r.service.Name,
		Method:    r.arrived.Method,
		Outcome:   rule.Info().Outcome,
		Rule:      rule,
		Server:    r.server,
		Attempts:  len(r.tried),
		Took:      n.now - r.arrivedAt,
		Figures:   r.figures,
	}
}

// emitRecord emits the decision record of a completed request.
func (n *Node) emitRecord(record decision.Record) {
	n.workspaceFailures.record(n.now, record)
	n.emit(Recorded{Record: record})
}

// otherAddresses returns the addresses of other instances to try, if this instance
// is leaving or its configuration is not confirmed.
func (n *Node) otherAddresses(r *request) []string {
	if n.reportedState != membership.CutOff && !n.leaving {
		return nil
	}
	return n.addresses(r.workspace.Name, false)
}
