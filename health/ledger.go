package health

import (
	"math"
	"time"
)

// source is where a bad attempt comes from, apart from the server.
type source struct {
	// reporter is the instance; empty in an instance's own ledger.
	reporter  string
	workspace string
}

// maxSources bounds what a run remembers of its sources.
const maxSources = 64

// otherSource takes the sources beyond maxSources.
var otherSource = source{reporter: "…", workspace: "…"}

// run is the evidence on one server since the first bad attempt after which
// it wasn't cleared again. Attempts before don't dilute it: a server that was
// well for an hour and fails now is suspect now.
type run struct {
	attempts float64
	bad      map[source]float64
	// pairs counts attempts by workspace since its first bad one here.
	pairs map[string]float64
	at    time.Duration
}

// tally counts one workspace's attempts at all servers of a service.
type tally struct {
	attempts float64
	bad      float64
	at       time.Duration
}

// ledger collects one kind of bad attempts (failed, or late) at the servers
// of one service. It keeps only servers under suspicion.
type ledger struct {
	healthy  float64 // share of bad attempts at a healthy server
	sick     float64 // the same at a sick one
	halfLife time.Duration
	servers  int // of the service, suspect or not
	runs     map[string]*run
	tallies  map[string]*tally
}

func newLedger(healthy, sick float64, halfLife time.Duration) *ledger {
	return &ledger{
		healthy:  healthy,
		sick:     sick,
		halfLife: halfLife,
		runs:     map[string]*run{},
		tallies:  map[string]*tally{},
	}
}

// add counts attempts of one source at a server, some of them bad.
func (l *ledger) add(now time.Duration, server string, s source, attempts, bad float64) {
	l.addTally(now, s.workspace, attempts, bad)
	r := l.runs[server]
	if r == nil {
		if bad == 0 {
			return
		}
		r = &run{bad: map[source]float64{}, pairs: map[string]float64{}, at: now}
		l.runs[server] = r
	}
	l.advance(now, r)
	r.attempts += attempts
	if bad > 0 {
		if _, known := r.bad[s]; !known && len(r.bad) >= maxSources {
			s = otherSource
		}
		r.bad[s] += bad
	}
	if _, known := r.pairs[s.workspace]; known || bad > 0 {
		r.pairs[s.workspace] += attempts
	}
	l.settle(server, r)
}

// addTally follows a workspace over all servers once it had a bad attempt.
func (l *ledger) addTally(now time.Duration, workspace string, attempts, bad float64) {
	t := l.tallies[workspace]
	if t == nil {
		if bad == 0 || len(l.tallies) >= maxSources {
			return
		}
		t = &tally{at: now}
		l.tallies[workspace] = t
	}
	f := l.fade(now - t.at)
	t.attempts = t.attempts*f + attempts
	t.bad = t.bad*f + bad
	t.at = now
}

// addSilent counts good attempts of instances that had nothing to report.
func (l *ledger) addSilent(now time.Duration, server string, attempts float64) {
	r := l.runs[server]
	if r == nil {
		return
	}
	l.advance(now, r)
	r.attempts += attempts
	l.settle(server, r)
}

// advance fades a run's evidence.
func (l *ledger) advance(now time.Duration, r *run) {
	if now <= r.at {
		return
	}
	r.scale(l.fade(now - r.at))
	r.at = now
}

func (l *ledger) fade(d time.Duration) float64 {
	return math.Exp2(-d.Seconds() / l.halfLife.Seconds())
}

func (r *run) scale(f float64) {
	r.attempts *= f
	for s := range r.bad {
		r.bad[s] *= f
	}
	for w := range r.pairs {
		r.pairs[w] *= f
	}
}

// minBad is the faded count below which a run says nothing any more.
const minBad = 0.1

// settle ends a run that speaks for the server, and bounds the others.
func (l *ledger) settle(server string, r *run) {
	plain := l.ratio(r.attempts, r.total(), l.sick)
	worst := l.worstPair(server, r)
	if r.total() < minBad || (plain <= 0 && worst <= 0) {
		delete(l.runs, server)
		return
	}
	if s := max(plain, worst); s > maxScore {
		r.scale(maxScore / s)
	}
}

func (r *run) total() float64 {
	sum := 0.0
	for _, n := range r.bad {
		sum += n
	}
	return sum
}

// ratio is the log-likelihood ratio of "sick" against "healthy".
func (l *ledger) ratio(attempts, bad, sick float64) float64 {
	good := max(0, attempts-bad)
	return bad*math.Log(sick/l.healthy) + good*math.Log((1-sick)/(1-l.healthy))
}

// forget drops what is known of a server.
func (l *ledger) forget(server string) { delete(l.runs, server) }

// prune drops runs and tallies that have faded.
func (l *ledger) prune(now time.Duration) {
	for server, r := range l.runs {
		l.advance(now, r)
		l.settle(server, r)
	}
	for w, t := range l.tallies {
		if t.bad*l.fade(now-t.at) < minBad {
			delete(l.tallies, w)
		}
	}
}
