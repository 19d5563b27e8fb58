package reach

import (
	"cmp"
	"slices"
)

// maxForwarders is the number of instances through which one attempt may be tried. A
// server may be out of reach of many instances, not all of which know it yet.
const maxForwarders = 3

// Peer is another instance that could forward requests.
type Peer struct {
	ID         uint32
	DataCentre string
}

// ChooseForwarders returns the instances that should forward a request, in order: one of
// this instance's data centre, whose use costs no additional traffic between data centres,
// then some of others, which a fault of the whole data centre leaves out, then any.
func ChooseForwarders(peers []Peer, dataCentre string, random func() float64) []Peer {
	type candidate struct {
		Peer
		tier int
		key  float64
	}
	candidates := make([]candidate, 0, len(peers))
	first := -1 // the candidate of this data centre that comes first
	for _, p := range peers {
		c := candidate{p, tierRemote, random()}
		if p.DataCentre == dataCentre {
			c.tier = tierLocal
			if first < 0 || c.key < candidates[first].key {
				first = len(candidates)
			}
		}
		candidates = append(candidates, c)
	}
	if first >= 0 {
		candidates[first].tier = tierFirst
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.key, b.key))
	})
	var chosen []Peer
	for _, c := range candidates[:min(maxForwarders, len(candidates))] {
		chosen = append(chosen, c.Peer)
	}
	return chosen
}

// The order in which candidates are chosen.
const (
	tierFirst = iota
	tierRemote
	tierLocal
)
