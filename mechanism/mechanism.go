// Package mechanism names the mechanisms of request placement and admission that
// can be disabled individually, so that experiments can measure the effect of
// each. All are enabled unless the settings of a trial or experiment disable some.
package mechanism

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Name identifies a mechanism in settings and reports.
type Name string

// The mechanisms.
const (
	// Spread sends requests to idle servers while many requests go unserved.
	Spread Name = "spread"
	// UnusedServers sends an early request to a server that has never had
	// one.
	UnusedServers Name = "newcomer"
	// KeepInUse sends an occasional request to idle servers that are probably
	// healthy.
	KeepInUse Name = "keep"
	// Probe uses retryable requests to find out whether failed servers have
	// recovered.
	Probe Name = "probe"
	// RandomTiming randomizes when a server is due for a request under the
	// other mechanisms, so that instances don't all choose it at once.
	RandomTiming Name = "chance"
	// FailurePrediction avoids servers that failed while they are likely to
	// fail again.
	FailurePrediction Name = "spells"
	// PathFailures distinguishes a network path that is down from a failing
	// server.
	PathFailures Name = "paths"
	// SlowServers includes the measured slowness of a server in its expected
	// latency.
	SlowServers Name = "slowness"
	// LocalPreference prefers servers in the instance's data centre.
	LocalPreference Name = "crossing"
	// QueueCost adds a cost for each round of requests queued ahead, besides
	// the cost of the latency.
	QueueCost Name = "waiting"
	// Occupancy adds a cost for the share of a server's slots that is taken.
	Occupancy Name = "occupancy"
	// Hedge sends a retryable request to a second server when the response is
	// late.
	Hedge Name = "hedge"
	// Priorities admits low-priority requests only with a shorter expected
	// wait.
	Priorities Name = "rank"
	// RateTolerance raises the enforced rate limits by part of the overshoot
	// that the platform tolerates.
	RateTolerance Name = "tolerance"
	// FreshConnections sends non-idempotent requests only on new or recently
	// used connections.
	FreshConnections Name = "fresh"
	// Forwarding has other instances send requests to servers that this one can't connect
	// to.
	Forwarding Name = "forwarding"
	// Reserve leaves tokens of a workspace over its rate to its more urgent requests, and spreads
	// the times at which refused callers return.
	Reserve Name = "reserve"
	// Admission rejects requests to services whose servers are full, by the outcomes of the
	// attempts of all instances.
	Admission Name = "admission"
	// Locality plans which requests leave their data centre by the load of its servers.
	Locality Name = "locality"
	// ServerMemory bounds the bytes that servers get after one ended while it held many.
	ServerMemory Name = "server-memory"
)

// All lists all mechanisms.
var All = []Name{
	Spread, UnusedServers, KeepInUse, Probe, RandomTiming, FailurePrediction, PathFailures, SlowServers, LocalPreference, QueueCost, Occupancy, Hedge, Priorities, RateTolerance, FreshConnections, Forwarding, Reserve, Admission, Locality, ServerMemory,
}

// Disabled is a set of disabled mechanisms. The zero value is empty.
type Disabled struct{ names []Name }

// Disable returns the set with the given names.
func Disable(names ...Name) Disabled { return Disabled{slices.Clone(names)} }

// Parse returns the set with the given names, or an error if one is unknown.
func Parse(names []string) (Disabled, error) {
	var disabled Disabled
	for _, n := range names {
		if !slices.Contains(All, Name(n)) {
			return Disabled{}, errors.Newf("unknown mechanism %q; known are %s", n, joinAll())
		}
		disabled.names = append(disabled.names, Name(n))
	}
	return disabled, nil
}

// Enabled reports whether a mechanism is enabled.
func (d Disabled) Enabled(n Name) bool { return len(d.names) == 0 || !slices.Contains(d.names, n) }

// String returns the names separated by commas, or "none".
func (d Disabled) String() string {
	if len(d.names) == 0 {
		return "none"
	}
	names := make([]string, 0, len(d.names))
	for _, n := range d.names {
		names = append(names, string(n))
	}
	return strings.Join(names, ", ")
}

func joinAll() string {
	names := make([]string, 0, len(All))
	for _, n := range All {
		names = append(names, string(n))
	}
	return strings.Join(names, ", ")
}
