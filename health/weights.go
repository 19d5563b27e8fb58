package health

import (
	"cmp"
	"slices"
	"time"
)

const (
	// suspectScore is the score above which the weight is lowered.
	suspectScore = 2
	// minWeightScore is the score from which the weight is minWeight.
	minWeightScore = 6
	// minWeight leaves a few requests, so that evidence continues to arrive
	// and a recovered server is noticed without an ejection.
	minWeight = 0.1
	// LowWeight is the weight below which a server counts as out of use with
	// regard to the floor.
	LowWeight = 0.5
	// shedWeight is the weight right after the server refused a request
	// because of load.
	shedWeight = 0.3
	// shedRecovery is the time over which the weight recovers from
	// shedWeight to 1.
	shedRecovery = time.Second
	// adviceTTL is how long a collector's advice holds. It is longer than
	// Settings.Relief: if the load returned to a relieved server while it is
	// still being judged, the server would be ejected for slowness that the
	// load causes.
	adviceTTL = 12 * time.Second
)

// Weight returns a server's weight for a workspace's requests, without
// regard to the floor. It is 1 if there is no evidence against the server.
// The workspace may be empty.
func (o *Observer) Weight(now time.Duration, service, server, workspace string) float64 {
	v, ok := o.services[service]
	if !ok {
		return 1
	}
	w := weightForScore(o.suspicionScore(now, v, server, workspace))
	if at, ok := v.shed[server]; ok && now-at < shedRecovery && !v.slow() {
		w = min(w, shedWeight+(1-shedWeight)*(now-at).Seconds()/shedRecovery.Seconds())
	}
	if s, ok := v.advice[server]; ok && now-v.advisedAt < adviceTTL && !(s.Late && v.slow()) {
		w = min(w, s.Weight)
	}
	return w
}

// Weights returns the weights of the given servers, in their order. servers
// are those that may be used (not leaving, not ejected). At most
// len(servers)-floor of them are below LowWeight, whatever the evidence. For
// the floor of a subset of servers, see SubsetFloor in package balance.
//
// Without the floor, an instance that suspects many servers, rightly or not,
// would send all requests to a few, which would then fail under the load as
// well.
func (o *Observer) Weights(now time.Duration, service, workspace string, servers []string, floor int) []float64 {
	v := o.service(service)
	v.failed.serverCount = len(servers)
	v.late.serverCount = len(servers)
	weights := make([]float64, len(servers))
	for i, s := range servers {
		weights[i] = o.Weight(now, service, s, workspace)
	}
	return raiseToFloor(weights, floor)
}

// raiseToFloor raises the highest of the low weights to LowWeight until no
// more than len(weights)-floor are low.
func raiseToFloor(weights []float64, floor int) []float64 {
	var low []int
	for i, w := range weights {
		if w < LowWeight {
			low = append(low, i)
		}
	}
	excess := len(low) - max(0, len(weights)-floor)
	if excess <= 0 {
		return weights
	}
	slices.SortStableFunc(low, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	for _, i := range low[:min(excess, len(low))] {
		weights[i] = LowWeight
	}
	return weights
}

// suspicionScore returns the highest score against a server, including that
// for the workspace if one is given.
func (o *Observer) suspicionScore(now time.Duration, v *serviceEvidence, server, workspace string) float64 {
	s := v.failed.score(now, server)
	if !v.slow() {
		// While the whole service is slow, lateness hardly distinguishes
		// servers, and the capacity of every server is needed.
		s = max(s, v.late.score(now, server))
	}
	if workspace == "" {
		return s
	}
	return max(s, v.failed.currentWorkspaceScore(now, server, workspace))
}

func weightForScore(score float64) float64 {
	share := (score - suspectScore) / (minWeightScore - suspectScore)
	return 1 - (1-minWeight)*min(1, max(0, share))
}

// Suspect is a server that a collector's pooled evidence speaks against.
type Suspect struct {
	Server string
	// Weight is the highest weight that instances should give the server.
	Weight float64
	// Late is set if the server is only late and does not fail.
	Late bool
}

// ApplyAdvice applies a collector's reply to a report. It replaces the
// previous advice, only lowers weights, and expires after adviceTTL.
func (o *Observer) ApplyAdvice(now time.Duration, service string, suspects []Suspect) {
	v := o.service(service)
	clear(v.advice)
	for _, s := range suspects {
		v.advice[s.Server] = s
	}
	v.advisedAt = now
}
