package edge

import (
	"time"

	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/placement"
)

// publishAttemptStart records that an attempt has begun and publishes it.
func (e *Edge) publishAttemptStart(c *call, a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addServerBytes(a, len(c.body))
	report := e.addOutstanding(a, 1)
	if a.number == 1 {
		e.countDemand(c.service)
		e.state.budgets.Service(placement.Hash(c.service)).Count(false, e.now())
		report.RequestOutcome = evidence.StartOfRequest(c.rank)
		e.recordForAdmission(report, e.now())
		e.metrics.serviceAttempts.WithLabelValues(c.service, "first").Inc()
	} else {
		e.metrics.serviceAttempts.WithLabelValues(c.service, "retry").Inc()
	}
	m := evidence.Message{Attempts: []evidence.Attempt{report}, ServiceAttempts: e.serviceAttempts(c.service)}
	if c.workspace != nil {
		h := workspaceHash(c.workspace.Name)
		m.Usage = []evidence.Usage{{Workspace: h, Count: e.state.usage.AdmittedTotal(h)}}
	}
	e.publish(m, false)
}

// addOutstanding adds change to this instance's outstanding attempts at a
// server and returns the new count as evidence.
func (e *Edge) addOutstanding(a *attempt, change int) evidence.Attempt {
	s := &e.state
	h := placement.Hash(a.choice.Server.ID)
	n := uint16(max(int(s.ownOutstanding[h])+change, 0))
	if n == 0 {
		delete(s.ownOutstanding, h)
	} else {
		s.ownOutstanding[h] = n
	}
	s.placer.SetOutstanding(h, 0, int(n), e.now())
	return evidence.Attempt{Server: h, Outstanding: n, HeldKB: e.reportServerBytes(h)}
}

// publishAttemptEnd records how an attempt ended and publishes it.
func (e *Edge) publishAttemptEnd(c *call, a *attempt, final evidence.RequestOutcome) {
	if a.endPublished {
		return
	}
	a.endPublished = true
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.addServerBytes(a, -len(c.body))
	report := e.addOutstanding(a, -1)
	report.LimitMilli = e.updateLimit(a, now)
	e.updateBackoff(a, now)
	e.updateLeaving(a, now)
	report.Ended, report.Result, report.RequestOutcome = true, serverResult(c, a), final
	work := e.routeStatsFor(c.route).work
	took := a.took
	if a.result == health.OK {
		if a.choice.MustQueue() {
			// The attempt had to queue, so its duration doesn't show the
			// server's speed.
			took = 0
		}
		e.updateRouteStats(c, took, len(c.body)+len(a.answer.Body))
	}
	e.recordForAdmission(report, now)
	report.LatencyMS, report.TypicalLatencyMS = wireMilliseconds(took), wireMilliseconds(work)
	e.state.placer.RecordResult(report.Server, placement.Self, report.Result, took, work, now)
	if final != evidence.RequestPending {
		e.state.placer.RecordOutcome(c.service, final == evidence.RequestServed, now)
	}
	// The first of a series of failures must reach all instances at once: each
	// request that they send to the server before that may be lost.
	m := evidence.Message{
		Attempts: []evidence.Attempt{report}, ServiceAttempts: e.countStrayRetry(a, c.service, now), SuspectRequests: e.recordServerEnd(c, a, now),
	}
	m.Attempts[0].EndedHeldKB = e.recordOverloadedEnd(a, now)
	e.publish(m, len(m.SuspectRequests) > 0 || (a.result.Failed() && a.choice.Risk < urgentRiskBound))
	e.metrics.attempts.WithLabelValues(a.result.String()).Inc()
	e.logAttempt(c, a, now)
}

// serverResult returns the result to count for the attempt's server. An error
// reported at the deadline isn't counted: the request may just have needed more
// time. Counted as failures, such errors on a route whose timeout is shorter
// than its work make healthy servers suspects.
func serverResult(c *call, a *attempt) health.Result {
	given := c.deadline - a.start
	if a.result == health.ServerError && a.took >= given-deadlineMargin {
		return health.Cancelled
	}
	return a.result
}

// urgentRiskBound is the risk below which a failure of a server is published at
// once.
const urgentRiskBound = 0.3

// deadlineMargin is how long before its deadline a server may report a timeout.
// It covers the network round trip and the rounding of the deadline to
// milliseconds.
const deadlineMargin = 15 * time.Millisecond

// publishUnserved records and publishes that a request wasn't served, apart from
// the end of an attempt: it was refused without one, found no server for another
// one, or timed out.
func (e *Edge) publishUnserved(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.placer.RecordOutcome(c.service, false, e.now())
	e.recordUnserved(c.unserved(), e.now())
	e.publish(evidence.Message{Unserved: []evidence.Unserved{c.unserved()}}, false)
}

// publishLate records and publishes that an attempt takes longer than expected.
func (e *Edge) publishLate(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.addOutstanding(a, 0)
	report.Result = health.Late
	e.state.placer.RecordResult(report.Server, placement.Self, health.Late, 0, 0, e.now())
	e.publish(evidence.Message{Attempts: []evidence.Attempt{report}}, false)
}
