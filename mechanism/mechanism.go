// Package mechanism names the mechanisms of the fleet's decisions that can be
// switched off one by one, so that experiments can tell what each is worth.
// Nothing is off unless a trial's settings say so.
package mechanism

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Name of a mechanism.
type Name string

// The mechanisms.
const (
	// Spread brings idle servers into use while many requests go unserved.
	Spread Name = "spread"
	// UnusedServers gives an early request to a server that never got one.
	UnusedServers Name = "newcomer"
	// KeepInUse gives a request now and then to servers that are probably well.
	KeepInUse Name = "keep"
	// Probe lets lookups find out whether servers that failed are well again.
	Probe Name = "probe"
	// RandomTiming spreads what is due over time by chance.
	RandomTiming Name = "chance"
	// FailurePrediction avoids servers that failed, as long as they are likely to fail.
	FailurePrediction Name = "spells"
	// PathFailures tells a cut path of one instance from a server in trouble.
	PathFailures Name = "paths"
	// SlowServers expects slow servers to be slow.
	SlowServers Name = "slowness"
	// LocalPreference prefers servers of the own data centre.
	LocalPreference Name = "crossing"
	// QueueCost makes each round of requests before a request cost something
	// beside its time.
	QueueCost Name = "waiting"
	// Hedge asks a second server when a lookup's answer is late.
	Hedge Name = "hedge"
	// Priorities lets less urgent requests wait for less of their time.
	Priorities Name = "rank"
	// RateTolerance gives workspaces a part of the platform's tolerance on rates.
	RateTolerance Name = "tolerance"
	// FreshConnections sends orders on connections that haven't rested.
	FreshConnections Name = "fresh"
)

// All are the names of all mechanisms.
var All = []Name{
	Spread, UnusedServers, KeepInUse, Probe, RandomTiming, FailurePrediction, PathFailures, SlowServers, LocalPreference, QueueCost, Hedge, Priorities, RateTolerance, FreshConnections,
}

// Disabled are the mechanisms that are switched off. The zero value is none.
type Disabled struct{ names []Name }

// Disable returns Off with the given names.
func Disable(names ...Name) Disabled { return Disabled{slices.Clone(names)} }

// Parse checks names.
func Parse(names []string) (Disabled, error) {
	var off Disabled
	for _, n := range names {
		if !slices.Contains(All, Name(n)) {
			return Disabled{}, errors.Newf("mechanism %q isn't known; there are %s", n, joinAll())
		}
		off.names = append(off.names, Name(n))
	}
	return off, nil
}

// Enabled reports whether a mechanism is in force.
func (o Disabled) Enabled(n Name) bool { return len(o.names) == 0 || !slices.Contains(o.names, n) }

// String lists the names, "none" without any.
func (o Disabled) String() string {
	if len(o.names) == 0 {
		return "none"
	}
	names := make([]string, 0, len(o.names))
	for _, n := range o.names {
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
