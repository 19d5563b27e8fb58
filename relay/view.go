package relay

import (
	"cmp"
	"slices"
)

// Member is an instance as the choice of relays sees it.
type Member struct {
	ID uint32
	// DataCentre is empty while unknown.
	DataCentre string
	// Alive reports that the instance has been heard recently.
	Alive bool
	// Stopping reports that the instance is about to stop.
	Stopping bool
	// SlowLink reports that the link of the instance should not carry the
	// rounds of a relay.
	SlowLink bool
}

const (
	// fastLinkRelays is the number of relays of a data centre with fast links.
	// One could carry the load; with two, half of the instances keep their
	// relay when one fails.
	fastLinkRelays = 2
	// slowLinkRelays is the number of relays that share the load of a data
	// centre with slow links only.
	slowLinkRelays = 6
)

// view is the part of the member list that the choice of relays depends on.
type view struct {
	self Member
	// local holds the live members of the own data centre, this instance
	// included, in relay order.
	local []Member
	// localSilent reports that the own data centre has known members that are
	// not alive.
	localSilent bool
	// remote holds the relays of each other data centre.
	remote []dataCentre
}

// dataCentre is another data centre.
type dataCentre struct {
	name   string
	relays []uint32
	// alive reports that the relays are live members; otherwise relays holds
	// all members.
	alive bool
}

func newView(self Member, others []Member) view {
	v := view{self: self, local: []Member{self}}
	centres := make(map[string][]Member)
	var unknown []dataCentre
	for _, m := range others {
		switch {
		case m.DataCentre == self.DataCentre:
			if m.Alive {
				v.local = append(v.local, m)
			} else {
				v.localSilent = true
			}
		case m.DataCentre == "":
			unknown = append(unknown, dataCentre{relays: []uint32{m.ID}})
		default:
			centres[m.DataCentre] = append(centres[m.DataCentre], m)
		}
	}
	sortMembers(v.local)
	for name, members := range centres {
		v.remote = append(v.remote, relaysOf(name, members))
	}
	if len(v.remote) == 0 {
		// Right after the start only the addresses of some instances are known.
		v.remote = unknown
	}
	slices.SortFunc(v.remote, func(a, b dataCentre) int { return cmp.Compare(a.relays[0], b.relays[0]) })
	return v
}

// relaysOf returns the relays of another data centre, or all of its members if
// none is alive.
func relaysOf(name string, members []Member) dataCentre {
	sortMembers(members)
	alive := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.Alive })
	if len(alive) == 0 {
		return dataCentre{name: name, relays: memberIDs(members)}
	}
	return dataCentre{name: name, relays: memberIDs(alive[:relayCount(alive)]), alive: true}
}

// sortMembers sorts members in the order in which they become relays, which is
// the same on all instances: not stopping before stopping, fast links before
// slow ones, then by hash.
func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(compareBool(a.Stopping, b.Stopping), compareBool(a.SlowLink, b.SlowLink), cmp.Compare(Hash(a.ID), Hash(b.ID)))
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// relayCount returns how many of the sorted members are relays.
func relayCount(ordered []Member) int {
	if len(ordered) >= fastLinkRelays && !ordered[fastLinkRelays-1].SlowLink {
		return fastLinkRelays
	}
	return min(len(ordered), slowLinkRelays)
}

func memberIDs(members []Member) []uint32 {
	list := make([]uint32, 0, len(members))
	for _, m := range members {
		list = append(list, m.ID)
	}
	return list
}

// remoteDataCentre looks up another data centre by name.
func (v *view) remoteDataCentre(name string) (dataCentre, bool) {
	for _, c := range v.remote {
		if c.name == name {
			return c, true
		}
	}
	return dataCentre{}, false
}

// relays returns the relays of the own data centre.
func (v *view) relays() []Member { return v.local[:relayCount(v.local)] }

// candidates returns the instances that this one may publish to, best first:
// itself if it is a relay, then the relays in an order that differs between
// instances, so that subscribers spread over them, then the other live members.
func (v *view) candidates() []uint32 {
	relays := slices.Clone(v.relays())
	slices.SortFunc(relays, func(a, b Member) int {
		own := v.self.ID
		return cmp.Or(compareBool(a.ID != own, b.ID != own), compareBool(a.Stopping, b.Stopping),
			cmp.Compare(Hash(a.ID^Hash(own)), Hash(b.ID^Hash(own))))
	})
	return append(memberIDs(relays), memberIDs(v.local[len(relays):])...)
}

// Hash maps IDs, which are addresses that differ in few bits, evenly to 32
// bits.
func Hash(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}
