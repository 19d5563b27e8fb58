package quota

import (
	"cmp"
	"slices"

	"foxtailspoke/config"
)

// CandidateState is the state of a candidate as known to the instance that
// assigns the row.
type CandidateState int

const (
	// Live instances may hold parts.
	Live CandidateState = iota
	// Leaving instances are shutting down and give up their parts.
	Leaving
	// Ended instances are listed by the platform as gone.
	Ended
	// Unreachable instances haven't answered for so long that their parts
	// should be reassigned. They may still be running.
	Unreachable
)

// Candidate is an entry instance that may be assigned parts.
type Candidate struct {
	ID         string
	DataCentre string
	State      CandidateState
}

// Assign returns the row that a shard should have, and whether it differs from
// the current one. A former holder stops using its parts as described in
// package membership, so safety doesn't depend on the candidates' states being
// accurate.
//
// Live holders keep their entries as far as possible. The parts of others go
// to new holders, chosen by rendezvous hashing over the live candidates, with
// data centres without a holder first. since is the control table's revision
// that the write expects; it identifies the entries that gain parts.
func Assign(name string, row config.Shard, candidates []Candidate, holders int, since uint64) (config.Shard, bool) {
	live := rankLive(name, candidates)
	holders = min(holders, len(live), config.PartsPerShard)
	if holders < 1 {
		return row, false
	}
	a := newAssignment(row, live)
	a.removeExcessHolders(holders)
	a.addHolders(holders, live)
	a.distribute(holders)
	next := a.row(since)
	return next, !slices.Equal(next.Holders, row.Holders)
}

// HolderCount returns how many holders a shard should have for the limits of
// its workspaces: enough for the highest rate, but few enough that each holder
// has at least minBurstPerHolder tokens of the median burst, so that few
// requests have to combine a token from several shares.
func HolderCount(limits []config.Limit, maxHolders int) int {
	if len(limits) == 0 {
		return 1
	}
	rate := 0.0
	bursts := make([]float64, 0, len(limits))
	for _, l := range limits {
		rate = max(rate, l.Rate)
		bursts = append(bursts, l.Burst)
	}
	slices.Sort(bursts)
	byBurst := int(min(bursts[len(bursts)/2]/minBurstPerHolder, float64(maxHolders)))
	byRate := minHolders + int(min(rate/ratePerHolder, float64(maxHolders)))
	return max(1, min(byRate, byBurst, maxHolders))
}

const (
	// minHolders keeps most of a limit available when one holder fails.
	minHolders = 3
	// minBurstPerHolder is the minimum burst, in tokens, that each holder
	// should have.
	minBurstPerHolder = 2
	// ratePerHolder is the rate, in tokens per second, that adds one holder.
	ratePerHolder = 100
)

// rankLive returns the live candidates in rendezvous hash order for a shard.
func rankLive(name string, candidates []Candidate) []Candidate {
	var live []Candidate
	for _, c := range candidates {
		if c.State == Live {
			live = append(live, c)
		}
	}
	slices.SortFunc(live, func(x, y Candidate) int {
		return cmp.Or(
			cmp.Compare(rendezvousHash(name, x.ID), rendezvousHash(name, y.ID)),
			cmp.Compare(x.ID, y.ID),
		)
	})
	return live
}

// assignment is a row under construction.
type assignment struct {
	entries []config.Holder
	// holderIDs has the existing holders first, then the new ones.
	holderIDs []string
	// unassigned is the number of parts without a holder.
	unassigned int
	// added has the number of parts added per holder.
	added map[string]int
}

// newAssignment starts an assignment with the row's entries of live holders.
func newAssignment(row config.Shard, live []Candidate) *assignment {
	a := &assignment{unassigned: config.PartsPerShard, added: map[string]int{}}
	if !validRow(row) {
		return a
	}
	for _, e := range row.Holders {
		isLive := slices.ContainsFunc(live, func(c Candidate) bool { return c.ID == e.Instance })
		if !isLive {
			continue
		}
		a.entries = append(a.entries, e)
		a.unassigned -= e.Parts
		if !slices.Contains(a.holderIDs, e.Instance) {
			a.holderIDs = append(a.holderIDs, e.Instance)
		}
	}
	return a
}

func (a *assignment) parts(id string) int {
	sum := a.added[id]
	for _, e := range a.entries {
		if e.Instance == id {
			sum += e.Parts
		}
	}
	return sum
}

// removeExcessHolders removes holders until at most the given number is left,
// those with the fewest parts first.
func (a *assignment) removeExcessHolders(holders int) {
	for len(a.holderIDs) > holders {
		fewest := a.holderIDs[len(a.holderIDs)-1]
		for _, id := range a.holderIDs {
			if a.parts(id) < a.parts(fewest) {
				fewest = id
			}
		}
		a.release(fewest, a.parts(fewest))
		a.holderIDs = slices.DeleteFunc(a.holderIDs, func(id string) bool { return id == fewest })
	}
}

// addHolders adds holders in rank order, preferring data centres that have
// none.
func (a *assignment) addHolders(holders int, live []Candidate) {
	used := map[string]bool{}
	for _, c := range live {
		if slices.Contains(a.holderIDs, c.ID) {
			used[c.DataCentre] = true
		}
	}
	for _, anyCentre := range []bool{false, true} {
		for _, c := range live {
			if len(a.holderIDs) >= holders {
				return
			}
			if slices.Contains(a.holderIDs, c.ID) || (used[c.DataCentre] && !anyCentre) {
				continue
			}
			a.holderIDs = append(a.holderIDs, c.ID)
			used[c.DataCentre] = true
		}
	}
}

// distribute gives each holder at least its even share, first from the
// unassigned parts and then from the largest holders, and spreads the parts
// that are still unassigned.
func (a *assignment) distribute(holders int) {
	even := config.PartsPerShard / holders
	for _, id := range a.holderIDs {
		a.raiseTo(id, even)
	}
	for a.unassigned > 0 {
		a.raiseTo(a.smallestHolder(), a.parts(a.smallestHolder())+1)
	}
}

// raiseTo raises a holder's parts to the given number.
func (a *assignment) raiseTo(id string, parts int) {
	for a.parts(id) < parts {
		if a.unassigned == 0 {
			a.release(a.largestHolder(), 1)
		}
		a.unassigned--
		a.added[id]++
	}
}

func (a *assignment) smallestHolder() string {
	return slices.MinFunc(a.holderIDs, func(x, y string) int { return cmp.Compare(a.parts(x), a.parts(y)) })
}

func (a *assignment) largestHolder() string {
	return slices.MaxFunc(a.holderIDs, func(x, y string) int { return cmp.Compare(a.parts(x), a.parts(y)) })
}

// release unassigns parts of a holder: first those added in this assignment,
// then those of its newest entries.
func (a *assignment) release(id string, parts int) {
	a.unassigned += parts
	gained := min(a.added[id], parts)
	a.added[id] -= gained
	parts -= gained
	for i := len(a.entries) - 1; i >= 0 && parts > 0; i-- {
		if a.entries[i].Instance != id {
			continue
		}
		taken := min(a.entries[i].Parts, parts)
		a.entries[i].Parts -= taken
		parts -= taken
	}
	a.entries = slices.DeleteFunc(a.entries, func(e config.Holder) bool { return e.Parts == 0 })
}

// row returns the resulting row. Added parts become new entries.
func (a *assignment) row(since uint64) config.Shard {
	next := config.Shard{Holders: a.entries}
	for _, id := range a.holderIDs {
		if a.added[id] > 0 {
			e := config.Holder{Instance: id, Parts: a.added[id], Since: since}
			next.Holders = append(next.Holders, e)
		}
	}
	return next
}
