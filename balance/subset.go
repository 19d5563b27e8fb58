package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// subsetFill leaves room for chance: rendezvous hashing spreads the
	// instances over the servers like dice, and the fullest server must stay
	// within its connections.
	subsetFill = 0.75
	// minSubset lets a retry go to another server.
	minSubset = 2
)

// SubsetSize returns how many servers an instance connects to, so that no
// server has more than maxConnections from a fleet of so many instances.
func SubsetSize(instances, servers, maxConnections int) int {
	if instances <= maxConnections {
		return servers
	}
	size := int(subsetFill * float64(servers) * float64(maxConnections) / float64(instances))
	return min(servers, max(size, minSubset))
}

// Subset returns the servers that an instance connects to, sorted by
// preference. It depends only on the arguments. If one server comes or goes,
// at most one server of an instance's subset changes; if other instances come
// or go, none does, except when SubsetSize changes.
func Subset(instance string, instances int, servers []string, maxConnections int) []string {
	type ranked struct {
		id   string
		hash uint64
	}
	list := make([]ranked, len(servers))
	for i, s := range servers {
		list[i] = ranked{id: s, hash: xxhash.Sum64String(instance + "\x00" + s)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
	})
	subset := make([]string, SubsetSize(instances, len(servers), maxConnections))
	for i := range subset {
		subset[i] = list[i].id
	}
	return subset
}

// SubsetFloor returns the share of a service's floor that falls to a view of
// some of its servers, rounded up.
func SubsetFloor(floor, servers, view int) int {
	if servers <= 0 {
		return 0
	}
	return min(view, (floor*view+servers-1)/servers)
}
