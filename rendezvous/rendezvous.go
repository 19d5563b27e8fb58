// Package rendezvous ranks the instances of a fleet for a key by highest random
// weight, so that all instances agree on the order without exchanging messages.
package rendezvous

import "foxtailspoke/relay"

// Ranker computes the rank of one instance among the fleet. It isn't safe for
// concurrent use.
type Ranker struct {
	self uint32
	// others are all other known instances, reachable or not.
	others      []uint32
	initialized bool
	cache       map[uint32]int
}

// NewRanker returns a ranker that doesn't know the fleet yet.
func NewRanker(self uint32) *Ranker { return &Ranker{self: self, cache: make(map[uint32]int)} }

// SetInstances replaces the other instances of the fleet, reachable or not.
func (r *Ranker) SetInstances(ids []uint32) {
	r.others = ids
	r.initialized = true
	clear(r.cache)
}

// Initialized reports whether SetInstances has been called. Before that, an
// instance would consider itself alone and rank first for every key.
func (r *Ranker) Initialized() bool { return r.initialized }

// InstanceCount returns the number of instances in the fleet, including this one.
func (r *Ranker) InstanceCount() int { return len(r.others) + 1 }

// Rank returns the rank of this instance for a key; 0 is the highest.
func (r *Ranker) Rank(key uint32) int {
	if rank, cached := r.cache[key]; cached {
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

// Forget drops the cached rank for a key.
func (r *Ranker) Forget(key uint32) { delete(r.cache, key) }

func weight(key, instance uint32) uint32 { return relay.Hash(relay.Hash(key) ^ instance) }
