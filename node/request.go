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
	// idempotent requests may be sent again after an unknown outcome.
	idempotent bool
	// operation is set if this instance runs the request under a key.
	operation *operation

	search *quota.Search
	// unansweredAsks counts the asks that got no answer.
	unansweredAsks int
	// forwards counts how often it was passed on to its key's minter.
	forwards int

	// tried are the backend servers that had an attempt.
	tried []string
	// running are the attempts that haven't ended, oldest first.
	running []*attempt
	// mayHaveRun says that an attempt wasn't proved not run.
	mayHaveRun bool
	// answered says that the caller has its answer, or the beginning of it.
	answered   bool
	callerGone bool
	server     string
	figures    decision.Figures
}

// handleRequest decides what can be decided at once, in the order of the least
// information given away: a request whose configuration isn't confirmed, or
// without a valid key, learns nothing else.
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

// admit fills in what the configuration says of the request, or returns the
// rule by which it is refused.
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

// revalidate looks again at a request that waited for another instance or for
// the platform: meanwhile its key may have been withdrawn, its plan changed,
// or this instance been cut off.
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

// resume takes tokens for a request that waited.
func (n *Node) resume(r *request) {
	if rule := n.revalidate(r); rule != "" {
		n.refuse(r, rule, 0)
		return
	}
	n.acquireTokens(r)
}

// authenticate finds the workspace of a key.
func (n *Node) authenticate(key config.KeyHash, has bool, f *decision.Figures) (decision.Rule, config.Workspace) {
	c := n.member.Confirmation(n.now)
	f.Revision = uint64(c.Revision)
	if c.State == membership.CutOff {
		f.AgeLimit = n.member.Settings().Fresh
		return decision.RuleConfigUnconfirmed, config.Workspace{}
	}
	if !has {
		return decision.RuleNoKey, config.Workspace{}
	}
	workspace, ok := n.replica.WorkspaceByKey(key)
	if !ok {
		return decision.RuleKeyUnknown, config.Workspace{}
	}
	return "", workspace
}

// idempotent says whether a request may run twice without harm (RFC 9110,
// section 9.2.2), unless its route says otherwise.
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

// handleCallerGone takes note that the caller hung up. An operation with a key runs to
// its end, so that a repeat can get its answer.
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

// refuse answers a request that isn't served, at once.
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

// outcomeOf returns what a refusal means for the operation that it ends.
func outcomeOf(record decision.Record) claim.Outcome {
	if record.Outcome == decision.NotRun {
		return claim.NotRun
	}
	return claim.Unknown
}

// record returns the decision on a request, as it stands now.
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

// emitRecord hands out the decision on a request that has ended.
func (n *Node) emitRecord(record decision.Record) {
	n.workspaceFailures.record(n.now, record)
	n.emit(Recorded{Record: record})
}

// otherAddresses names the instances to try instead, for refusals that are
// this instance's own trouble.
func (n *Node) otherAddresses(r *request) []string {
	if n.reportedState != membership.CutOff && !n.leaving {
		return nil
	}
	return n.addresses(r.workspace.Name, false)
}
