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
	// minBad is the faded count below which evidence says nothing any more.
	minBad = 0.1
	// fadeSteps is in how many steps evidence fades by half.
	fadeSteps = 64
)

// otherSource takes the sources beyond maxSources.
var otherSource = source{reporter: "…", workspace: "…"}

// serverStats is the evidence on one server since the first bad attempt after which
// it wasn't cleared again. Attempts before don't dilute it: a server that was
// well for an hour and fails now is suspect now.
type serverStats struct {
	attempts float64
	// cells are in order of arrival: sums of the same numbers in another
	// order round differently, and a replay would come out differently.
	cells []cell
	// bad is the sum of the cells.
	bad float64
	// sums are for the comparison of servers. Unlike the cells they aren't
	// cut down by settle: that would make the other servers stand out.
	sums marginals
	// pairs judges single workspaces here, each since its first bad attempt.
	pairs map[string]*pair
	// score is the result of judging at a version of the ledger.
	score   float64
	version uint64
}

// cell counts the bad attempts of one source at one server.
type cell struct {
	source
	bad float64
}

// outcomeStats collects one kind of bad attempts (failed, or late) at the servers
// of one service. It keeps only servers under suspicion.
type outcomeStats struct {
	healthy  float64 // share of bad attempts at a healthy server
	sick     float64 // the same at a sick one
	halfLife time.Duration
	serverCount  int // of the service, suspect or not
	at       time.Duration
	version  uint64
	byServer     map[string]*serverStats
	// buffer and tallyBuffer save allocations.
	buffer      []float64
	tallyBuffer []tally
	tallies     map[string]*tally
}

func newOutcomeStats(healthy, sick float64, halfLife time.Duration) *outcomeStats {
	return &outcomeStats{
		healthy:  healthy,
		sick:     sick,
		halfLife: halfLife,
		byServer:     map[string]*serverStats{},
		tallies:  map[string]*tally{},
	}
}

// setBaseline raises what counts as healthy to the service's present state. While
// a quarter of all answers are late, a late answer says little about a server.
func (l *outcomeStats) setBaseline(share, healthy, sick float64) {
	l.healthy = min(maxUsual, max(healthy, usualMargin*share))
	l.sick = min(1-(1-l.healthy)/2, max(sick, sickMargin*l.healthy))
}

const (
	// usualMargin is by how much more than usual is healthy still.
	usualMargin = 1.25
	// sickMargin is how many times the healthy share is sick for certain.
	sickMargin = 3
	maxUsual   = 0.9
)

// add counts attempts of one source at a server, some of them bad.
func (l *outcomeStats) add(now time.Duration, server string, s source, attempts, bad float64) {
	l.advance(now)
	l.addTally(s.workspace, attempts, bad)
	r := l.byServer[server]
	if r == nil {
		if bad == 0 {
			return
		}
		r = &serverStats{sums: newMarginals(), pairs: map[string]*pair{}}
		l.byServer[server] = r
	}
	l.version++
	r.attempts += attempts
	r.addPair(s, attempts, bad)
	if bad > 0 {
		r.sums.add(r.add(s, bad), bad)
	}
	l.settle(server, r)
}

func (r *serverStats) addPair(s source, attempts, bad float64) {
	p := r.pairs[s.workspace]
	if p == nil {
		if bad == 0 || len(r.pairs) >= maxSources {
			return
		}
		p = &pair{reporters: map[string]float64{}}
		r.pairs[s.workspace] = p
	}
	p.attempts += attempts
	p.bad += bad
	if bad > 0 {
		p.reporters[s.reporter] += bad
	}
}

// add counts bad attempts of a source, and returns what they were put under.
func (r *serverStats) add(s source, bad float64) source {
	at := func(s source) int {
		return slices.IndexFunc(r.cells, func(c cell) bool { return c.source == s })
	}
	i := at(s)
	if i < 0 && len(r.cells) >= maxSources {
		s = otherSource
		i = at(s)
	}
	if i < 0 {
		r.cells = append(r.cells, cell{source: s})
		i = len(r.cells) - 1
	}
	r.cells[i].bad += bad
	r.bad += bad
	return s
}

// addTally follows a workspace over all servers once it had a bad attempt.
func (l *outcomeStats) addTally(workspace string, attempts, bad float64) {
	t := l.tallies[workspace]
	if t == nil {
		if bad == 0 || len(l.tallies) >= maxSources {
			return
		}
		t = &tally{}
		l.tallies[workspace] = t
	}
	t.attempts += attempts
	t.bad += bad
}

// addSilent counts good attempts of instances that had nothing to report.
func (l *outcomeStats) addSilent(now time.Duration, server string, attempts float64) {
	l.advance(now)
	r := l.byServer[server]
	if r == nil || attempts <= 0 {
		return
	}
	l.version++
	r.attempts += attempts
	l.settle(server, r)
}

// advance fades all evidence alike, in steps.
func (l *outcomeStats) advance(now time.Duration) {
	passed := now - l.at
	if passed < l.halfLife/fadeSteps {
		return
	}
	l.at = now
	l.version++
	f := math.Exp2(-passed.Seconds() / l.halfLife.Seconds())
	for server, r := range l.byServer {
		r.scale(f)
		r.sums.scale(f)
		for w, p := range r.pairs {
			if p.scale(f); p.bad < minBad {
				delete(r.pairs, w)
			}
		}
		if r.bad < minBad && len(r.pairs) == 0 {
			delete(l.byServer, server)
		}
	}
	for w, t := range l.tallies {
		t.attempts *= f
		t.bad *= f
		if t.bad < minBad {
			delete(l.tallies, w)
		}
	}
}

func (r *serverStats) scale(f float64) {
	r.attempts *= f
	r.bad *= f
	for i := range r.cells {
		r.cells[i].bad *= f
	}
}

// settle ends what speaks for the server, and bounds what speaks against it.
// The whole and the pairs end each by itself: a pair that lasts must not keep
// the good attempts of hours, which would cover a server's next failure.
func (l *outcomeStats) settle(server string, r *serverStats) {
	for w := range r.pairs {
		if s := l.pair(r, w); s <= 0 {
			delete(r.pairs, w)
		} else if s > maxScore {
			r.pairs[w].scale(maxScore / s)
		}
	}
	raw := l.ratio(r.attempts, r.bad, l.sick)
	if raw <= 0 {
		r.attempts, r.bad, r.cells, r.sums = 0, 0, nil, newMarginals()
	}
	if r.bad < minBad && len(r.pairs) == 0 {
		delete(l.byServer, server)
		return
	}
	if raw <= maxScore {
		return
	}
	if s := l.judge(r); s > maxScore {
		r.scale(maxScore / s)
		l.version++
	}
}

// removeServer drops what is known of a server.
func (l *outcomeStats) removeServer(server string) {
	delete(l.byServer, server)
	l.version++
}

// ratio is the log-likelihood ratio of "sick" against "healthy".
func (l *outcomeStats) ratio(attempts, bad, sick float64) float64 {
	return logRatio(attempts, bad, l.healthy, sick)
}

func logRatio(attempts, bad, healthy, sick float64) float64 {
	good := max(0, attempts-bad)
	return bad*math.Log(sick/healthy) + good*math.Log((1-sick)/(1-healthy))
}
