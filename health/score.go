package health

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// score is how much the evidence speaks for a sick server, as a
// log-likelihood ratio; 0 or less means that nothing is held against it.
func (l *outcomeStats) score(now time.Duration, server string) float64 {
	l.advance(now)
	r := l.byServer[server]
	if r == nil {
		return 0
	}
	return l.judge(r)
}

func (l *outcomeStats) judge(r *serverStats) float64 {
	if r.version != l.version {
		r.score = l.ratio(r.attempts, r.bad, l.sick)
		if r.score > 0 {
			r.score = l.ratio(r.attempts, l.effective(r), l.sick)
		}
		r.version = l.version
	}
	return r.score
}

// pairScore is the same for one workspace's requests at the server.
func (l *outcomeStats) pairScore(now time.Duration, server, workspace string) float64 {
	l.advance(now)
	r := l.byServer[server]
	if r == nil {
		return 0
	}
	return l.pair(r, workspace)
}

// pair judges one workspace at one server. A server may fail a single
// workspace (a corrupt partition, say) and look well over all. But a
// workspace that sends bad requests fails wherever they go, so the server is
// compared with how the workspace fares elsewhere.
func (l *outcomeStats) pair(r *serverStats, workspace string) float64 {
	p := r.pairs[workspace]
	if p == nil {
		return 0
	}
	return l.pairWith(r, workspace, p.bad)
}

// pairWith is pair with only so many of the bad attempts.
func (l *outcomeStats) pairWith(r *serverStats, workspace string, bad float64) float64 {
	elsewhere, usual := l.usual(r, workspace)
	if usual >= pairSickShare {
		return 0
	}
	// The workspace's attempts are spread over the servers. Where only the
	// bad ones here were reported, its attempts elsewhere tell how many there
	// must have been.
	attempts := max(r.pairs[workspace].attempts, elsewhere/float64(max(1, l.serverCount-1)))
	return pairDiscount * logRatio(attempts, bad, usual, pairSickShare)
}

// usual is the share of a workspace's requests that is bad elsewhere, the
// worst other servers aside: they may be sick too. It also returns how many
// attempts there were elsewhere.
func (l *outcomeStats) usual(r *serverStats, workspace string) (elsewhere, usual float64) {
	t := l.tallies[workspace]
	if t == nil {
		return 0, max(l.healthy, priorBad/priorAttempts)
	}
	attempts, bad := t.attempts, t.bad
	if here := r.pairs[workspace]; here != nil {
		attempts -= here.attempts
		bad -= here.bad
	}
	elsewhere = max(0, attempts)
	for _, p := range l.worstPairs(r, workspace) {
		attempts -= p.attempts
		bad -= p.bad
	}
	return elsewhere, max(l.healthy, (max(0, bad)+priorBad)/(max(0, attempts)+priorAttempts))
}

// worstPairs returns the workspace's worst tallies at other servers.
func (l *outcomeStats) worstPairs(r *serverStats, workspace string) []tally {
	l.tallyBuffer = l.tallyBuffer[:0]
	for _, other := range l.byServer {
		if p := other.pairs[workspace]; p != nil && other != r {
			l.tallyBuffer = append(l.tallyBuffer, p.tally)
		}
	}
	slices.SortFunc(l.tallyBuffer, func(a, b tally) int {
		return cmp.Or(cmp.Compare(b.bad, a.bad), cmp.Compare(b.attempts, a.attempts))
	})
	return l.tallyBuffer[:min(len(l.tallyBuffer), l.worst())]
}

// worst is how many servers may be sick and still be told from the others.
func (l *outcomeStats) worst() int { return int(worstShare * float64(l.serverCount)) }

const (
	// priorBad in priorAttempts is what is assumed of a workspace's requests
	// elsewhere before there were any.
	priorBad      = 0.3
	priorAttempts = 3
)

// effective is the number of bad attempts that are the server's own. What
// the same reporter, the same workspace or everybody meets at the other
// servers as well is the reporter's network, the workspace's requests or the
// service's state.
func (l *outcomeStats) effective(r *serverStats) float64 {
	all := l.standsOut(r, func(m *marginals) float64 { return m.all })
	if all == 0 {
		return 0
	}
	sum, top, topWorkspace := 0.0, 0.0, ""
	byWorkspace := l.byWorkspace(r, all)
	for _, w := range byWorkspace {
		sum += w.bad
		if w.bad > top {
			top, topWorkspace = w.bad, w.workspace
		}
	}
	// What one workspace meets alone counts as far as the others meet it too,
	// or as its requests are known to succeed elsewhere.
	rest := sum - top
	_, usual := l.usual(r, topWorkspace)
	trust := max(0, 1-usualFactor*(usual-l.healthy))
	return rest + max(min(top, topShare*rest), top*trust)
}

// workspaceBad is the part of a run that one workspace supplies.
type workspaceBad struct {
	workspace string
	bad       float64
}

// byWorkspace sums a run's bad attempts that stand out, by workspace.
func (l *outcomeStats) byWorkspace(r *serverStats, all float64) []workspaceBad {
	var list []workspaceBad
	for _, c := range r.cells {
		i := slices.IndexFunc(list, func(w workspaceBad) bool { return w.workspace == c.workspace })
		if i < 0 {
			i = len(list)
			list = append(list, workspaceBad{workspace: c.workspace})
		}
		byReporter := l.standsOut(r, func(m *marginals) float64 { return m.reporters[c.reporter] })
		byWorkspace := l.standsOut(r, func(m *marginals) float64 { return m.workspaces[c.workspace] })
		list[i].bad += c.bad * min(all, byReporter, byWorkspace)
	}
	return list
}

const (
	// topShare bounds the part of the evidence that one workspace or one
	// place may supply, as a multiple of what all others supply together.
	topShare = 1
)

// usualFactor is how fast a workspace's failures elsewhere make those here
// count less.
const usualFactor = 3

// standsOut is the share of the bad attempts at one server beyond what the
// others have too, with room for chance: counts as small as these vary by
// their square root.
func (l *outcomeStats) standsOut(r *serverStats, of func(*marginals) float64) float64 {
	here := of(&r.sums)
	if here <= 0 {
		return 0
	}
	others := l.others(r, of)
	return max(0, 1-outlierFactor*(others+math.Sqrt(others))/here)
}

// others is what is usual at the other servers: their mean without the worst
// of them, so that several sick servers don't excuse each other.
func (l *outcomeStats) others(r *serverStats, of func(*marginals) float64) float64 {
	n := l.serverCount - 1
	worst := l.worst()
	if len(l.byServer)-1 <= worst || n <= worst {
		return 0
	}
	l.buffer = l.buffer[:0]
	for _, other := range l.byServer {
		if other != r {
			l.buffer = append(l.buffer, of(&other.sums))
		}
	}
	slices.Sort(l.buffer)
	sum := 0.0
	for _, v := range l.buffer[:len(l.buffer)-worst] {
		sum += v
	}
	return sum / float64(n-worst)
}

// worstShare is the share of a service's servers that may be sick at once
// and still be told from the others.
const worstShare = 0.3
