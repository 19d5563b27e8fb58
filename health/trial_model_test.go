package health_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"foxtailspoke/health"
)

const ms = time.Millisecond

// deployment describes the size of a present-day deployment.
type deployment struct {
	name        string
	instances   int
	dataCentres int
	services    []serviceSize
}

type serviceSize struct {
	name       string
	servers    int
	slots      int
	floor      int
	idempotent bool
	// utilization is the mean share of the slots in use.
	utilization float64
}

var (
	dimaculangan = deployment{name: "Dimaculangan", instances: 38, dataCentres: 4, services: []serviceSize{
		{"catalogue", 10, 2, 7, true, 0.3},
		{"ordering", 15, 2, 10, false, 0.3},
	}}
	kervan = deployment{name: "Kervan", instances: 38, dataCentres: 3, services: []serviceSize{
		{"archive", 10, 6, 7, true, 0.2},
		{"editorial", 5, 6, 3, true, 0.05},
		{"dispatch", 15, 6, 10, false, 0.1},
	}}
)

const (
	medianWorkTime    = 20 * ms
	workTimeSigma     = 0.5 // of the log-normal distribution
	timeout           = time.Second
	dataCentreLatency = 3 * ms / 2
	networkLatency    = ms
	maxQueueTime      = 300 * ms
	baseFailureShare  = 0.002 // share of failures at healthy servers
)

// workspaceShares are the shares of the workspaces in the requests: a few are large.
var workspaceShares = []float64{0.3, 0.2, 0.15, 0.08, 0.07, 0.06, 0.05, 0.04, 0.03, 0.02}

// server is a simulated backend server. Its slots serve requests in order of
// arrival, so that the end of an attempt is known at its start.
type server struct {
	id         string
	index      int
	service    *service
	dataCentre int
	freeAt     []time.Duration
	ownReport  bool // reports itself as healthy
}

type service struct {
	serviceSize
	servers []*server
	timeout time.Duration
}

// response is the simulated result of an attempt.
type response struct {
	result  health.Result
	latency time.Duration
}

// fault changes the behaviour of servers or the network from faultStart to faultEnd.
type fault struct {
	name string
	// service is the index of the affected service in the deployment.
	service int
	// sick is the set of servers, by index, that should be detected. All others
	// are healthy.
	sick map[int]bool
	// slowdown returns the factor by which the work time grows.
	slowdown func(t time.Duration, s *server) float64
	// badResult returns the result that replaces the regular one, or OK to keep
	// it.
	badResult func(t time.Duration, s *server, workspace, instance int, rng *rand.Rand) health.Result
	// busySlots returns the number of slots taken by other load.
	busySlots func(s *server) int
	// workspace is the index of the workspace whose weights show the detection;
	// -1 for any.
	workspace int
	// probesSucceed says that probes succeed at sick servers too.
	probesSucceed bool
	// ownReport returns whether a server reports itself as healthy.
	ownReport func(s *server) bool
	// serversHealthy marks faults that lie outside the servers. They affect all
	// services.
	serversHealthy bool
}

const (
	faultStart = 15 * time.Second
	faultEnd   = 45 * time.Second
	trialEnd   = 45 * time.Second
)

func (f *fault) active(t time.Duration) bool { return t >= faultStart && t < faultEnd }

// attempt simulates one attempt and occupies a slot of the server.
func (w *simulation) attempt(t time.Duration, s *server, workspace, instance int) response {
	f := w.fault
	network := networkLatency
	if s.dataCentre != instance%w.deployment.dataCentres {
		network += 2 * dataCentreLatency
	}
	result := health.OK
	if w.rng.Float64() < baseFailureShare {
		result = health.ServerError
	}
	factor := 1.0
	if affected := f.service == w.serviceIndex(s.service); f.active(t) && (affected || f.serversHealthy) {
		if affected && f.slowdown != nil {
			factor = f.slowdown(t, s)
		}
		if f.badResult != nil {
			if r := f.badResult(t, s, workspace, instance, w.rng); r != health.OK {
				result = r
			}
		}
	}
	if result == health.ConnectFailed {
		return response{result, networkLatency}
	}
	wait, shed := s.occupySlot(t, w.workTime(factor), w.busy(t, s))
	latency := wait + network
	switch {
	case shed:
		return response{health.Shed, network}
	case result == health.Timeout || latency > s.service.timeout:
		return response{health.Timeout, s.service.timeout}
	default:
		return response{result, latency}
	}
}

func (w *simulation) busy(t time.Duration, s *server) int {
	if w.fault.busySlots == nil || !w.fault.active(t) || w.fault.service != w.serviceIndex(s.service) {
		return 0
	}
	return w.fault.busySlots(s)
}

func (w *simulation) workTime(factor float64) time.Duration {
	return time.Duration(float64(medianWorkTime) * factor * math.Exp(workTimeSigma*w.rng.NormFloat64()))
}

// occupySlot assigns a request to the slot that is free first, and returns the sum of
// queue time and work time. It returns true if the server sheds the request.
func (s *server) occupySlot(t, d time.Duration, busy int) (time.Duration, bool) {
	first := 0
	for i := range s.freeAt[:len(s.freeAt)-busy] {
		if s.freeAt[i] < s.freeAt[first] {
			first = i
		}
	}
	start := max(t, s.freeAt[first])
	if start-t > maxQueueTime {
		return 0, true
	}
	s.freeAt[first] = start + d
	return start + d - t, false
}

func serverSet(servers ...int) map[int]bool {
	m := map[int]bool{}
	for _, s := range servers {
		m[s] = true
	}
	return m
}

func slowBy(factor float64, servers map[int]bool) func(time.Duration, *server) float64 {
	return func(_ time.Duration, s *server) float64 {
		if servers == nil || servers[s.index] {
			return factor
		}
		return 1
	}
}

// failing returns r for a share of the requests to the given servers.
func failing(r health.Result, share float64, servers map[int]bool) func(time.Duration, *server, int, int, *rand.Rand) health.Result {
	return func(_ time.Duration, s *server, _, _ int, rng *rand.Rand) health.Result {
		if servers[s.index] && rng.Float64() < share {
			return r
		}
		return health.OK
	}
}

// faults returns the faults of the trial, at the given service.
func faults(service, dataCentres int) []*fault {
	one := serverSet(0)
	list := []*fault{
		{name: "none"},
		{name: "slow x3", sick: one, slowdown: slowBy(3, one), probesSucceed: true},
		{name: "slow x10", sick: one, slowdown: slowBy(10, one)},
		{name: "1 in 5 responses truncated", sick: one, badResult: failing(health.Incomplete, 0.2, one), probesSucceed: true},
		{name: "errors, two servers", sick: serverSet(0, 1), badResult: failing(health.ServerError, 1, serverSet(0, 1))},
		{name: "one workspace at one server", sick: one, workspace: 4, probesSucceed: true, badResult: func(_ time.Duration, s *server, w, _ int, _ *rand.Rand) health.Result {
			if s.index == 0 && w == 4 {
				return health.ServerError
			}
			return health.OK
		}},
		{name: "one workspace's bad requests", badResult: func(_ time.Duration, _ *server, w, _ int, rng *rand.Rand) health.Result {
			if w == 4 && rng.Float64() < 0.7 {
				return health.ServerError
			}
			return health.OK
		}},
		{name: "wrong own reports", sick: one, probesSucceed: true, badResult: failing(health.ServerError, 0.6, one), ownReport: func(s *server) bool { return s.index != 1 }},
		{name: "responses lost one way", sick: one, badResult: failing(health.Timeout, 1, one)},
		{name: "flapping 4 s", sick: one, probesSucceed: true, badResult: func(t time.Duration, s *server, _, _ int, _ *rand.Rand) health.Result {
			if s.index == 0 && t/(4*time.Second)%2 == 0 {
				return health.ConnectFailed
			}
			return health.OK
		}},
		{name: "whole service slow x3", slowdown: slowBy(3, nil), probesSucceed: true},
		{name: "slow by other load", probesSucceed: true, busySlots: func(s *server) int {
			if s.index == 0 {
				return len(s.freeAt) - len(s.freeAt)/2
			}
			return 0
		}},
		{name: "one instance's bad network", serversHealthy: true, badResult: func(_ time.Duration, _ *server, _, i int, rng *rand.Rand) health.Result {
			if i == 3 && rng.Float64() < 0.5 {
				return health.Timeout
			}
			return health.OK
		}},
		{name: "one data centre cut from one server", serversHealthy: true, badResult: func(_ time.Duration, s *server, _, i int, _ *rand.Rand) health.Result {
			if i%dataCentres == 0 && s.index == 0 {
				return health.Timeout
			}
			return health.OK
		}},
	}
	for _, f := range list {
		f.service = service
		if f.workspace == 0 {
			f.workspace = -1
		}
	}
	return list
}

func newServices(d deployment) []*service {
	var list []*service
	for _, size := range d.services {
		s := &service{serviceSize: size, timeout: timeout}
		for i := range size.servers {
			s.servers = append(s.servers, &server{
				id: fmt.Sprintf("%s-%d", size.name, i), index: i, service: s,
				dataCentre: i % d.dataCentres, freeAt: make([]time.Duration, size.slots), ownReport: true,
			})
		}
		list = append(list, s)
	}
	return list
}
