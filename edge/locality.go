package edge

import (
	"cmp"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailspoke/edge/settings"
	"foxtailspoke/event"
	"foxtailspoke/fleet"
	"foxtailspoke/locality"
	"foxtailspoke/mechanism"
	"foxtailspoke/placement"
	"foxtailspoke/routing"
)

const (
	// locallyHeardWithin and minHeardShare: an instance that has received messages of fewer
	// others within that time has other figures than these, and uses the fixed cost.
	locallyHeardWithin = time.Second
	minHeardShare      = 0.5
	// minSlowLinkShare is the share of instances with slow links above which the bytes between
	// data centres are scarce enough for a plan.
	minSlowLinkShare = 0.5
	// loggedShareChange is the change of a share that is logged.
	loggedShareChange = 0.1
)

// localityPlans has the plan of each service for the requests that leave their data centre.
type localityPlans struct {
	demand   *locality.Demand
	services map[string]*servicePlan
	// inEffect is set while the plans apply; otherwise the fixed cost does.
	inEffect  bool
	updatedAt time.Duration
}

type servicePlan struct {
	planner *locality.Planner
	picker  *locality.Picker
	plan    locality.Plan
	// logged is the leaving share in the last log line.
	logged float64
}

// newLocalityPlans returns the plans, nil if the settings don't ask for any.
func newLocalityPlans(s settings.Settings) *localityPlans {
	if s.CrossDataCentre.Plan != settings.PlanAuto || !s.Trial.Disabled().Enabled(mechanism.Locality) {
		return nil
	}
	return &localityPlans{demand: locality.NewDemand(), services: make(map[string]*servicePlan)}
}

// countDemand counts a first attempt of this instance.
func (e *Edge) countDemand(service string) {
	if l := e.state.locality; l != nil {
		l.demand.Add(placement.Hash(service), e.settings.DataCentre, 1)
	}
}

// applyDemand counts the first attempts that another instance reports.
func (e *Edge) applyDemand(m *fleet.ReceivedMessage) {
	l := e.state.locality
	if l == nil {
		return
	}
	run := locality.Run{Instance: m.Source, Epoch: m.Epoch, DataCentre: m.From.DataCentre}
	for _, a := range m.ServiceAttempts {
		l.demand.ApplyTotal(run, a.Service, a.Requests)
	}
}

// forgetDemand drops the totals of an instance that is silent.
func (e *Edge) forgetDemand(instance uint32) {
	if l := e.state.locality; l != nil {
		l.demand.Forget(instance)
	}
}

// updateLocality updates the plans; it is called at every tick. The lock must be held.
func (e *Edge) updateLocality(now time.Duration) {
	l := e.state.locality
	if l == nil {
		return
	}
	slowLinks, heard := e.planConditions(now)
	l.inEffect = slowLinks && heard
	elapsed, demand := now-l.updatedAt, l.demand.Take()
	first := l.updatedAt == 0
	l.updatedAt = now
	if first || elapsed <= 0 {
		// How long it took for these requests to arrive is unknown.
		return
	}
	if !slowLinks {
		for name, s := range l.services {
			e.logLeavingShare(name, s, now)
		}
		clear(l.services)
		return
	}
	for name, capacities := range e.state.placer.Capacities(now) {
		s, ok := l.services[name]
		if !ok {
			s = &servicePlan{
				planner: locality.NewPlanner(regionDistance(e.topology)),
				picker:  locality.NewPicker(e.settings.DataCentre, rand.Float64()),
			}
			l.services[name] = s
		}
		s.planner.Update(localityFigures(demand[placement.Hash(name)], capacities, elapsed), now)
		s.plan = s.planner.Plan(e.settings.DataCentre)
		e.logLeavingShare(name, s, now)
	}
}

// planConditions reports whether most instances have slow links, and whether enough of the others
// have sent messages recently for this instance to have the fleet's figures.
func (e *Edge) planConditions(now time.Duration) (slowLinks, heard bool) {
	others, recent, slow, alive := 0, 0, 0, 1
	if e.hasSlowLink() {
		slow++
	}
	for _, m := range e.state.messenger.Fleet().All() {
		others++
		if now-m.LastHeard <= locallyHeardWithin {
			recent++
		}
		if m.Alive {
			alive++
			if m.SlowLink {
				slow++
			}
		}
	}
	return float64(slow) > minSlowLinkShare*float64(alive), float64(recent) >= minHeardShare*float64(others)
}

// localityFigures returns the figures of a service, for all data centres that have requests or
// servers.
func localityFigures(
	demand map[string]int, capacities map[string]placement.Capacity, elapsed time.Duration,
) []locality.Figures {
	var list []locality.Figures
	for dataCentre, c := range capacities {
		list = append(list, locality.Figures{
			DataCentre: dataCentre, Demand: float64(demand[dataCentre]) / elapsed.Seconds(),
			Capacity: c.RequestsPerSecond, Slots: c.Slots, Waiting: float64(c.Waiting),
		})
	}
	for dataCentre, n := range demand {
		if _, hasServers := capacities[dataCentre]; !hasServers {
			list = append(list, locality.Figures{DataCentre: dataCentre, Demand: float64(n) / elapsed.Seconds()})
		}
	}
	slices.SortFunc(list, func(a, b locality.Figures) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}

// regionDistance returns a distance by which data centres of the same region are nearest. The
// latency that an instance measures would differ from that of others, and so would the plan.
func regionDistance(t routing.Topology) locality.Distance {
	return func(from, to string) int {
		if t[from] == t[to] {
			return 0
		}
		return 1
	}
}

// planCrossing sets in which data centre a request is to be served. Requests that are sent again
// aren't planned: they have lost time, and few servers are left for them.
func (e *Edge) planCrossing(r *placement.Request) {
	l := e.state.locality
	if l == nil || !l.inEffect || len(r.TriedServers) > 0 {
		return
	}
	if s, ok := l.services[r.Service]; ok {
		r.PlannedDataCentre = s.picker.Pick(s.plan.To, r.AllowedDataCentres)
		r.LeavingCost = placement.LeavingCost(r.SizeKB, e.settings.CrossDataCentre.PricePerKB())
	}
}

// leavingShare returns the share of this data centre's requests to a service that leaves by
// plan, and why.
func (e *Edge) leavingShare(service string) (share float64, reason string) {
	l := e.state.locality
	if l == nil || !l.inEffect || l.services[service] == nil {
		return 0, locality.None.String()
	}
	plan := l.services[service].plan
	return plan.Leaving(), plan.Reason.String()
}

// logLeavingShare logs that a share begins, ends, or has changed much since the last line.
func (e *Edge) logLeavingShare(service string, s *servicePlan, now time.Duration) {
	share, reason := e.leavingShare(service)
	if (share > 0) == (s.logged > 0) && math.Abs(share-s.logged) < loggedShareChange {
		return
	}
	if !e.budget.Allow(now, routineLogShare) {
		return
	}
	event.LeavingShareChanged.Log(e.log, slog.String("service", service), slog.Float64("share", round3(share)),
		slog.Float64("before", round3(s.logged)), slog.String("reason", reason),
		slog.Float64("demand", round3(s.plan.Demand)), slog.Float64("capacity", round3(s.plan.Capacity)))
	s.logged = share
}
