// Package ratesim simulates fleets in which every request goes to a few servers with
// a limited rate if allowed. Tests compare policies that divide such a rate among
// the instances.
package ratesim

import (
	"math/rand/v2"
	"time"
)

const (
	step = time.Millisecond
	// minPropagationDelay is the time until other instances learn of a request, unless
	// the scenario has a longer one.
	minPropagationDelay = 30 * time.Millisecond
)

// Policy decides for one instance whether it may send to a server.
type Policy interface {
	Allow(server uint32, now time.Duration) bool
	RecordSent(server uint32, now time.Duration)
	// RecordPeerSent records a request that another instance sent.
	RecordPeerSent(server uint32, now time.Duration)
}

// Scenario describes a fleet under load.
type Scenario struct {
	Instances, Servers int
	// ServerRate is what each server can handle, in requests per second.
	ServerRate float64
	// RequestRate is what the fleet receives, in requests per second.
	RequestRate float64
	// Partitioned means that each instance receives messages from only half of the
	// others.
	Partitioned bool
	// Isolated means that instances receive no messages and know only the list of
	// instances.
	Isolated bool
	// PropagationDelay is the time until other instances learn of a request; smaller
	// values than minPropagationDelay have no effect.
	PropagationDelay time.Duration
	// Duration of the simulation, and the Window over which requests are counted.
	Duration, Window time.Duration
}

// ServerID returns the hashed ID of a server.
func ServerID(k int) uint32 { return uint32(1000 + k*7919) }

// NewFleet returns a policy for each instance, created from its own ID and those of
// the others.
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

// notice is a request that the other instances haven't learned of yet.
type notice struct {
	at     time.Duration
	from   int
	server uint32
}

// Run returns the highest number of requests that a server received within a window,
// and the utilization of the capacity of all servers.
func (s Scenario) Run(fleet []Policy, seed uint64) (peak int, utilization float64) {
	delay := max(s.PropagationDelay, minPropagationDelay)
	rng := rand.New(rand.NewPCG(seed, 2))
	arrivals := make(map[uint32][]time.Duration)
	var pending []notice
	total := 0
	for now := time.Duration(0); now < s.Duration; now += step {
		for len(pending) > 0 && pending[0].at <= now {
			s.deliver(fleet, pending[0], now)
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
			pending = append(pending, notice{now + delay, i, server})
			total++
			break
		}
	}
	return s.peakRequests(arrivals), float64(total) / (s.ServerRate * float64(s.Servers) * s.Duration.Seconds())
}

func (s Scenario) deliver(fleet []Policy, n notice, now time.Duration) {
	for i, p := range fleet {
		if i != n.from && !s.Isolated && (!s.Partitioned || i%2 == n.from%2) {
			p.RecordPeerSent(n.server, now)
		}
	}
}

func (s Scenario) peakRequests(arrivals map[uint32][]time.Duration) (peak int) {
	for _, list := range arrivals {
		first := 0
		for last, at := range list {
			for at-list[first] >= s.Window {
				first++
			}
			peak = max(peak, last-first+1)
		}
	}
	return peak
}
