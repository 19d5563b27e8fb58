// Package ratesim plays fleets whose every request would go to a few servers with a
// limited rate if it may. Tests compare policies that share such a rate out.
package ratesim

import (
	"math/rand/v2"
	"time"
)

const (
	step = time.Millisecond
	// usualHearing is how long the news of a request takes to the other instances.
	usualHearing = 30 * time.Millisecond
)

// Policy is what an instance asks before it sends to a server.
type Policy interface {
	Allow(server uint32, now time.Duration) bool
	RecordSent(server uint32, now time.Duration)
	// RecordPeerSent takes in a request of another instance.
	RecordPeerSent(server uint32, now time.Duration)
}

// Scenario is a fleet under load.
type Scenario struct {
	Instances, Servers int
	// ServerRate that each server bears, in requests a second.
	ServerRate float64
	// RequestRate is how many requests the fleet gets.
	RequestRate float64
	// Partitioned says that each instance hears only every second other one.
	Partitioned bool
	// Isolated says that nobody hears anybody and only the list of instances is known.
	Isolated bool
	// PropagationDelay is how long news takes; 0 is as usual.
	PropagationDelay time.Duration
	// Duration of the play, and the Window over which requests are counted.
	Duration, Window time.Duration
}

// ServerID is the short form of the id of a server.
func ServerID(k int) uint32 { return uint32(1000 + k*7919) }

// NewFleet returns a policy for each instance, made from its own id and the others'.
func (s Scenario) NewFleet(policy func(self uint32, others []uint32) Policy) []Policy {
	ids := make([]uint32, s.Instances)
	for i := range ids {
		ids[i] = 0x0a000001 + uint32(i)
	}
	var fleet []Policy
	for i, id := range ids {
		others := append([]uint32(nil), ids[:i]...)
		fleet = append(fleet, policy(id, append(others, ids[i+1:]...)))
	}
	return fleet
}

// news is a request that others have yet to hear of.
type news struct {
	at     time.Duration
	from   int
	server uint32
}

// Run returns the most requests that a server got within a window, and the share
// of what all servers bear that was used.
func (s Scenario) Run(fleet []Policy, seed uint64) (most int, used float64) {
	hearing := max(s.PropagationDelay, usualHearing)
	rng := rand.New(rand.NewPCG(seed, 2))
	arrivals := make(map[uint32][]time.Duration)
	var pending []news
	total := 0
	for now := time.Duration(0); now < s.Duration; now += step {
		for len(pending) > 0 && pending[0].at <= now {
			s.tell(fleet, pending[0], now)
			pending = pending[1:]
		}
		if rng.Float64() >= s.RequestRate*step.Seconds() {
			continue
		}
		i := rng.IntN(s.Instances)
		for _, k := range rng.Perm(s.Servers) {
			server := ServerID(k)
			if !fleet[i].Allow(server, now) {
				continue
			}
			fleet[i].RecordSent(server, now)
			arrivals[server] = append(arrivals[server], now)
			pending = append(pending, news{now + hearing, i, server})
			total++
			break
		}
	}
	return s.busiest(arrivals), float64(total) / (s.ServerRate * float64(s.Servers) * s.Duration.Seconds())
}

func (s Scenario) tell(fleet []Policy, n news, now time.Duration) {
	for i, p := range fleet {
		if i != n.from && !s.Isolated && (!s.Partitioned || i%2 == n.from%2) {
			p.RecordPeerSent(n.server, now)
		}
	}
}

func (s Scenario) busiest(arrivals map[uint32][]time.Duration) (most int) {
	for _, list := range arrivals {
		first := 0
		for last, at := range list {
			for at-list[first] >= s.Window {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most
}
