package health

import (
	"math"
	"slices"
	"time"
)

// source is the origin of an attempt: the reporting instance and the
// workspace.
type source struct {
	// reporter is the reporting instance. It is empty in an instance's own
	// statistics.
	reporter  string
	workspace string
}

const (
	// maxSources bounds the number of sources and workspaces that are
	// tracked.
	maxSources = 64
	// minBadCount is the decayed count of bad attempts below which they are
	// discarded.
	minBadCount = 0.1
	// decaySteps is the number of decay steps in one half-life.
	decaySteps = 64
)

// otherSource aggregates the sources beyond maxSources.
var otherSource = source{reporter: "…", workspace: "…"}

// serverStats is the evidence on one server since the first bad attempt
// after the server was last cleared. Earlier attempts don't dilute it: a
// server that worked for an hour and fails now is suspect at once.
type serverStats struct {
	attempts float64
	// bySource is in order of arrival. Summing the same numbers in another
	// order rounds differently, and a replay would give another result.
	bySource []sourceCount
	// bad is the sum of bySource.
	bad float64
	// sums are for the comparison with other servers. Unlike bySource, they
	// aren't scaled down by clamp, which would make the other servers exceed
	// this one.
	sums marginals
	// workspaces holds the attempts by workspace, each since the workspace's
	// first bad attempt at this server.
	workspaces map[string]*workspaceStats
	// score is the cached result of serverScore, valid for this version of
	// the statistics.
	score   float64
	version uint64
}

// sourceCount counts the bad attempts of one source at one server.
type sourceCount struct {
	source
	bad float64
}

// outcomeStats holds the statistics on one kind of bad attempt (failed or
// late) at the servers of one service. It keeps suspect servers only.
type outcomeStats struct {
	healthyShare float64 // share of bad attempts at a healthy server
	sickShare    float64 // share of bad attempts at a sick server
	halfLife     time.Duration
	serverCount  int // number of servers of the service, suspect or not
	at           time.Duration
	version      uint64
	byServer     map[string]*serverStats
	// buffer and totalsBuffer are reused between calls to save allocations.
	buffer          []float64
	totalsBuffer    []attemptCounts
	workspaceTotals map[string]*attemptCounts
}

func newOutcomeStats(healthy, sick float64, halfLife time.Duration) *outcomeStats {
	return &outcomeStats{
		healthyShare:    healthy,
		sickShare:       sick,
		halfLife:        halfLife,
		byServer:        map[string]*serverStats{},
		workspaceTotals: map[string]*attemptCounts{},
	}
}

// setBaseline raises the share that counts as healthy to the service's
// present share of bad attempts. While a quarter of all answers are late, a
// late answer says little about a server.
func (o *outcomeStats) setBaseline(share, healthy, sick float64) {
	o.healthyShare = min(maxHealthyShare, max(healthy, baselineMargin*share))
	o.sickShare = min(1-(1-o.healthyShare)/2, max(sick, sickMargin*o.healthyShare))
}

const (
	// baselineMargin is the factor by which a healthy server may exceed the
	// present share.
	baselineMargin = 1.25
	// sickMargin is the least ratio between the shares of a sick and a
	// healthy server.
	sickMargin      = 3
	maxHealthyShare = 0.9
)

// add counts attempts of one source at a server, and how many of them were
// bad.
func (o *outcomeStats) add(now time.Duration, server string, s source, attempts, bad float64) {
	o.decay(now)
	o.addWorkspaceTotal(s.workspace, attempts, bad)
	r := o.byServer[server]
	if r == nil {
		if bad == 0 {
			return
		}
		r = &serverStats{sums: newMarginals(), workspaces: map[string]*workspaceStats{}}
		o.byServer[server] = r
	}
	o.version++
	r.attempts += attempts
	r.addWorkspace(s, attempts, bad)
	if bad > 0 {
		r.sums.add(r.addBad(s, bad), bad)
	}
	o.clamp(server, r)
}

func (r *serverStats) addWorkspace(s source, attempts, bad float64) {
	p := r.workspaces[s.workspace]
	if p == nil {
		if bad == 0 || len(r.workspaces) >= maxSources {
			return
		}
		p = &workspaceStats{reporters: map[string]float64{}}
		r.workspaces[s.workspace] = p
	}
	p.attempts += attempts
	p.bad += bad
	if bad > 0 {
		p.reporters[s.reporter] += bad
	}
}

// addBad counts bad attempts of a source and returns the source that they
// were counted under.
func (r *serverStats) addBad(s source, bad float64) source {
	at := func(s source) int {
		return slices.IndexFunc(r.bySource, func(c sourceCount) bool { return c.source == s })
	}
	i := at(s)
	if i < 0 && len(r.bySource) >= maxSources {
		s = otherSource
		i = at(s)
	}
	if i < 0 {
		r.bySource = append(r.bySource, sourceCount{source: s})
		i = len(r.bySource) - 1
	}
	r.bySource[i].bad += bad
	r.bad += bad
	return s
}

// addWorkspaceTotal counts the attempts of a workspace at all servers, from
// its first bad attempt on.
func (o *outcomeStats) addWorkspaceTotal(workspace string, attempts, bad float64) {
	t := o.workspaceTotals[workspace]
	if t == nil {
		if bad == 0 || len(o.workspaceTotals) >= maxSources {
			return
		}
		t = &attemptCounts{}
		o.workspaceTotals[workspace] = t
	}
	t.attempts += attempts
	t.bad += bad
}

// addUnreported counts good attempts of instances that reported nothing on
// the server.
func (o *outcomeStats) addUnreported(now time.Duration, server string, attempts float64) {
	o.decay(now)
	r := o.byServer[server]
	if r == nil || attempts <= 0 {
		return
	}
	o.version++
	r.attempts += attempts
	o.clamp(server, r)
}

// decay applies the exponential decay to all counts, in steps.
func (o *outcomeStats) decay(now time.Duration) {
	elapsed := now - o.at
	if elapsed < o.halfLife/decaySteps {
		return
	}
	o.at = now
	o.version++
	f := math.Exp2(-elapsed.Seconds() / o.halfLife.Seconds())
	for server, r := range o.byServer {
		r.scale(f)
		r.sums.scale(f)
		for w, p := range r.workspaces {
			if p.scale(f); p.bad < minBadCount {
				delete(r.workspaces, w)
			}
		}
		if r.bad < minBadCount && len(r.workspaces) == 0 {
			delete(o.byServer, server)
		}
	}
	for w, t := range o.workspaceTotals {
		t.attempts *= f
		t.bad *= f
		if t.bad < minBadCount {
			delete(o.workspaceTotals, w)
		}
	}
}

func (r *serverStats) scale(f float64) {
	r.attempts *= f
	r.bad *= f
	for i := range r.bySource {
		r.bySource[i].bad *= f
	}
}

// clamp clears the evidence on a server whose score has dropped to zero, and
// bounds the score at maxScore. The server as a whole and each of its
// workspaces are cleared separately: a workspace that keeps failing must not
// retain hours of good attempts, which would mask the server's next failure.
func (o *outcomeStats) clamp(server string, r *serverStats) {
	for w := range r.workspaces {
		if s := o.workspaceScore(r, w); s <= 0 {
			delete(r.workspaces, w)
		} else if s > maxScore {
			r.workspaces[w].scale(maxScore / s)
		}
	}
	raw := o.likelihoodRatio(r.attempts, r.bad, o.sickShare)
	if raw <= 0 {
		r.attempts, r.bad, r.bySource, r.sums = 0, 0, nil, newMarginals()
	}
	if r.bad < minBadCount && len(r.workspaces) == 0 {
		delete(o.byServer, server)
		return
	}
	if raw <= maxScore {
		return
	}
	if s := o.serverScore(r); s > maxScore {
		r.scale(maxScore / s)
		o.version++
	}
}

// removeServer discards the evidence on a server.
func (o *outcomeStats) removeServer(server string) {
	delete(o.byServer, server)
	o.version++
}

// likelihoodRatio returns the log-likelihood ratio of a sick server to a
// healthy one.
func (o *outcomeStats) likelihoodRatio(attempts, bad, sick float64) float64 {
	return logLikelihoodRatio(attempts, bad, o.healthyShare, sick)
}

func logLikelihoodRatio(attempts, bad, healthy, sick float64) float64 {
	good := max(0, attempts-bad)
	return bad*math.Log(sick/healthy) + good*math.Log((1-sick)/(1-healthy))
}
