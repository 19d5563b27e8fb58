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
	services map[string]*serviceEvidence
	// pending are the services with something to report.
	pending map[string]struct{}
	// reportBytes is what may be sent now; it refills by ReportBytes a second.
	reportBytes float64
	refilledAt  time.Duration
}

// serviceEvidence is the evidence on one service's servers.
type serviceEvidence struct {
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
	// lastLateServer is the server that answered late last.
	lastLateServer string
	// unsampled counts the latencies not learnt from since the last one.
	unsampled int
}

// NewObserver returns an observer without evidence.
func NewObserver(s Settings, rng *rand.Rand) *Observer {
	return &Observer{
		settings:    s,
		rng:         rng,
		services:    map[string]*serviceEvidence{},
		pending:     map[string]struct{}{},
		reportBytes: s.ReportBytes,
	}
}

// Observe takes in how an attempt went, or that it is late.
func (o *Observer) Observe(now time.Duration, ob Observation) {
	v := o.service(ob.Service)
	failed, late, counts := o.classify(v, ob)
	if counts.failed {
		v.failed.add(now, ob.Server, source{workspace: ob.Workspace}, 1, indicator(failed))
	}
	if counts.late {
		v.late.add(now, ob.Server, source{workspace: ob.Workspace}, 1, indicator(late))
		o.updateLateShare(now, v, ob.Server, late)
	}
	if ob.Result == Shed {
		v.shed[ob.Server] = now
	}
	if ob.Result == OK && o.suspicionScore(now, v, ob.Server, "") < suspectScore {
		v.recordLatency(ob.Latency)
	}
	v.pending.record(now, v, ob, failed, late, counts)
	if len(v.pending.servers) > 0 {
		o.pending[ob.Service] = struct{}{}
	}
}

// updateLateShare follows the share of late answers of servers beyond suspicion. One
// server that is late again and again doesn't make the service slow.
func (o *Observer) updateLateShare(now time.Duration, v *serviceEvidence, server string, late bool) {
	repeated := late && server == v.lastLateServer
	if late {
		v.lastLateServer = server
	}
	if repeated || o.Weight(now, v.name, server, "") < 1 {
		return
	}
	v.lateShare += (indicator(late) - v.lateShare) / lateShareWindow
	v.late.setBaseline(v.lateShare, o.settings.healthyLateShare(), o.settings.SickLateShare)
}

// recordLatency takes a latency into what counts as usual. While the whole service is
// slow, it learns slowly: otherwise the slowness would pass for usual within
// seconds, hedges would start again, and chance differences between
// overloaded servers would count against them.
func (v *serviceEvidence) recordLatency(latency time.Duration) {
	v.unsampled++
	if v.slow() && v.unsampled < slowSampling {
		return
	}
	v.unsampled = 0
	v.latencies.add(latency)
}

// slow reports whether the service as a whole is slower than usual.
func (v *serviceEvidence) slow() bool { return v.lateShare > slowServiceShare }

// countedOutcomes says which ledgers an observation belongs to.
type countedOutcomes struct{ failed, late bool }

// classify tells which way an observation is bad, and where it counts.
func (o *Observer) classify(v *serviceEvidence, ob Observation) (failed, late bool, c countedOutcomes) {
	switch ob.Result {
	case Late:
		return false, true, countedOutcomes{late: true}
	case Shed:
		// A refusal for want of room is about load, like lateness: the server
		// gets less first, and is suspect only if it goes on refusing then.
		return false, true, countedOutcomes{late: true}
	case NotRun, Cancelled:
		return false, false, countedOutcomes{}
	case OK:
		late = !ob.ReportedLate && ob.Latency > o.lateThreshold(v)
		return false, late, countedOutcomes{failed: true, late: !ob.ReportedLate}
	default:
		return ob.Result.Failed(), false, countedOutcomes{failed: true}
	}
}

const (
	// lateShareWindow is over about how many answers lateShare goes.
	lateShareWindow = 24
	// slowServiceShare is the share of late answers above which the service as a
	// whole is slow.
	slowServiceShare = 0.2
	// slowSampling is one in how many latencies is learnt from then.
	slowSampling = 8
)

// HedgeDelay returns after how long a second server may be asked, or false.
// It is for the sake of a few slow servers. While the whole service is slow,
// second copies would only slow it further.
func (o *Observer) HedgeDelay(service string) (time.Duration, bool) {
	v := o.service(service)
	return o.lateThreshold(v), !v.slow()
}

// LateThreshold returns how long an answer of the service may take before it is
// late, and is to be observed as Late.
func (o *Observer) LateThreshold(service string) time.Duration {
	return o.lateThreshold(o.service(service))
}

func (o *Observer) lateThreshold(v *serviceEvidence) time.Duration {
	if v.latencies.count < minLatencySamples {
		return o.settings.InitialLate
	}
	median := v.latencies.quantile(0.5)
	return max(v.latencies.quantile(1-o.settings.LateShare), 2*median, median+o.settings.MinSlack)
}

func (o *Observer) service(service string) *serviceEvidence {
	v, ok := o.services[service]
	if !ok {
		s := o.settings
		v = &serviceEvidence{
			name:   service,
			failed: newOutcomeStats(s.FailureShare, s.SickFailureShare, s.LocalMemory),
			late:   newOutcomeStats(s.healthyLateShare(), s.SickLateShare, s.LocalMemory),
			shed:   map[string]time.Duration{},
			advice: map[string]Suspect{},
		}
		o.services[service] = v
	}
	return v
}

func indicator(b bool) float64 {
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
	v := o.service(service)
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
