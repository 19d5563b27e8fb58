package health

import (
	"maps"
	"math/rand/v2"
	"time"
)

// Observer is one instance's own evidence on the servers that it uses.
type Observer struct {
	settings Settings
	rng      *rand.Rand
	services map[string]*serviceView
	// pending are the services with something to report.
	pending map[string]struct{}
	// reportBytes is what may be sent now; it refills by ReportBytes a second.
	reportBytes float64
	refilled    time.Duration
}

// serviceView is the evidence on one service's servers.
type serviceView struct {
	name      string
	latencies latencyHistogram
	failed    *outcomeStats
	late      *outcomeStats
	// shed is when a server last refused for want of room.
	shed map[string]time.Duration
	// advice is what the service's collector said last.
	advice    map[string]Suspect
	advisedAt time.Duration
	pending   pending
	// lateShare is the share of late answers among the last ones.
	lateShare float64
	// lastLate is the server that answered late last.
	lastLate string
	// skipped counts the latencies not learnt from since the last one.
	skipped int
}

// NewObserver returns an observer without evidence.
func NewObserver(s Settings, rng *rand.Rand) *Observer {
	return &Observer{
		settings:    s,
		rng:         rng,
		services:    map[string]*serviceView{},
		pending:     map[string]struct{}{},
		reportBytes: s.ReportBytes,
	}
}

// Observe takes in how an attempt went, or that it is late.
func (o *Observer) Observe(now time.Duration, ob Observation) {
	v := o.view(ob.Service)
	failed, late, counts := o.classify(v, ob)
	if counts.failed {
		v.failed.add(now, ob.Server, source{workspace: ob.Workspace}, 1, one(failed))
	}
	if counts.late {
		v.late.add(now, ob.Server, source{workspace: ob.Workspace}, 1, one(late))
		o.noteLate(now, v, ob.Server, late)
	}
	if ob.Result == Shed {
		v.shed[ob.Server] = now
	}
	if ob.Result == OK && o.suspicionScore(now, v, ob.Server, "") < suspectScore {
		v.learn(ob.Latency)
	}
	v.pending.record(now, v, ob, failed, late, counts)
	if len(v.pending.servers) > 0 {
		o.pending[ob.Service] = struct{}{}
	}
}

// noteLate follows the share of late answers of servers beyond suspicion. One
// server that is late again and again doesn't make the service slow.
func (o *Observer) noteLate(now time.Duration, v *serviceView, server string, late bool) {
	repeated := late && server == v.lastLate
	if late {
		v.lastLate = server
	}
	if repeated || o.Weight(now, v.name, server, "") < 1 {
		return
	}
	v.lateShare += (one(late) - v.lateShare) / lateShareWindow
	v.late.setBaseline(v.lateShare, o.settings.judgedLateShare(), o.settings.SickLateShare)
}

// learn takes a latency into what counts as usual. While the whole service is
// slow, it learns slowly: otherwise the slowness would pass for usual within
// seconds, hedges would start again, and chance differences between
// overloaded servers would count against them.
func (v *serviceView) learn(latency time.Duration) {
	v.skipped++
	if v.slow() && v.skipped < slowLearning {
		return
	}
	v.skipped = 0
	v.latencies.add(latency)
}

// slow reports whether the service as a whole is slower than usual.
func (v *serviceView) slow() bool { return v.lateShare > slowShare }

// counted says which ledgers an observation belongs to.
type counted struct{ failed, late bool }

// classify tells which way an observation is bad, and where it counts.
func (o *Observer) classify(v *serviceView, ob Observation) (failed, late bool, c counted) {
	switch ob.Result {
	case Late:
		return false, true, counted{late: true}
	case Shed:
		// A refusal for want of room is about load, like lateness: the server
		// gets less first, and is suspect only if it goes on refusing then.
		return false, true, counted{late: true}
	case NotRun, Cancelled:
		return false, false, counted{}
	case OK:
		late = !ob.WasLate && ob.Latency > o.lateAfter(v)
		return false, late, counted{failed: true, late: !ob.WasLate}
	default:
		return ob.Result.Failed(), false, counted{failed: true}
	}
}

const (
	// lateShareWindow is over about how many answers lateShare goes.
	lateShareWindow = 24
	// slowShare is the share of late answers above which the service as a
	// whole is slow.
	slowShare = 0.2
	// slowLearning is one in how many latencies is learnt from then.
	slowLearning = 8
)

// HedgeAfter returns after how long a second server may be asked, or false.
// It is for the sake of a few slow servers. While the whole service is slow,
// second copies would only slow it further.
func (o *Observer) HedgeAfter(service string) (time.Duration, bool) {
	v := o.view(service)
	return o.lateAfter(v), !v.slow()
}

// LateAfter returns how long an answer of the service may take before it is
// late, and is to be observed as Late.
func (o *Observer) LateAfter(service string) time.Duration {
	return o.lateAfter(o.view(service))
}

func (o *Observer) lateAfter(v *serviceView) time.Duration {
	if v.latencies.count < minLatencySamples {
		return o.settings.InitialLate
	}
	median := v.latencies.quantile(0.5)
	return max(v.latencies.quantile(1-o.settings.LateShare), 2*median, median+o.settings.MinSlack)
}

func (o *Observer) view(service string) *serviceView {
	v, ok := o.services[service]
	if !ok {
		s := o.settings
		v = &serviceView{
			name:   service,
			failed: newOutcomeStats(s.FailureShare, s.SickFailureShare, s.LocalMemory),
			late:   newOutcomeStats(s.judgedLateShare(), s.SickLateShare, s.LocalMemory),
			shed:   map[string]time.Duration{},
			advice: map[string]Suspect{},
		}
		o.services[service] = v
	}
	return v
}

func one(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// SetServers drops what is held against servers that aren't in use any more:
// ended, leaving or ejected. Call it when the list or the permits change. A
// server that returns from an ejection is judged anew, because what was known
// of it is as old as the ejection.
func (o *Observer) SetServers(service string, inUse []string) {
	v := o.view(service)
	keep := make(map[string]bool, len(inUse))
	for _, id := range inUse {
		keep[id] = true
	}
	gone := func(id string) bool { return !keep[id] }
	for _, l := range []*outcomeStats{v.failed, v.late} {
		for id := range l.byServer {
			if gone(id) {
				l.removeServer(id)
			}
		}
	}
	maps.DeleteFunc(v.shed, func(id string, _ time.Duration) bool { return gone(id) })
	maps.DeleteFunc(v.advice, func(id string, _ Suspect) bool { return gone(id) })
}
