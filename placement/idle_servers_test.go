package placement_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

type simulatedOutcome struct {
	at     time.Duration
	served bool
}

func (sim *simulation) recordOutcome(served bool, now time.Duration) {
	sim.outcomes = append(sim.outcomes, simulatedOutcome{now, served})
}

// unservedShare returns the share of requests within the last idleWindow that weren't served.
func (sim *simulation) unservedShare(now time.Duration) float64 {
	for len(sim.outcomes) > 0 && now-sim.outcomes[0].at > idleWindow {
		sim.outcomes = sim.outcomes[1:]
	}
	unserved := 0
	for _, o := range sim.outcomes {
		if !o.served {
			unserved++
		}
	}
	return float64(unserved) / float64(max(len(sim.outcomes), 1))
}

// requireIdleServersInUse requires that too many healthy servers are never idle while too
// many requests aren't served.
func requireIdleServersInUse(t *testing.T, z fleetParams) {
	t.Helper()
	for seed := range uint64(10) {
		sim := newSimulation(seed, z)
		sim.run(choosePlacer, 30*time.Second)
		sim.report(t, seed)
		must.Zero(t, sim.idleSamples, must.Sprintf("of %d samples with %d servers", sim.samples, z.servers))
	}
}

// Some instances can't connect to any server, and their requests aren't served. Guards
// against servers that the other instances take for used, or for failing, because of
// attempts that never arrived there.
func TestIdleServersComeIntoUseBesidePartitionedInstances(t *testing.T) {
	for _, z := range []fleetParams{
		{instances: 36, servers: 12, requestRate: 45, partitionedShare: 0.2},
		{instances: 36, servers: 22, requestRate: 100, partitionedShare: 0.3},
		{instances: 36, servers: 40, requestRate: 100, partitionedShare: 0.3},
	} {
		requireIdleServersInUse(t, z)
	}
}

// The same with so few servers that two idle ones are too many.
func TestIdleServersAmongFewComeIntoUseBesidePartitionedInstances(t *testing.T) {
	requireIdleServersInUse(t, fleetParams{instances: 36, servers: 8, requestRate: 45, partitionedShare: 0.3})
}

// As many requests are refused, but all instances reach the servers.
func TestIdleServersComeIntoUseWhileRequestsAreRefused(t *testing.T) {
	for _, z := range []fleetParams{
		{instances: 36, servers: 8, requestRate: 45, refused: 0.3},
		{instances: 36, servers: 22, requestRate: 100, refused: 0.3},
		{instances: 36, servers: 40, requestRate: 100, refused: 0.3},
	} {
		requireIdleServersInUse(t, z)
	}
}

// All instances lose power in the middle of two seconds. Just under half of the requests of
// that time go unserved, and only servers that received one within its first second count as
// in use.
func TestHealthyServersAreInUseWithinASecond(t *testing.T) {
	z := fleetParams{instances: 60, servers: 217, requestRate: 600, errors: 0.012, refused: 0.027, useWindow: time.Second}
	for seed := range uint64(3) {
		sim := newSimulation(seed, z)
		sim.run(choosePlacer, 30*time.Second)
		sim.report(t, seed)
		must.Zero(t, sim.lowSamples, must.Sprintf("of %d samples", sim.samples))
	}
}
