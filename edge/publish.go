package edge

import (
	"time"

	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/placement"
)

// publishAttemptStart takes in and tells that an attempt has begun.
func (e *Edge) publishAttemptStart(c *call, a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	told := e.addOutstanding(a, 1)
	told.Number = uint8(a.number)
	e.state.repeatsOf(c.service).Count(a.number > 1, e.now())
	m := evidence.Message{Attempts: []evidence.Attempt{told}}
	if c.workspace != nil {
		h := workspaceHash(c.workspace.Name)
		m.Usage = []evidence.Usage{{Workspace: h, Count: e.state.usage.Own(h)}}
	}
	e.publish(m, false)
}

// addOutstanding changes the own count of work at a server.
func (e *Edge) addOutstanding(a *attempt, change int) evidence.Attempt {
	s := &e.state
	h := placement.Hash(a.choice.Server.ID)
	n := uint16(max(int(s.own[h])+change, 0))
	if n == 0 {
		delete(s.own, h)
	} else {
		s.own[h] = n
	}
	s.placer.Outstanding(h, 0, int(n), e.now())
	return evidence.Attempt{Server: h, Outstanding: n}
}

// publishAttemptEnd takes in and tells how an attempt ended.
func (e *Edge) publishAttemptEnd(c *call, a *attempt, final evidence.Final) {
	if a.ends {
		return
	}
	a.ends = true
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	told := e.addOutstanding(a, -1)
	told.LimitMilli = e.learnLimit(a, now)
	told.Ended, told.Result, told.Final = true, serverResult(c, a), final
	work := e.statsOf(c.route).work
	took := a.took
	if a.result == health.OK {
		if a.choice.Waits() {
			// It had to wait; its time says nothing of the server's speed.
			took = 0
		}
		e.learnRoute(c, took, len(c.body)+len(a.answer.Body))
	}
	told.TookMS, told.WorkMS = wireMilliseconds(took), wireMilliseconds(work)
	e.state.placer.Learn(told.Server, told.Result, true, took, work, now)
	if final != evidence.NotFinal {
		e.state.placer.Served(c.service, final == evidence.Served, now)
	}
	// The first failure of a spell must reach everybody at once: each request
	// sent there for want of it may be lost.
	e.publish(evidence.Message{Attempts: []evidence.Attempt{told}}, a.result.Failed() && a.choice.Risk < urgentRiskBound)
	e.metrics.attempts.WithLabelValues(a.result.String()).Inc()
	e.logAttempt(c, a, now)
}

// serverResult is what an attempt's end tells of its server. A failure that a
// server reports when the time that it was given is up tells nothing: the request
// may just have needed longer. Taken for a failure, each request of a route
// whose time is too short for its work made a healthy server a suspect.
func serverResult(c *call, a *attempt) health.Result {
	given := c.deadline - a.start
	if a.result == health.ServerError && a.took >= given-deadlineMargin {
		return health.Cancelled
	}
	return a.result
}

// urgentRiskBound is the risk below which a server's failure is news.
const urgentRiskBound = 0.3

// deadlineMargin is how much before its deadline a server may report that its
// time is up: the way there and back, and its rounding to milliseconds.
const deadlineMargin = 15 * time.Millisecond

// publishRefusal takes in and tells that a request got no attempt.
func (e *Edge) publishRefusal(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.placer.Served(c.service, false, e.now())
	e.publish(evidence.Message{Refused: []uint32{placement.Hash(c.service)}}, false)
}

// publishLate takes in and tells that an attempt takes longer than it should.
func (e *Edge) publishLate(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	told := e.addOutstanding(a, 0)
	told.Result = health.Late
	e.state.placer.Learn(told.Server, health.Late, true, 0, 0, e.now())
	e.publish(evidence.Message{Attempts: []evidence.Attempt{told}}, false)
}
