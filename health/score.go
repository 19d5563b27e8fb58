package health

import "time"

// score is how much the evidence speaks for a sick server, as a
// log-likelihood ratio; 0 or less means that nothing is held against it.
func (l *ledger) score(now time.Duration, server string) float64 {
	r := l.runs[server]
	if r == nil {
		return 0
	}
	l.advance(now, r)
	return l.ratio(r.attempts, l.effective(server, r), l.sick)
}

// pairScore is the same for one workspace's requests at the server.
func (l *ledger) pairScore(now time.Duration, server, workspace string) float64 {
	r := l.runs[server]
	if r == nil {
		return 0
	}
	l.advance(now, r)
	return l.pair(server, r, workspace)
}

// worstPair is the highest pair score at a server.
func (l *ledger) worstPair(server string, r *run) float64 {
	worst := 0.0
	for w := range r.pairs {
		worst = max(worst, l.pair(server, r, w))
	}
	return worst
}

// pair judges one workspace at one server. A server may fail a single
// workspace (a corrupt partition, say) and look well over all. But a
// workspace that sends bad requests fails wherever they go, so its failures
// count only as far as its requests succeed elsewhere.
func (l *ledger) pair(server string, r *run, workspace string) float64 {
	bad := 0.0
	for s, n := range r.bad {
		if s.workspace == workspace {
			bad += n
		}
	}
	t := l.tallies[workspace]
	if bad == 0 || t == nil {
		return 0
	}
	elsewhere := max(0, (t.attempts-r.pairs[workspace])-(t.bad-bad))
	trust := min(1, elsewhere/pairElsewhere)
	bad *= trust * l.standsOut(bad, l.atOthers(server, func(s source) bool { return s.workspace == workspace }))
	return pairDiscount * l.ratio(r.pairs[workspace], bad, pairSickShare)
}

// effective is the number of bad attempts that are the server's own. What
// the same reporter, the same workspace or everybody meets at the other
// servers as well is the reporter's network, the workspace's requests or the
// service's state.
func (l *ledger) effective(server string, r *run) float64 {
	if len(l.runs) == 1 {
		return r.total()
	}
	all := l.standsOut(r.total(), l.atOthers(server, func(source) bool { return true }))
	if all == 0 {
		return 0
	}
	byReporter := map[string]float64{}
	byWorkspace := map[string]float64{}
	for s, n := range r.bad {
		byReporter[s.reporter] += n
		byWorkspace[s.workspace] += n
	}
	for reporter, n := range byReporter {
		byReporter[reporter] = l.standsOut(n, l.atOthers(server, func(s source) bool { return s.reporter == reporter }))
	}
	for workspace, n := range byWorkspace {
		byWorkspace[workspace] = l.standsOut(n, l.atOthers(server, func(s source) bool { return s.workspace == workspace }))
	}
	sum := 0.0
	for s, n := range r.bad {
		sum += n * min(all, byReporter[s.reporter], byWorkspace[s.workspace])
	}
	return sum
}

// atOthers is the mean number of bad attempts at the other servers.
func (l *ledger) atOthers(server string, of func(source) bool) float64 {
	sum := 0.0
	for id, r := range l.runs {
		if id == server {
			continue
		}
		for s, n := range r.bad {
			if of(s) {
				sum += n
			}
		}
	}
	return sum / float64(max(1, l.servers-1))
}

// standsOut is the share of the bad attempts beyond what others have too.
func (l *ledger) standsOut(here, others float64) float64 {
	if here <= 0 {
		return 0
	}
	return max(0, 1-othersFactor*others/here)
}
