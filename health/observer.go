package health

import (
	"maps"
	"math/rand/v2"
	"time"
)

// Observer collects the evidence of one instance on the servers that it uses.
type Observer struct {
	settings Settings
	rng      *rand.Rand
	services map[string]*serviceEvidence
	// pending is the set of services with observations to report.
	pending map[string]struct{}
	// reportBytes is the remaining report budget in bytes. It refills at
	// ReportBytes per second.
	reportBytes float64
	refilledAt  time.Duration
}

// serviceEvidence is the evidence on the servers of one service.
type serviceEvidence struct {
	name      string
	latencies latencyHistogram
	failed    *outcomeStats
	late      *outcomeStats
	// shed is the time of the last Shed result of each server.
	shed map[string]time.Duration
	// advice is the last advice of the service's collector.
	advice    map[string]Suspect
	advisedAt time.Duration
	pending   pending
	// lateShare is the moving average of the share of late responses.
	lateShare float64
	// lastLateServer is the server with the last late response.
	lastLateServer string
	// unsampled counts the latencies skipped since the last sample.
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

// Observe records the result of an attempt, or that the attempt is late.
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

// updateLateShare updates the share of late responses, for servers that aren't
// suspect. Consecutive late responses of the same server count once, so that one
// slow server doesn't make the service count as slow.
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

// recordLatency adds a latency to the distribution. While the whole service is
// slow, only one in slowSampling is added. Otherwise the slowness would become the
// baseline within seconds, hedging would resume, and random differences between
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

// countedOutcomes says in which statistics an observation counts.
type countedOutcomes struct{ failed, late bool }

// classify returns whether an observation is failed or late, and the statistics
// in which it counts.
func (o *Observer) classify(v *serviceEvidence, ob Observation) (failed, late bool, c countedOutcomes) {
	switch ob.Result {
	case Late:
		return false, true, countedOutcomes{late: true}
	case Shed:
		// A shed request indicates load, like a late response: the weight of the
		// server is lowered first, and it becomes suspect only if it keeps
		// shedding.
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
	// lateShareWindow is the number of responses over which lateShare averages.
	lateShareWindow = 24
	// slowServiceShare is the share of late responses above which the service as
	// a whole is slow.
	slowServiceShare = 0.2
	// slowSampling is the sampling interval of latencies while the service is
	// slow.
	slowSampling = 8
)

// HedgeDelay returns the delay after which a request may be hedged, and whether it
// may be hedged at all. Hedging helps against a few slow servers. While the whole
// service is slow, it would only add load.
func (o *Observer) HedgeDelay(service string) (time.Duration, bool) {
	v := o.service(service)
	return o.lateThreshold(v), !v.slow()
}

// LateThreshold returns how long a response of the service may take before the
// attempt is late. The caller then observes it as Late.
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

// SetServers drops the evidence on servers that aren't in use any more: stopped,
// leaving or ejected. Call it when the list or the permits change. A readmitted
// server starts without evidence, since what was known of it predates the
// ejection.
func (o *Observer) SetServers(service string, inUse []string) {
	v := o.service(service)
	keep := make(map[string]bool, len(inUse))
	for _, id := range inUse {
		keep[id] = true
	}
	unused := func(id string) bool { return !keep[id] }
	for _, l := range []*outcomeStats{v.failed, v.late} {
		for id := range l.byServer {
			if unused(id) {
				l.removeServer(id)
			}
		}
	}
	maps.DeleteFunc(v.shed, func(id string, _ time.Duration) bool { return unused(id) })
	maps.DeleteFunc(v.advice, func(id string, _ Suspect) bool { return unused(id) })
}
