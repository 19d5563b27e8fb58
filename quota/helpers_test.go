package quota

import (
	"cmp"
	"flag"
	"slices"
)

// seeds is the number of simulated histories. Raise it for a longer search.
var seeds = flag.Int("quota.seeds", 24, "number of seeded histories")

func sortChanges(changes []limitChange) {
	slices.SortFunc(changes, func(a, b limitChange) int { return cmp.Compare(a.at, b.at) })
}
