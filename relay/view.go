package relay

import (
	"cmp"
	"slices"
)

// Member is an instance of the fleet.
type Member struct {
	ID uint32
	// DataCentre is empty as long as it isn't known.
	DataCentre string
	// Alive says that it is heard.
	Alive bool
	// Stopping says that it will be gone soon.
	Stopping bool
	// SlowLink says that its link shouldn't carry the rounds of others.
	SlowLink bool
}

const (
	// relaysFast is how many relays a data centre has where links are fast. One
	// could carry the load; with two, half of the instances keep theirs when one
	// dies.
	relaysFast = 2
	// relaysSlow is how many share the load where links are slow.
	relaysSlow = 6
)

// view is what follows from the members for the choice of relays.
type view struct {
	self Member
	// here are the living members of the own data centre, this one included,
	// in the order in which they become relays.
	here []Member
	// silent says that other members of the own data centre are known and not
	// heard.
	silent bool
	// there are the relays of every other data centre.
	there []centre
}

// centre is another data centre.
type centre struct {
	name   string
	relays []uint32
	// heard says that they live; else the relays are all of its members.
	heard bool
}

func newView(self Member, others []Member) view {
	v := view{self: self, here: []Member{self}}
	centres := make(map[string][]Member)
	var unknown []centre
	for _, m := range others {
		switch {
		case m.DataCentre == self.DataCentre:
			if m.Alive {
				v.here = append(v.here, m)
			} else {
				v.silent = true
			}
		case m.DataCentre == "":
			unknown = append(unknown, centre{relays: []uint32{m.ID}})
		default:
			centres[m.DataCentre] = append(centres[m.DataCentre], m)
		}
	}
	order(v.here)
	for name, members := range centres {
		v.there = append(v.there, relaysOf(name, members))
	}
	if len(v.there) == 0 {
		// Only the addresses of some instances are known, as at the start.
		v.there = unknown
	}
	slices.SortFunc(v.there, func(a, b centre) int { return cmp.Compare(a.relays[0], b.relays[0]) })
	return v
}

// relaysOf returns the relays of another data centre: all of its members if
// none of them is heard.
func relaysOf(name string, members []Member) centre {
	order(members)
	alive := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.Alive })
	if len(alive) == 0 {
		return centre{name: name, relays: ids(members)}
	}
	return centre{name: name, relays: ids(alive[:count(alive)]), heard: true}
}

// order sorts members as all instances of the fleet do: those that stay before
// those that stop, fast links before slow ones, then by a hash.
func order(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(compare(a.Stopping, b.Stopping), compare(a.SlowLink, b.SlowLink), cmp.Compare(Hash(a.ID), Hash(b.ID)))
	})
}

// compare puts false before true.
func compare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// count is how many of the ordered members are relays.
func count(ordered []Member) int {
	if len(ordered) >= relaysFast && !ordered[relaysFast-1].SlowLink {
		return relaysFast
	}
	return min(len(ordered), relaysSlow)
}

func ids(members []Member) []uint32 {
	list := make([]uint32, 0, len(members))
	for _, m := range members {
		list = append(list, m.ID)
	}
	return list
}

// centre returns another data centre.
func (v *view) centre(name string) (centre, bool) {
	for _, c := range v.there {
		if c.name == name {
			return c, true
		}
	}
	return centre{}, false
}

// relays are those of the own data centre.
func (v *view) relays() []Member { return v.here[:count(v.here)] }

// choices are the instances that this one may tell, best first: itself if it is
// a relay, else the relays in an order of its own, so that subscribers spread
// over them, then the others.
func (v *view) choices() []uint32 {
	relays := slices.Clone(v.relays())
	slices.SortFunc(relays, func(a, b Member) int {
		own := v.self.ID
		return cmp.Or(compare(a.ID != own, b.ID != own), compare(a.Stopping, b.Stopping),
			cmp.Compare(Hash(a.ID^Hash(own)), Hash(b.ID^Hash(own))))
	})
	return append(ids(relays), ids(v.here[len(relays):])...)
}

// Hash spreads addresses, which differ in few bits, over all numbers.
func Hash(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}
