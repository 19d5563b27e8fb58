package edge

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"foxtailspoke/admission"
	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/mechanism"
	"foxtailspoke/placement"
	"foxtailspoke/retry"
	"foxtailspoke/routing"
)

// admitRequest returns a refusal if a request must not be sent because the servers of its
// service are full. A request that a full server rejected is sent only to one with a free slot.
// Other retries are always admitted: the request was, and may have run. The lock must be held.
func (e *Edge) admitRequest(c *call, choice placement.Choice, tried []string, now time.Duration) *refusal {
	s, service := &e.state, placement.Hash(c.service)
	if s.table.RestrictsRegions() || !s.admission.Active(service, now) {
		// With restricted regions, the servers of one region may be full while others, which
		// only some requests may use, have free slots.
		return nil
	}
	if len(tried) > 0 {
		if c.rejectedByFull && choice.MustQueue() {
			return e.serviceFull(c)
		}
		return nil
	}
	if e.overRate(c, now) {
		// The caller is told that instead. Counted as demand on the servers, such requests
		// would lower the share of all others.
		return nil
	}
	e.setAdmissionLoad(c.service, now)
	ok, wait := s.admission.Admit(admission.Request{Service: service, Rank: c.rank}, now, rand.Float64())
	if ok {
		return nil
	}
	c.notAdmitted = true
	return &refusal{http.StatusServiceUnavailable, RuleServiceFull, wait}
}

// overRate reports whether no token is left for the request of the rate of its workspace, beside
// those reserved for more urgent ones.
func (e *Edge) overRate(c *call, now time.Duration) bool {
	if c.workspace == nil || c.workspace.Rate <= 0 {
		return false
	}
	h := workspaceHash(c.workspace.Name)
	return e.state.usage.Tokens(h, now) < 1+e.state.usage.Reserved(h, routing.Priority(c.route, c.workspace), now)
}

// serviceFull returns the refusal of a request that a full server rejected. The lock must be
// held.
func (e *Edge) serviceFull(c *call) *refusal {
	wait := e.state.admission.RetryAfter(placement.Hash(c.service), rand.Float64())
	return &refusal{http.StatusServiceUnavailable, RuleServiceFull, wait}
}

// notRun returns the refusal of a request that certainly didn't run and isn't sent again.
func (e *Edge) notRun(c *call, d retry.Decision) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.rejectedByFull && e.state.admission.Active(placement.Hash(c.service), e.now()) {
		return e.serviceFull(c)
	}
	return &refusal{http.StatusServiceUnavailable, RuleNotRun, cmp.Or(d.RetryAfter, retryAfterShort)}
}

// rejectedByFull reports whether a full server rejected an attempt of this instance whose end
// isn't recorded yet.
func (e *Edge) rejectedByFull(a *attempt) bool {
	if a.result != health.Shed {
		return false
	}
	_, full := e.state.placer.ServerFull(placement.Hash(a.choice.Server.ID), 1, e.now())
	return full || a.choice.MustQueue()
}

// hasSlotElsewhere reports whether another server than the given one may have room for a
// request. It is assumed unless servers of the service are known to be full.
func (e *Edge) hasSlotElsewhere(c *call, server string) bool {
	now := e.now()
	if !e.state.admission.Active(placement.Hash(c.service), now) {
		return true
	}
	return e.state.placer.HasFreeSlot(c.service, server, now)
}

// admissionEnabled reports whether requests may be rejected because servers are full. Nothing is
// recorded otherwise, so that admission is never active.
func (e *Edge) admissionEnabled() bool {
	return e.settings.Admission && e.mechanisms.Enabled(mechanism.Admission)
}

// recordForAdmission records the start or end of an attempt of any instance.
func (e *Edge) recordForAdmission(a evidence.Attempt, now time.Duration) {
	name, full := e.state.placer.ServerFull(a.Server, 0, now)
	if name == "" || !e.admissionEnabled() {
		return
	}
	c, service := e.state.admission, placement.Hash(name)
	if rank, started := a.RequestOutcome.StartedRank(); started {
		c.RecordStarted(service, rank, now)
	}
	if !a.Ended {
		return
	}
	switch {
	case full && a.Result == health.Shed:
		c.RecordRejected(service, true, now)
	case full && a.Result == health.Incomplete:
		c.RecordBroken(service, now)
	case !a.RequestOutcome.Final() && a.Result != health.Timeout:
		if a.Result != health.Cancelled {
			c.RecordRepeated(service, now)
		}
	case a.Result == health.Shed:
		c.RecordRejected(service, false, now)
	default:
		c.RecordAccepted(service, now)
	}
}

// recordUnserved records a request of any instance that wasn't served, apart from the end of
// an attempt.
func (e *Edge) recordUnserved(u evidence.Unserved, now time.Duration) {
	switch {
	case !e.admissionEnabled():
	case u.NotAdmitted > 0:
		e.state.admission.RecordNotAdmitted(u.Service, int(u.NotAdmitted)-1, now)
	case u.Abandoned:
		// It has used what its server had to offer. Left out, abandoned requests would count as
		// demand that the servers can't handle, and admission would not end.
		e.state.admission.RecordAccepted(u.Service, now)
	}
}

// unserved returns the report of a request that wasn't served.
func (c *call) unserved() evidence.Unserved {
	u := evidence.Unserved{Service: placement.Hash(c.service), Abandoned: c.abandoned}
	if c.notAdmitted {
		u.NotAdmitted = uint8(min(max(c.rank, 0), math.MaxUint8-1)) + 1
	}
	return u
}

// setAdmissionLoad reports the load of the servers of a service.
func (e *Edge) setAdmissionLoad(service string, now time.Duration) {
	var l admission.Load
	l.Slots, l.Outstanding = e.state.placer.ServiceLoad(service, now)
	e.state.admission.SetLoad(placement.Hash(service), l, now)
}

// loggedAdmission is the last logged state of the admission to a service.
type loggedAdmission struct {
	active bool
	share  float64
	at     time.Duration
}

const (
	// admissionLogStep is the change of the admitted share that is logged.
	admissionLogStep = 0.1
	// admissionLogInterval is the minimum time between two lines about a service.
	admissionLogInterval = time.Second
)

// updateAdmission samples the load of the services with full servers and logs changes of the
// admission to them.
func (e *Edge) updateAdmission(now time.Duration) {
	s := &e.state
	for _, id := range s.admission.Watched(now) {
		if name, ok := s.placer.ServiceName(id); ok {
			e.setAdmissionLoad(name, now)
			e.logAdmission(name, now)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.admissionLogged)) {
		e.logAdmission(name, now)
	}
}

// logAdmission logs the admission to a service if it has changed since the last line.
func (e *Edge) logAdmission(name string, now time.Duration) {
	s := &e.state
	last, known := s.admissionLogged[name]
	st := s.admission.Status(placement.Hash(name), now)
	if known && now-last.at < admissionLogInterval {
		return
	}
	if st.Active == last.active && (!st.Active || math.Abs(st.Share-last.share) < admissionLogStep) {
		return
	}
	if st.Active {
		s.admissionLogged[name] = loggedAdmission{st.Active, st.Share, now}
	} else {
		delete(s.admissionLogged, name)
	}
	if !e.budget.Allow(now, 1) {
		return
	}
	ranks := make(map[int]float64)
	for rank, share := range st.RankShares {
		ranks[rank] = round3(share)
	}
	event.AdmissionChanged.Log(e.log, slog.String("service", name), slog.Bool("active", st.Active),
		slog.Float64("share", round3(st.Share)), slog.Any("rank_shares", ranks),
		slog.Float64("rejected_by_full", round3(st.RejectedByFull)),
		slog.Float64("utilization", round3(st.Utilization)), slog.Float64("demand", round3(st.Demand)))
}

// addAdmission adds the admission to a service to its status.
func (e *Edge) addAdmission(st *ServiceStatus, now time.Duration) {
	a := e.state.admission.Status(placement.Hash(st.Service), now)
	st.AdmissionActive, st.AdmittedShare, st.RejectedByFull = a.Active, round3(a.Share), round3(a.RejectedByFull)
	for rank, share := range a.RankShares {
		if st.AdmittedByPriority == nil {
			st.AdmittedByPriority = make(map[int]float64)
		}
		st.AdmittedByPriority[rank] = round3(share)
	}
}
