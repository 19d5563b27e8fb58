package quota

import (
	"cmp"
	"slices"

	"foxtailspoke/config"
)

// CandidateState is what the assigning instance knows of another one.
type CandidateState int

const (
	// Live instances may hold parts.
	Live CandidateState = iota
	// Leaving instances hand their parts over.
	Leaving
	// Ended instances are listed by the platform as gone.
	Ended
	// Unreachable instances haven't answered for so long that their parts
	// should move. They may still be running.
	Unreachable
)

// Candidate is an entry instance that could hold parts.
type Candidate struct {
	ID         string
	DataCentre string
	State      CandidateState
}

// Assign returns the row that a shard should have, and whether it differs.
// What it takes away is in force only as package membership says; the state
// of the candidates needn't be true for safety.
//
// Live holders keep their entries as far as possible. The parts of others go
// to new holders, chosen by rendezvous hash over the live candidates, data
// centres without a holder first. since is the control table's revision that
// the write expects; it marks the entries that gain parts.
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
// its workspaces: enough for the greatest rate, and no more than leave a
// holder minShare tokens of most bursts, so that few requests have to put a
// token together from several shares.
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
	// minHolders keeps most of a limit when one holder is gone.
	minHolders = 3
	// minBurstPerHolder is the burst in tokens that each holder should have at least.
	minBurstPerHolder = 2
	// ratePerHolder is the rate in tokens per second for one more holder.
	ratePerHolder = 100
)

// rankLive orders the live candidates by rendezvous hash for a shard.
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

// assignment is a row while it is being changed.
type assignment struct {
	entries []config.Holder
	// holderIDs has the holders, those of the row first.
	holderIDs []string
	// unassigned are the parts that nobody holds.
	unassigned int
	// added are the parts to be added per holder.
	added map[string]int
}

// newAssignment takes the entries of live holders over.
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

// removeExcessHolders takes all parts of the holders that are too many, those with
// the fewest parts first.
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

// addHolders adds holders in the order of rank, and prefers data centres
// that have none.
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

// distribute gives each holder at least its even distribute, from the free parts and
// then from those who have more, and spreads what is still free.
func (a *assignment) distribute(holders int) {
	even := config.PartsPerShard / holders
	for _, id := range a.holderIDs {
		a.raiseTo(id, even)
	}
	for a.unassigned > 0 {
		a.raiseTo(a.smallestHolder(), a.parts(a.smallestHolder())+1)
	}
}

// raiseTo brings a holder's parts up to a number.
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

// release frees parts of a holder, gains first, then its newest entries.
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

// row returns the entries with the gains as new entries.
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
