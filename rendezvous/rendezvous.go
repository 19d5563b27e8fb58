// Package rendezvous ranks the instances of a fleet for a key by highest random
// weight, so that all of them agree who comes first without a message.
package rendezvous

import "foxtailspoke/relay"

// Ranker are the ranks of one instance. They aren't safe for concurrent use.
type Ranker struct {
	self uint32
	// others are all instances that are known, heard or not, without this one.
	others []uint32
	known  bool
	cache  map[uint32]int
}

// NewRanker returns the ranks of an instance that doesn't know the fleet yet.
func NewRanker(self uint32) *Ranker { return &Ranker{self: self, cache: make(map[uint32]int)} }

// SetInstances replaces the other instances of the fleet, heard or not.
func (r *Ranker) SetInstances(ids []uint32) {
	r.others = ids
	r.known = true
	clear(r.cache)
}

// Initialized reports whether SetInstances was ever called. An instance that took
// itself for the only one would rank first for every key.
func (r *Ranker) Initialized() bool { return r.known }

// InstanceCount is how many instances the fleet has, with this one.
func (r *Ranker) InstanceCount() int { return len(r.others) + 1 }

// Rank returns the rank of this instance for a key, 0 the first.
func (r *Ranker) Rank(key uint32) int {
	if rank, known := r.cache[key]; known {
		return rank
	}
	own, rank := weight(key, r.self), 0
	for _, id := range r.others {
		if w := weight(key, id); w > own || (w == own && id > r.self) {
			rank++
		}
	}
	r.cache[key] = rank
	return rank
}

// Forget drops what is kept of a key.
func (r *Ranker) Forget(key uint32) { delete(r.cache, key) }

func weight(key, instance uint32) uint32 { return relay.Hash(relay.Hash(key) ^ instance) }
