package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// subsetFill is the mean share of a server's connections in use. Rendezvous
	// hashing spreads the instances unevenly over the servers, and the server
	// with the most connections must stay within its limit.
	subsetFill = 0.75
	// minSubset is 2 so that a retry can go to another server.
	minSubset = 2
)

// SubsetSize returns the number of servers that an instance connects to, so that
// no server has more than maxConnections from a fleet of the given size.
func SubsetSize(instances, servers, maxConnections int) int {
	if instances <= maxConnections {
		return servers
	}
	size := int(subsetFill * float64(servers) * float64(maxConnections) / float64(instances))
	return min(servers, max(size, minSubset))
}

// Subset returns the servers that an instance connects to, sorted by
// preference. It depends only on the arguments. If one server is added or removed,
// at most one server of an instance's subset changes; if other instances are added
// or removed, none does unless SubsetSize changes.
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

// SubsetFloor returns the share of a service's floor, the number of servers that
// must stay in use, that applies to a subset of its servers, rounded up.
func SubsetFloor(floor, servers, subset int) int {
	if servers <= 0 {
		return 0
	}
	return min(subset, (floor*subset+servers-1)/servers)
}
