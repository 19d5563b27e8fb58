package health

import (
	"math"
	"slices"
	"time"
)

// source is where a bad attempt comes from, apart from the server.
type source struct {
	// reporter is the instance; empty in an instance's own ledger.
	reporter  string
	workspace string
}

const (
	// maxSources bounds what a run remembers of its sources.
	maxSources = 64
	// minBadCount is the faded count below which evidence says nothing any more.
	minBadCount = 0.1
	// decaySteps is in how many steps evidence fades by half.
	decaySteps = 64
)

// otherSource takes the sources beyond maxSources.
var otherSource = source{reporter: "…", workspace: "…"}

// serverStats is the evidence on one server since the first bad attempt after which
// it wasn't cleared again. Attempts before don't dilute it: a server that was
// well for an hour and fails now is suspect now.
type serverStats struct {
	attempts float64
	// bySource are in order of arrival: sums of the same numbers in another
	// order round differently, and a replay would come out differently.
	bySource []sourceCount
	// bad is the sum of the cells.
	bad float64
	// sums are for the comparison of servers. Unlike the cells they aren't
	// cut down by settle: that would make the other servers stand out.
	sums marginals
	// workspaces judges single workspaces here, each since its first bad attempt.
	workspaces map[string]*workspaceStats
	// score is the result of judging at a version of the ledger.
	score   float64
	version uint64
}

// sourceCount counts the bad attempts of one source at one server.
type sourceCount struct {
	source
	bad float64
}

// outcomeStats collects one kind of bad attempts (failed, or late) at the servers
// of one service. It keeps only servers under suspicion.
type outcomeStats struct {
	healthyShare  float64 // share of bad attempts at a healthy server
	sickShare     float64 // the same at a sick one
	halfLife time.Duration
	serverCount  int // of the service, suspect or not
	at       time.Duration
	version  uint64
	byServer     map[string]*serverStats
	// buffer and tallyBuffer save allocations.
	buffer      []float64
	totalsBuffer []attemptCounts
	workspaceTotals     map[string]*attemptCounts
}

func newOutcomeStats(healthy, sick float64, halfLife time.Duration) *outcomeStats {
	return &outcomeStats{
		healthyShare:  healthy,
		sickShare:     sick,
		halfLife: halfLife,
		byServer:     map[string]*serverStats{},
		workspaceTotals:  map[string]*attemptCounts{},
	}
}

// setBaseline raises what counts as healthy to the service's present state. While
// a quarter of all answers are late, a late answer says little about a server.
func (l *outcomeStats) setBaseline(share, healthy, sick float64) {
	l.healthyShare = min(maxHealthyShare, max(healthy, baselineMargin*share))
	l.sickShare = min(1-(1-l.healthyShare)/2, max(sick, sickMargin*l.healthyShare))
}

const (
	// baselineMargin is by how much more than usual is healthy still.
	baselineMargin = 1.25
	// sickMargin is how many times the healthy share is sick for certain.
	sickMargin = 3
	maxHealthyShare   = 0.9
)

// add counts attempts of one source at a server, some of them bad.
func (l *outcomeStats) add(now time.Duration, server string, s source, attempts, bad float64) {
	l.decay(now)
	l.addWorkspaceTotal(s.workspace, attempts, bad)
	r := l.byServer[server]
	if r == nil {
		if bad == 0 {
			return
		}
		r = &serverStats{sums: newMarginals(), workspaces: map[string]*workspaceStats{}}
		l.byServer[server] = r
	}
	l.version++
	r.attempts += attempts
	r.addWorkspace(s, attempts, bad)
	if bad > 0 {
		r.sums.add(r.addBad(s, bad), bad)
	}
	l.clamp(server, r)
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

// addBad counts bad attempts of a source, and returns what they were put under.
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

// addWorkspaceTotal follows a workspace over all servers once it had a bad attempt.
func (l *outcomeStats) addWorkspaceTotal(workspace string, attempts, bad float64) {
	t := l.workspaceTotals[workspace]
	if t == nil {
		if bad == 0 || len(l.workspaceTotals) >= maxSources {
			return
		}
		t = &attemptCounts{}
		l.workspaceTotals[workspace] = t
	}
	t.attempts += attempts
	t.bad += bad
}

// addUnreported counts good attempts of instances that had nothing to report.
func (l *outcomeStats) addUnreported(now time.Duration, server string, attempts float64) {
	l.decay(now)
	r := l.byServer[server]
	if r == nil || attempts <= 0 {
		return
	}
	l.version++
	r.attempts += attempts
	l.clamp(server, r)
}

// decay fades all evidence alike, in steps.
func (l *outcomeStats) decay(now time.Duration) {
	passed := now - l.at
	if passed < l.halfLife/decaySteps {
		return
	}
	l.at = now
	l.version++
	f := math.Exp2(-passed.Seconds() / l.halfLife.Seconds())
	for server, r := range l.byServer {
		r.scale(f)
		r.sums.scale(f)
		for w, p := range r.workspaces {
			if p.scale(f); p.bad < minBadCount {
				delete(r.workspaces, w)
			}
		}
		if r.bad < minBadCount && len(r.workspaces) == 0 {
			delete(l.byServer, server)
		}
	}
	for w, t := range l.workspaceTotals {
		t.attempts *= f
		t.bad *= f
		if t.bad < minBadCount {
			delete(l.workspaceTotals, w)
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

// clamp ends what speaks for the server, and bounds what speaks against it.
// The whole and the pairs end each by itself: a pair that lasts must not keep
// the good attempts of hours, which would cover a server's next failure.
func (l *outcomeStats) clamp(server string, r *serverStats) {
	for w := range r.workspaces {
		if s := l.workspaceScore(r, w); s <= 0 {
			delete(r.workspaces, w)
		} else if s > maxScore {
			r.workspaces[w].scale(maxScore / s)
		}
	}
	raw := l.likelihoodRatio(r.attempts, r.bad, l.sickShare)
	if raw <= 0 {
		r.attempts, r.bad, r.bySource, r.sums = 0, 0, nil, newMarginals()
	}
	if r.bad < minBadCount && len(r.workspaces) == 0 {
		delete(l.byServer, server)
		return
	}
	if raw <= maxScore {
		return
	}
	if s := l.serverScore(r); s > maxScore {
		r.scale(maxScore / s)
		l.version++
	}
}

// removeServer drops what is known of a server.
func (l *outcomeStats) removeServer(server string) {
	delete(l.byServer, server)
	l.version++
}

// likelihoodRatio is the log-likelihood likelihoodRatio of "sick" against "healthy".
func (l *outcomeStats) likelihoodRatio(attempts, bad, sick float64) float64 {
	return logLikelihoodRatio(attempts, bad, l.healthyShare, sick)
}

func logLikelihoodRatio(attempts, bad, healthy, sick float64) float64 {
	good := max(0, attempts-bad)
	return bad*math.Log(sick/healthy) + good*math.Log((1-sick)/(1-healthy))
}
