package edge

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"foxtailspoke/discovery"
	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/placement"
	"foxtailspoke/quarantine"
)

// completeContactShare is the share of instances whose heartbeats must arrive in time for their
// reports to count as complete.
const completeContactShare = 0.9

// withhold refuses a request under which too many servers ended. The lock must be held.
func (e *Edge) withhold(c *call, now time.Duration) *refusal {
	if e.state.quarantine.Empty() {
		return nil
	}
	left, withheld := e.state.quarantine.Withheld(c.fingerprint(), e.knowsSuspectRequests(now), now)
	if !withheld {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, RuleFatalRequest, left}
}

// knowsSuspectRequests reports whether this instance knows the requests under which servers ended as
// other instances saw.
func (e *Edge) knowsSuspectRequests(now time.Duration) bool {
	return e.state.quarantine.Informed(e.contact(now).OnTimeShare >= completeContactShare, now)
}

// serverRun identifies the run of a server.
func serverRun(s discovery.Server) quarantine.ServerRun {
	return quarantine.ServerRun(placement.Hash(s.ID + " " + strconv.FormatInt(s.StartTimeMS, 10)))
}

// recordServerEnd records what the end of an attempt says about its request, and returns what
// to publish. The lock must be held.
func (e *Edge) recordServerEnd(c *call, a *attempt, now time.Duration) []evidence.SuspectRequest {
	q, server := e.state.quarantine, a.choice.Server
	if (a.result == health.Incomplete || a.result == health.Timeout) && e.endsOverloaded(server, now) {
		// What the server held may have ended it, or will if it proves to have ended.
		return nil
	}
	switch {
	case a.result == health.OK || a.result == health.ServerError:
		if q.Empty() || !q.RecordServed(c.fingerprint(), now) {
			return nil
		}
		if _, stored := e.state.instances.Row(suspectKey(c.fingerprint())); stored {
			e.storeSuspect(c.fingerprint())
		}
	case a.result == health.Incomplete && a.answer.ServerEnded && !server.Draining:
		e.addServerEnd(c.fingerprint(), server, "refuses connections", now)
	case a.result == health.Incomplete || a.result == health.Timeout:
		q.RecordInterruption(c.fingerprint(), serverRun(server), a.result == health.Incomplete, now)
		return nil
	default:
		return nil
	}
	return wireSuspectRequests(q.Report(c.fingerprint(), now))
}

// recordFormerRunEnd records the end of the former run of a server whose entry has disappeared
// or names a later start.
func (e *Edge) recordFormerRunEnd(c discovery.Change, now time.Duration) {
	former, known := e.state.placer.Server(placement.Hash(c.Server.ID))
	if !known || former.Draining {
		return
	}
	proof := "started again"
	e.recordOverloadedFormerRun(former, c.Removed, now)
	if c.Removed {
		proof = "entry disappeared"
	}
	var ended []quarantine.Report
	// A server that leaves without draining serves on after its entry has disappeared, so
	// that attempts may also time out then.
	for _, f := range e.state.quarantine.TakeInterrupted(serverRun(former), c.Removed, now) {
		e.addServerEnd(f, former, proof, now)
		ended = append(ended, e.state.quarantine.Report(f, now))
	}
	if len(ended) > 0 {
		e.publish(evidence.Message{SuspectRequests: wireSuspectRequests(ended...)}, true)
	}
}

// addServerEnd records that a server ended while it worked on a request.
func (e *Edge) addServerEnd(f quarantine.Fingerprint, server discovery.Server, proof string, now time.Duration) {
	ends, isNew := e.state.quarantine.RecordEnd(f, serverRun(server), now)
	if !isNew {
		return
	}
	for _, delay := range quarantine.RepeatDelays() {
		time.AfterFunc(delay, func() { e.repeatSuspect(f) })
	}
	e.metrics.serverEnds.WithLabelValues(proof).Inc()
	_, withheld := e.state.quarantine.Withheld(f, e.knowsSuspectRequests(now), now)
	if withheld {
		e.storeSuspect(f)
	}
	event.ServerEndedUnderRequest.Log(e.log, slog.String("fingerprint", f.String()), slog.String("server", server.ID),
		slog.String("service", server.Service), slog.String("proof", proof), slog.Int("ends", ends), slog.Bool("withheld", withheld))
}

// repeatSuspect publishes what is known of a request once more.
func (e *Edge) repeatSuspect(f quarantine.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish(evidence.Message{SuspectRequests: wireSuspectRequests(e.state.quarantine.Report(f, e.now()))}, true)
}

// recentSuspectRequests returns what this instance has observed lately, for announcements and
// heartbeats.
func (e *Edge) recentSuspectRequests() []evidence.SuspectRequest {
	return wireSuspectRequests(e.state.quarantine.RecentReports(e.now())...)
}

func wireSuspectRequests(reports ...quarantine.Report) (suspects []evidence.SuspectRequest) {
	for _, r := range reports {
		s := evidence.SuspectRequest{Fingerprint: uint64(r.Request), Served: r.Served, ServedAgeMS: wireAge(r.ServedAge)}
		for _, end := range r.Ends {
			s.Ends = append(s.Ends, evidence.ServerEnd{Run: uint32(end.Run), AgeMS: wireAge(end.Age)})
		}
		suspects = append(suspects, s)
	}
	return suspects
}

func wireAge(d time.Duration) uint32 { return uint32(max(d, 0).Milliseconds()) }

func suspectReports(suspects []evidence.SuspectRequest) (reports []quarantine.Report) {
	for _, s := range suspects {
		r := quarantine.Report{Request: quarantine.Fingerprint(s.Fingerprint), Served: s.Served, ServedAge: age(s.ServedAgeMS)}
		for _, end := range s.Ends {
			r.Ends = append(r.Ends, quarantine.End{Run: quarantine.ServerRun(end.Run), Age: age(end.AgeMS)})
		}
		reports = append(reports, r)
	}
	return reports
}

func age(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
