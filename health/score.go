package health

import (
	"math"
	"time"
)

// score is how much the evidence speaks for a sick server, as a
// log-likelihood ratio; 0 or less means that nothing is held against it.
func (l *ledger) score(now time.Duration, server string) float64 {
	l.advance(now)
	r := l.runs[server]
	if r == nil {
		return 0
	}
	return l.judge(r)
}

func (l *ledger) judge(r *run) float64 {
	if r.version != l.version {
		r.score = l.ratio(r.attempts, l.effective(r), l.sick)
		r.version = l.version
	}
	return r.score
}

// pairScore is the same for one workspace's requests at the server.
func (l *ledger) pairScore(now time.Duration, server, workspace string) float64 {
	l.advance(now)
	r := l.runs[server]
	if r == nil {
		return 0
	}
	return l.pair(r, workspace)
}

// worstPair is the highest pair score at a server.
func (l *ledger) worstPair(r *run) float64 {
	worst := 0.0
	for w := range r.pairs {
		worst = max(worst, l.pair(r, w))
	}
	return worst
}

// pair judges one workspace at one server. A server may fail a single
// workspace (a corrupt partition, say) and look well over all. But a
// workspace that sends bad requests fails wherever they go, so the server is
// compared with how the workspace fares elsewhere.
func (l *ledger) pair(r *run, workspace string) float64 {
	bad := r.sums.workspaces[workspace]
	t := l.tallies[workspace]
	if bad <= 0 || t == nil {
		return 0
	}
	attempts := r.pairs[workspace]
	elsewhere := max(0, t.attempts-attempts)
	badElsewhere := max(0, t.bad-bad)
	usual := max(l.healthy, (badElsewhere+priorBad)/(elsewhere+priorAttempts))
	if usual >= pairSickShare {
		return 0
	}
	return pairDiscount * logRatio(attempts, bad, usual, pairSickShare)
}

const (
	// priorBad in priorAttempts is what is assumed of a workspace's requests
	// elsewhere before there were any.
	priorBad      = 0.5
	priorAttempts = 3
)

// effective is the number of bad attempts that are the server's own. What
// the same reporter, the same workspace or everybody meets at the other
// servers as well is the reporter's network, the workspace's requests or the
// service's state.
func (l *ledger) effective(r *run) float64 {
	if len(l.runs) == 1 {
		return r.sums.all
	}
	all := l.standsOut(r.sums.all, l.sums.all)
	if all == 0 {
		return 0
	}
	sum := 0.0
	for _, s := range r.cells {
		byReporter := l.standsOut(r.sums.reporters[s.reporter], l.sums.reporters[s.reporter])
		byWorkspace := l.standsOut(r.sums.workspaces[s.workspace], l.sums.workspaces[s.workspace])
		sum += s.bad * min(all, byReporter, byWorkspace)
	}
	return sum
}

// standsOut is the share of the bad attempts at one server beyond what the
// others have too, with room for chance: counts as small as these vary by
// their square root.
func (l *ledger) standsOut(here, everywhere float64) float64 {
	others := max(0, everywhere-here) / float64(max(1, l.servers-1))
	if here <= 0 {
		return 0
	}
	return max(0, 1-othersFactor*(others+math.Sqrt(others))/here)
}
