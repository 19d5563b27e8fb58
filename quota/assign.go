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
	live := rank(name, candidates)
	holders = min(holders, len(live), config.PartsPerShard)
	if holders < 1 {
		return row, false
	}
	a := newAssignment(row, live)
	a.dropExcess(holders)
	a.addMissing(holders, live)
	a.share(holders)
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
	byBurst := int(min(bursts[len(bursts)/2]/minShare, float64(maxHolders)))
	byRate := minHolders + int(min(rate/ratePerHolder, float64(maxHolders)))
	return max(1, min(byRate, byBurst, maxHolders))
}

const (
	// minHolders keeps most of a limit when one holder is gone.
	minHolders = 3
	// minShare is the burst in tokens that each holder should have at least.
	minShare = 2
	// ratePerHolder is the rate in tokens per second for one more holder.
	ratePerHolder = 100
)

// rank orders the live candidates by rendezvous hash for a shard.
func rank(name string, candidates []Candidate) []Candidate {
	var live []Candidate
	for _, c := range candidates {
		if c.State == Live {
			live = append(live, c)
		}
	}
	slices.SortFunc(live, func(x, y Candidate) int {
		return cmp.Or(
			cmp.Compare(pairHash(name, x.ID), pairHash(name, y.ID)),
			cmp.Compare(x.ID, y.ID),
		)
	})
	return live
}

// assignment is a row while it is being changed.
type assignment struct {
	entries []config.Holder
	// order has the holders, those of the row first.
	order []string
	// free are the parts that nobody holds.
	free int
	// gains are the parts to be added per holder.
	gains map[string]int
}

// newAssignment takes the entries of live holders over.
func newAssignment(row config.Shard, live []Candidate) *assignment {
	a := &assignment{free: config.PartsPerShard, gains: map[string]int{}}
	if !valid(row) {
		return a
	}
	for _, e := range row.Holders {
		isLive := slices.ContainsFunc(live, func(c Candidate) bool { return c.ID == e.Instance })
		if !isLive {
			continue
		}
		a.entries = append(a.entries, e)
		a.free -= e.Parts
		if !slices.Contains(a.order, e.Instance) {
			a.order = append(a.order, e.Instance)
		}
	}
	return a
}

func (a *assignment) parts(id string) int {
	sum := a.gains[id]
	for _, e := range a.entries {
		if e.Instance == id {
			sum += e.Parts
		}
	}
	return sum
}

// dropExcess takes all parts of the holders that are too many, those with
// the fewest parts first.
func (a *assignment) dropExcess(holders int) {
	for len(a.order) > holders {
		fewest := a.order[len(a.order)-1]
		for _, id := range a.order {
			if a.parts(id) < a.parts(fewest) {
				fewest = id
			}
		}
		a.take(fewest, a.parts(fewest))
		a.order = slices.DeleteFunc(a.order, func(id string) bool { return id == fewest })
	}
}

// addMissing adds holders in the order of rank, and prefers data centres
// that have none.
func (a *assignment) addMissing(holders int, live []Candidate) {
	used := map[string]bool{}
	for _, c := range live {
		if slices.Contains(a.order, c.ID) {
			used[c.DataCentre] = true
		}
	}
	for _, anyCentre := range []bool{false, true} {
		for _, c := range live {
			if len(a.order) >= holders {
				return
			}
			if slices.Contains(a.order, c.ID) || (used[c.DataCentre] && !anyCentre) {
				continue
			}
			a.order = append(a.order, c.ID)
			used[c.DataCentre] = true
		}
	}
}

// share gives each holder at least its even share, from the free parts and
// then from those who have more, and spreads what is still free.
func (a *assignment) share(holders int) {
	even := config.PartsPerShard / holders
	for _, id := range a.order {
		a.raise(id, even)
	}
	for a.free > 0 {
		a.raise(a.fewest(), a.parts(a.fewest())+1)
	}
}

// raise brings a holder's parts up to a number.
func (a *assignment) raise(id string, parts int) {
	for a.parts(id) < parts {
		if a.free == 0 {
			a.take(a.most(), 1)
		}
		a.free--
		a.gains[id]++
	}
}

func (a *assignment) fewest() string {
	return slices.MinFunc(a.order, func(x, y string) int { return cmp.Compare(a.parts(x), a.parts(y)) })
}

func (a *assignment) most() string {
	return slices.MaxFunc(a.order, func(x, y string) int { return cmp.Compare(a.parts(x), a.parts(y)) })
}

// take frees parts of a holder, gains first, then its newest entries.
func (a *assignment) take(id string, parts int) {
	a.free += parts
	gained := min(a.gains[id], parts)
	a.gains[id] -= gained
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
	for _, id := range a.order {
		if a.gains[id] > 0 {
			e := config.Holder{Instance: id, Parts: a.gains[id], Since: since}
			next.Holders = append(next.Holders, e)
		}
	}
	return next
}
