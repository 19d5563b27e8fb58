package health_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"foxtailspoke/health"
)

const ms = time.Millisecond

// deployment is one of the sizes of today, as far as the trial needs it.
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
	// use is the share of the slots that the callers keep busy.
	use float64
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
	medianWork  = 20 * ms
	workSpread  = 0.5 // sigma of the log-normal work time
	timeout     = time.Second
	betweenDCs  = 3 * ms / 2
	connectTime = ms
	shedWait    = 300 * ms
	background  = 0.002 // share of failures at healthy servers
)

// shares are the workspaces' shares of the requests: a few are large.
var shares = []float64{0.3, 0.2, 0.15, 0.08, 0.07, 0.06, 0.05, 0.04, 0.03, 0.02}

// server is a fake backend server. Its slots work in order of arrival, so
// that the end of an attempt is known at its start.
type server struct {
	id         string
	index      int
	service    *service
	dataCentre int
	freeAt     []time.Duration
	ownReport  bool // healthy, by its own report
}

type service struct {
	serviceSize
	servers []*server
	timeout time.Duration
}

// answer is the scripted end of an attempt.
type answer struct {
	result  health.Result
	latency time.Duration
}

// fault changes what a server does from faultStart to faultEnd.
type fault struct {
	name string
	// service is the index of the deployment's service that has it.
	service int
	// sick servers are those whose detection counts; others are healthy.
	sick map[int]bool
	// slow is the factor on the work time.
	slow func(t time.Duration, s *server) float64
	// bad replaces the result; OK leaves it.
	bad func(t time.Duration, s *server, workspace, instance int, rng *rand.Rand) health.Result
	// busySlots are taken by something else.
	busySlots func(s *server) int
	// workspace whose weight shows the detection; -1 for any.
	workspace int
	// probe is what a probe meets; nil for OK at healthy servers only.
	probeOK bool
	// ownReport is what servers say of themselves.
	ownReport func(s *server) bool
	// instanceFault marks faults that aren't a server's.
	harmless bool
}

const (
	faultStart = 15 * time.Second
	faultEnd   = 45 * time.Second
	trialEnd   = 45 * time.Second
)

func (f *fault) active(t time.Duration) bool { return t >= faultStart && t < faultEnd }

// attempt scripts one attempt and occupies the server's slot.
func (w *world) attempt(t time.Duration, s *server, workspace, instance int) answer {
	f := w.fault
	network := connectTime
	if s.dataCentre != instance%w.deployment.dataCentres {
		network += 2 * betweenDCs
	}
	result := health.OK
	if w.rng.Float64() < background {
		result = health.ServerError
	}
	factor := 1.0
	if mine := f.service == w.serviceIndex(s.service); f.active(t) && (mine || f.harmless) {
		if mine && f.slow != nil {
			factor = f.slow(t, s)
		}
		if f.bad != nil {
			if r := f.bad(t, s, workspace, instance, w.rng); r != health.OK {
				result = r
			}
		}
	}
	if result == health.ConnectFailed {
		return answer{result, connectTime}
	}
	wait, shed := s.work(t, w.workTime(factor), w.busy(t, s))
	latency := wait + network
	switch {
	case shed:
		return answer{health.Shed, network}
	case result == health.Timeout || latency > s.service.timeout:
		return answer{health.Timeout, s.service.timeout}
	default:
		return answer{result, latency}
	}
}

func (w *world) busy(t time.Duration, s *server) int {
	if w.fault.busySlots == nil || !w.fault.active(t) || w.fault.service != w.serviceIndex(s.service) {
		return 0
	}
	return w.fault.busySlots(s)
}

func (w *world) workTime(factor float64) time.Duration {
	return time.Duration(float64(medianWork) * factor * math.Exp(workSpread*w.rng.NormFloat64()))
}

// work takes the first slot that gets free and returns wait and work time.
func (s *server) work(t, d time.Duration, busy int) (time.Duration, bool) {
	first := 0
	for i := range s.freeAt[:len(s.freeAt)-busy] {
		if s.freeAt[i] < s.freeAt[first] {
			first = i
		}
	}
	start := max(t, s.freeAt[first])
	if start-t > shedWait {
		return 0, true
	}
	s.freeAt[first] = start + d
	return start + d - t, false
}

func only(servers ...int) map[int]bool {
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

// failing answers with r to a share of the requests of some servers.
func failing(r health.Result, share float64, servers map[int]bool) func(time.Duration, *server, int, int, *rand.Rand) health.Result {
	return func(_ time.Duration, s *server, _, _ int, rng *rand.Rand) health.Result {
		if servers[s.index] && rng.Float64() < share {
			return r
		}
		return health.OK
	}
}

// faults are the kinds of the trial, at the given service.
func faults(service, dataCentres int) []*fault {
	one := only(0)
	list := []*fault{
		{name: "none"},
		{name: "slow x3", sick: one, slow: slowBy(3, one), probeOK: true},
		{name: "slow x10", sick: one, slow: slowBy(10, one)},
		{name: "half answers 1 in 5", sick: one, bad: failing(health.Incomplete, 0.2, one), probeOK: true},
		{name: "errors, two servers", sick: only(0, 1), bad: failing(health.ServerError, 1, only(0, 1))},
		{name: "one workspace at one server", sick: one, workspace: 4, probeOK: true, bad: func(_ time.Duration, s *server, w, _ int, _ *rand.Rand) health.Result {
			if s.index == 0 && w == 4 {
				return health.ServerError
			}
			return health.OK
		}},
		{name: "one workspace's bad requests", bad: func(_ time.Duration, _ *server, w, _ int, rng *rand.Rand) health.Result {
			if w == 4 && rng.Float64() < 0.7 {
				return health.ServerError
			}
			return health.OK
		}},
		{name: "own report lies both ways", sick: one, probeOK: true, bad: failing(health.ServerError, 0.6, one), ownReport: func(s *server) bool { return s.index != 1 }},
		{name: "answers lost one way", sick: one, bad: failing(health.Timeout, 1, one)},
		{name: "flapping 4 s", sick: one, probeOK: true, bad: func(t time.Duration, s *server, _, _ int, _ *rand.Rand) health.Result {
			if s.index == 0 && t/(4*time.Second)%2 == 0 {
				return health.ConnectFailed
			}
			return health.OK
		}},
		{name: "whole service slow x3", slow: slowBy(3, nil), probeOK: true},
		{name: "slow by load alone", probeOK: true, busySlots: func(s *server) int {
			if s.index == 0 {
				return len(s.freeAt) - len(s.freeAt)/2
			}
			return 0
		}},
		{name: "one instance's bad network", harmless: true, bad: func(_ time.Duration, _ *server, _, i int, rng *rand.Rand) health.Result {
			if i == 3 && rng.Float64() < 0.5 {
				return health.Timeout
			}
			return health.OK
		}},
		{name: "one data centre cut from one server", harmless: true, bad: func(_ time.Duration, s *server, _, i int, _ *rand.Rand) health.Result {
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
