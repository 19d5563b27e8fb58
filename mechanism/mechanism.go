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
	// Newcomer gives an early request to a server that never got one.
	Newcomer Name = "newcomer"
	// Keep gives a request now and then to servers that are probably well.
	Keep Name = "keep"
	// Probe lets lookups find out whether servers that failed are well again.
	Probe Name = "probe"
	// Chance spreads what is due over time by chance.
	Chance Name = "chance"
	// Spells avoids servers that failed, as long as they are likely to fail.
	Spells Name = "spells"
	// Paths tells a cut path of one instance from a server in trouble.
	Paths Name = "paths"
	// Slowness expects slow servers to be slow.
	Slowness Name = "slowness"
	// Crossing prefers servers of the own data centre.
	Crossing Name = "crossing"
	// Waiting makes each round of requests before a request cost something
	// beside its time.
	Waiting Name = "waiting"
	// Hedge asks a second server when a lookup's answer is late.
	Hedge Name = "hedge"
	// Rank lets less urgent requests wait for less of their time.
	Rank Name = "rank"
	// Tolerance gives workspaces a part of the platform's tolerance on rates.
	Tolerance Name = "tolerance"
	// Fresh sends orders on connections that haven't rested.
	Fresh Name = "fresh"
)

// All are the names of all mechanisms.
var All = []Name{
	Spread, Newcomer, Keep, Probe, Chance, Spells, Paths, Slowness, Crossing, Waiting, Hedge, Rank, Tolerance, Fresh,
}

// Off are the mechanisms that are switched off. The zero value is none.
type Off struct{ names []Name }

// Without returns Off with the given names.
func Without(names ...Name) Off { return Off{slices.Clone(names)} }

// Parse checks names.
func Parse(names []string) (Off, error) {
	var off Off
	for _, n := range names {
		if !slices.Contains(All, Name(n)) {
			return Off{}, errors.Newf("mechanism %q isn't known; there are %s", n, list())
		}
		off.names = append(off.names, Name(n))
	}
	return off, nil
}

// On reports whether a mechanism is in force.
func (o Off) On(n Name) bool { return len(o.names) == 0 || !slices.Contains(o.names, n) }

// String lists the names, "none" without any.
func (o Off) String() string {
	if len(o.names) == 0 {
		return "none"
	}
	names := make([]string, 0, len(o.names))
	for _, n := range o.names {
		names = append(names, string(n))
	}
	return strings.Join(names, ", ")
}

func list() string {
	names := make([]string, 0, len(All))
	for _, n := range All {
		names = append(names, string(n))
	}
	return strings.Join(names, ", ")
}
