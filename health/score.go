package health

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// score returns the log-likelihood ratio of the server being sick. A value
// of 0 or less means that there is no evidence against it.
func (o *outcomeStats) score(now time.Duration, server string) float64 {
	o.decay(now)
	r := o.byServer[server]
	if r == nil {
		return 0
	}
	return o.serverScore(r)
}

func (o *outcomeStats) serverScore(r *serverStats) float64 {
	if r.version != o.version {
		r.score = o.likelihoodRatio(r.attempts, r.bad, o.sickShare)
		if r.score > 0 {
			r.score = o.likelihoodRatio(r.attempts, o.attributableBad(r), o.sickShare)
		}
		r.version = o.version
	}
	return r.score
}

// currentWorkspaceScore applies the decay and returns the score for one
// workspace's requests at the server.
func (o *outcomeStats) currentWorkspaceScore(now time.Duration, server, workspace string) float64 {
	o.decay(now)
	r := o.byServer[server]
	if r == nil {
		return 0
	}
	return o.workspaceScore(r, workspace)
}

// workspaceScore returns the score for one workspace's requests at one
// server. A server may fail a single workspace, for example because of a
// corrupt partition, and still look healthy overall. Bad requests of a
// workspace, however, fail at every server, so the failures here are
// compared with the workspace's failures at other servers.
func (o *outcomeStats) workspaceScore(r *serverStats, workspace string) float64 {
	p := r.workspaces[workspace]
	if p == nil {
		return 0
	}
	return o.workspaceScoreWith(r, workspace, p.bad)
}

// workspaceScoreWith is workspaceScore with the given number of bad
// attempts.
func (o *outcomeStats) workspaceScoreWith(r *serverStats, workspace string, bad float64) float64 {
	elsewhere, baseline := o.baseline(r, workspace)
	if baseline >= pairSickShare {
		return 0
	}
	// The attempts of a workspace are spread evenly over the servers. Where
	// only the bad ones at this server were reported, its attempts elsewhere
	// give an estimate of the total here.
	attempts := max(r.workspaces[workspace].attempts, elsewhere/float64(max(1, o.serverCount-1)))
	return pairDiscount * logLikelihoodRatio(attempts, bad, baseline, pairSickShare)
}

// baseline returns the workspace's number of attempts at other servers and
// the share of them that is bad. The share leaves out the worst of the other
// servers, which may be sick too.
func (o *outcomeStats) baseline(r *serverStats, workspace string) (elsewhere, baseline float64) {
	t := o.workspaceTotals[workspace]
	if t == nil {
		return 0, max(o.healthyShare, priorBad/priorAttempts)
	}
	attempts, bad := t.attempts, t.bad
	if here := r.workspaces[workspace]; here != nil {
		attempts -= here.attempts
		bad -= here.bad
	}
	elsewhere = max(0, attempts)
	for _, p := range o.worstElsewhere(r, workspace) {
		attempts -= p.attempts
		bad -= p.bad
	}
	return elsewhere, max(o.healthyShare, (max(0, bad)+priorBad)/(max(0, attempts)+priorAttempts))
}

// worstElsewhere returns the workspace's counts at the worst of the other
// servers.
func (o *outcomeStats) worstElsewhere(r *serverStats, workspace string) []attemptCounts {
	o.totalsBuffer = o.totalsBuffer[:0]
	for _, other := range o.byServer {
		if p := other.workspaces[workspace]; p != nil && other != r {
			o.totalsBuffer = append(o.totalsBuffer, p.attemptCounts)
		}
	}
	slices.SortFunc(o.totalsBuffer, func(a, b attemptCounts) int {
		return cmp.Or(cmp.Compare(b.bad, a.bad), cmp.Compare(b.attempts, a.attempts))
	})
	return o.totalsBuffer[:min(len(o.totalsBuffer), o.maxSickServers())]
}

// maxSickServers is how many servers may be sick at once and still be
// distinguished from the others.
func (o *outcomeStats) maxSickServers() int { return int(maxSickServerShare * float64(o.serverCount)) }

const (
	// priorBad and priorAttempts are the prior for a workspace's bad and
	// total attempts at other servers.
	priorBad      = 0.3
	priorAttempts = 3
)

// attributableBad returns the number of bad attempts that are attributable
// to the server. Bad attempts that the same reporter, the same workspace or
// all sources see at the other servers as well are due to the reporter's
// network, the workspace's requests or the state of the service.
func (o *outcomeStats) attributableBad(r *serverStats) float64 {
	all := o.excessShare(r, func(m *marginals) float64 { return m.all })
	if all == 0 {
		return 0
	}
	sum, top, topWorkspace := 0.0, 0.0, ""
	byWorkspace := o.byWorkspace(r, all)
	for _, w := range byWorkspace {
		sum += w.bad
		if w.bad > top {
			top, topWorkspace = w.bad, w.workspace
		}
	}
	// Bad attempts of a single workspace count as far as other workspaces
	// see them too, or as the workspace's requests are known to succeed
	// elsewhere.
	rest := sum - top
	_, baseline := o.baseline(r, topWorkspace)
	trust := max(0, 1-baselinePenalty*(baseline-o.healthyShare))
	return rest + max(min(top, maxTopRatio*rest), top*trust)
}

// workspaceBad is one workspace's part of the bad attempts at a server.
type workspaceBad struct {
	workspace string
	bad       float64
}

// byWorkspace returns the excess bad attempts at a server, summed by
// workspace.
func (o *outcomeStats) byWorkspace(r *serverStats, all float64) []workspaceBad {
	var list []workspaceBad
	for _, c := range r.bySource {
		i := slices.IndexFunc(list, func(w workspaceBad) bool { return w.workspace == c.workspace })
		if i < 0 {
			i = len(list)
			list = append(list, workspaceBad{workspace: c.workspace})
		}
		byReporter := o.excessShare(r, func(m *marginals) float64 { return m.reporters[c.reporter] })
		byWorkspace := o.excessShare(r, func(m *marginals) float64 { return m.workspaces[c.workspace] })
		list[i].bad += c.bad * min(all, byReporter, byWorkspace)
	}
	return list
}

const (
	// maxTopRatio bounds the part of the evidence that one workspace or one
	// failure domain may contribute, as a multiple of what all others
	// contribute together.
	maxTopRatio = 1
)

// baselinePenalty scales how much a workspace's failures at other servers
// reduce the weight of those at this one.
const baselinePenalty = 3

// excessShare returns the share of the bad attempts at a server that exceeds
// what the other servers have, with a margin for chance: counts this small
// vary by about their square root.
func (o *outcomeStats) excessShare(r *serverStats, count func(*marginals) float64) float64 {
	here := count(&r.sums)
	if here <= 0 {
		return 0
	}
	others := o.othersMean(r, count)
	return max(0, 1-outlierFactor*(others+math.Sqrt(others))/here)
}

// othersMean returns the mean count at the other servers, without the worst
// of them, so that several sick servers don't excuse each other.
func (o *outcomeStats) othersMean(r *serverStats, count func(*marginals) float64) float64 {
	n := o.serverCount - 1
	worst := o.maxSickServers()
	if len(o.byServer)-1 <= worst || n <= worst {
		return 0
	}
	o.buffer = o.buffer[:0]
	for _, other := range o.byServer {
		if other != r {
			o.buffer = append(o.buffer, count(&other.sums))
		}
	}
	slices.Sort(o.buffer)
	sum := 0.0
	for _, v := range o.buffer[:len(o.buffer)-worst] {
		sum += v
	}
	return sum / float64(n-worst)
}

// maxSickServerShare is the share of a service's servers that may be sick at
// once and still be distinguished from the others.
const maxSickServerShare = 0.3
