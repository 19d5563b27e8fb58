package health

import (
	"cmp"
	"slices"
	"time"
)

const (
	// suspectScore is the score from which a weight goes down.
	suspectScore = 2
	// sureScore is the score at which it is at minWeight.
	sureScore = 6
	// minWeight keeps a trickle of requests, so that evidence continues and
	// a recovered server is noticed without an ejection.
	minWeight = 0.1
	// LowWeight is the weight below which a server counts as out of use for
	// the floor.
	LowWeight = 0.5
	// shedWeight is the weight right after a refusal for want of room.
	shedWeight = 0.3
	// shedMemory is how long such a refusal matters.
	shedMemory = time.Second
	// adviceMemory is how long a collector's advice holds. It is longer than
	// Settings.Relief: if the load came back to a relieved server while it is
	// still judged, it would be ejected for being slow by load.
	adviceMemory = 12 * time.Second
)

// Weight returns a server's weight for a workspace's requests, without a
// floor: 1 if nothing is held against it. The workspace may be empty.
func (o *Observer) Weight(now time.Duration, service, server, workspace string) float64 {
	v, ok := o.services[service]
	if !ok {
		return 1
	}
	w := weightOf(o.suspicionScore(now, v, server, workspace))
	if at, ok := v.shed[server]; ok && now-at < shedMemory && !v.slow() {
		w = min(w, shedWeight+(1-shedWeight)*(now-at).Seconds()/shedMemory.Seconds())
	}
	if s, ok := v.advice[server]; ok && now-v.advisedAt < adviceMemory && !(s.Late && v.slow()) {
		w = min(w, s.Weight)
	}
	return w
}

// Weights returns the weights of the servers that may be used at all (not
// leaving, not ejected), in their order. At most len(servers)-floor of them
// are below LowWeight, whatever the evidence says; see ViewFloor in balance
// for the floor of a view of some servers.
//
// Without the floor, an instance that suspects many servers, rightly or not,
// would send everything to a few, which then fail under load as well.
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

// raiseToFloor lifts the best of the low weights until enough aren't low.
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

// suspicionScore is the highest score against a server, for a workspace if given.
func (o *Observer) suspicionScore(now time.Duration, v *serviceEvidence, server, workspace string) float64 {
	s := v.failed.score(now, server)
	if !v.slow() {
		// While the whole service is slow, lateness tells servers apart badly,
		// and every one of them is needed.
		s = max(s, v.late.score(now, server))
	}
	if workspace == "" {
		return s
	}
	return max(s, v.failed.pairScore(now, server, workspace))
}

func weightOf(score float64) float64 {
	share := (score - suspectScore) / (sureScore - suspectScore)
	return 1 - (1-minWeight)*min(1, max(0, share))
}

// Suspect is a server against which a collector's pooled evidence speaks.
type Suspect struct {
	Server string
	// Weight that the instances should give it at most.
	Weight float64
	// Late says that lateness is all that is held against it.
	Late bool
}

// ApplyAdvice takes a collector's answer to a report. It replaces the one before
// and only lowers weights, for a few seconds.
func (o *Observer) ApplyAdvice(now time.Duration, service string, suspects []Suspect) {
	v := o.service(service)
	clear(v.advice)
	for _, s := range suspects {
		v.advice[s.Server] = s
	}
	v.advisedAt = now
}
