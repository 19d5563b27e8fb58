package reach

import (
	"cmp"
	"slices"
)

// maxForwarders is the number of instances through which one attempt may be tried. The
// second one serves where the first is partitioned as well and hasn't reported it yet.
const maxForwarders = 2

// Peer is another instance that could forward requests.
type Peer struct {
	ID         uint32
	DataCentre string
}

// ChooseForwarders returns the instances that should forward a request, in order: one of
// this instance's data centre, whose use costs no additional traffic between data centres,
// then one of another, which a fault of the whole data centre leaves out.
func ChooseForwarders(peers []Peer, dataCentre string, random func() float64) []Peer {
	type candidate struct {
		Peer
		key float64
	}
	candidates := make([]candidate, 0, len(peers))
	for _, p := range peers {
		candidates = append(candidates, candidate{p, random()})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if aLocal, bLocal := a.DataCentre == dataCentre, b.DataCentre == dataCentre; aLocal != bLocal {
			if aLocal {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.key, b.key)
	})
	var chosen []Peer
	for _, c := range candidates {
		if len(chosen) == 0 || c.DataCentre != chosen[0].DataCentre {
			chosen = append(chosen, c.Peer)
		}
		if len(chosen) == maxForwarders {
			return chosen
		}
	}
	// All candidates are in one data centre.
	for _, c := range candidates[min(1, len(candidates)):] {
		if len(chosen) < maxForwarders {
			chosen = append(chosen, c.Peer)
		}
	}
	return chosen
}
