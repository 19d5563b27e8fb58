package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"foxtailspoke/routing"
)

// DifferenceKind is what has changed.
type DifferenceKind string

// The kinds of differences.
const (
	LimitDifference     DifferenceKind = "limit"
	RouteDifference     DifferenceKind = "route"
	ServiceDifference   DifferenceKind = "service"
	WorkspaceDifference DifferenceKind = "workspace"
	KeyDifference       DifferenceKind = "key"
)

// Change is how it has changed.
type Change string

// The changes.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is one change that a configuration makes to another one.
type Difference struct {
	Kind   DifferenceKind `json:"kind"`
	Change Change         `json:"change"`
	// Name is that of the route, service or workspace, or the digest of a key.
	Name string `json:"name,omitempty"`
	// Attribute is the changed value, such as "latency target"; empty if the whole
	// entry was added or removed.
	Attribute string `json:"attribute,omitempty"`
	Before    string `json:"before,omitempty"`
	After     string `json:"after,omitempty"`
	// Line and Field are the place in the newer file; 0 and empty for what was removed.
	Line  int    `json:"line,omitempty"`
	Field string `json:"field,omitempty"`
}

// String describes the difference in one line.
func (d Difference) String() string {
	subject := string(d.Kind)
	if d.Name != "" {
		subject += " " + d.Name
	}
	switch d.Change {
	case Added:
		return fmt.Sprintf("%s added: %s", subject, d.After)
	case Removed:
		return fmt.Sprintf("%s removed: %s", subject, d.Before)
	default:
		return fmt.Sprintf("%s: %s %s, was %s", subject, d.Attribute, d.After, d.Before)
	}
}

// Differences returns what the newer configuration changes: limits, routes,
// services, workspaces and keys in the order of its file, each followed by what was
// removed. Values that mean the same to instances, such as a split of 90 to 10 and
// one of 9 to 1, don't differ.
func Differences(before, after Document) []Difference {
	d := differ{locate: after.Locate, found: []Difference{}}
	compareValues(&d, LimitDifference, "", Field{Section: Limits}, limitValues, before.Config.Limits,
		after.Config.Limits)
	compareEntries(&d, RouteDifference, Routes, routeID, routeSummary, routeValues, before.Config.Routes,
		after.Config.Routes)
	compareEntries(&d, ServiceDifference, Services, serviceName, serviceSummary, serviceValues,
		before.Config.Services, after.Config.Services)
	compareEntries(&d, WorkspaceDifference, Workspaces, workspaceName, workspaceSummary, workspaceValues,
		before.Config.Workspaces, after.Config.Workspaces)
	d.compareKeyUse(before.Config, after.Config)
	d.compareKeys(before, after)
	return d.found
}

// CompareVersions returns a warning if instances that have the first configuration
// in force wouldn't take the second one for a newer one.
func CompareVersions(before, after Document, differ bool) []Finding {
	b, a := before.Config.Version, after.Config.Version
	p := after.Locate(Field{Attribute: Version})
	f := Finding{Severity: Warning, Code: VersionNotIncreasing, Line: p.Line, Field: p.Path}
	switch {
	case a < b:
		f.Text = fmt.Sprintf("version %d is lower than %d, which instances would keep in force", a, b)
	case a == b && differ:
		f.Text = fmt.Sprintf("the other configuration has version %d, too, with another content", a)
	default:
		return nil
	}
	return []Finding{f}
}

// value is a value of an entry in the words of operators.
type value[T any] struct {
	attribute Attribute
	name      string
	format    func(T) string
}

var limitValues = []value[routing.Limits]{
	{
		MaxHeaderBytes, "bytes of a request's headers",
		func(l routing.Limits) string { return formatBound(l.MaxHeaderBytes) },
	},
	{
		MaxBodyBytes, "bytes of a request's body",
		func(l routing.Limits) string { return formatBound(l.MaxBodyBytes) },
	},
	{
		HeaderTimeout, "time for a request's headers",
		func(l routing.Limits) string { return formatBound(l.HeaderTimeout) },
	},
	{
		IdleTimeout, "time without a request on a connection",
		func(l routing.Limits) string { return formatBound(l.IdleTimeout) },
	},
}

var routeValues = []value[routing.Route]{
	{Host, "host", func(r routing.Route) string { return r.Host }},
	{Prefix, "prefix", func(r routing.Route) string { return r.Prefix }},
	{Kind, "kind", func(r routing.Route) string { return formatKind(r.Kind) }},
	{RouteServices, "service", func(r routing.Route) string { return formatSplit(r.Services) }},
	{Timeout, "timeout", func(r routing.Route) string { return formatBound(r.Timeout) }},
	{LatencyTarget, "latency target", func(r routing.Route) string { return r.LatencyTarget.String() }},
	{Priority, "priority", func(r routing.Route) string { return fmt.Sprint(r.Priority) }},
	{MaxAttempts, "attempts", func(r routing.Route) string { return fmt.Sprint(r.MaxAttempts) }},
	{Public, "access", func(r routing.Route) string { return formatAccess(r.Public) }},
	{Regions, "regions", func(r routing.Route) string { return formatRegions(r.Regions) }},
}

var serviceValues = []value[routing.Service]{
	{HealthPath, "health path", func(s routing.Service) string { return orNone(s.HealthPath) }},
	{
		MaxConnections, "connections of a server",
		func(s routing.Service) string { return formatBound(s.MaxConnections) },
	},
	{WarmUp, "warm-up", func(s routing.Service) string { return max(s.WarmUp, 0).String() }},
	{WarmUpRate, "rate of a cold server", func(s routing.Service) string { return formatRate(s.WarmUpRate) }},
}

var workspaceValues = []value[routing.Workspace]{
	{Priority, "priority", formatPriority},
	{Rate, "rate", func(w routing.Workspace) string { return formatRate(w.Rate) }},
	{Burst, "burst", func(w routing.Workspace) string { return fmt.Sprint(w.Burst) }},
	{Regions, "regions", func(w routing.Workspace) string { return formatRegions(w.Regions) }},
}

func routeID(r routing.Route) string {
	if r.Name == "" {
		return r.Host + r.Prefix
	}
	return r.Name
}

func routeSummary(r routing.Route) string {
	return fmt.Sprintf("host %s, prefix %s, %s, service %s", orNone(r.Host), r.Prefix, formatKind(r.Kind),
		formatSplit(r.Services))
}

func serviceName(s routing.Service) string { return s.Name }

func serviceSummary(s routing.Service) string {
	return "connections of a server " + formatBound(s.MaxConnections)
}

func workspaceName(w routing.Workspace) string { return w.Name }

func workspaceSummary(w routing.Workspace) string {
	return fmt.Sprintf("rate %s, burst %g, regions %s", formatRate(w.Rate), w.Burst, formatRegions(w.Regions))
}

// differ collects differences.
type differ struct {
	locate func(Field) Position
	found  []Difference
}

func (d *differ) add(x Difference, f Field) {
	if x.Change != Removed {
		p := d.locate(f)
		x.Line, x.Field = p.Line, p.Path
	}
	d.found = append(d.found, x)
}

func compareValues[T any](d *differ, kind DifferenceKind, name string, f Field, values []value[T],
	before, after T,
) {
	for _, v := range values {
		x, y := v.format(before), v.format(after)
		if x == y {
			continue
		}
		f.Attribute = v.attribute
		f.Element = WholeList
		d.add(Difference{Kind: kind, Change: Changed, Name: name, Attribute: v.name, Before: x, After: y}, f)
	}
}

// entryID identifies an entry. Entries with the same name are compared in their order.
type entryID struct {
	name       string
	occurrence int
}

func identify[T any](entries []T, name func(T) string) []entryID {
	seen := make(map[string]int)
	ids := make([]entryID, len(entries))
	for i, e := range entries {
		n := name(e)
		ids[i] = entryID{n, seen[n]}
		seen[n]++
	}
	return ids
}

func compareEntries[T any](d *differ, kind DifferenceKind, section Section, name, summary func(T) string,
	values []value[T], before, after []T,
) {
	beforeIDs, afterIDs := identify(before, name), identify(after, name)
	former := make(map[entryID]int, len(before))
	for i, id := range beforeIDs {
		former[id] = i
	}
	for i, id := range afterIDs {
		f := Field{Section: section, Index: i}
		if j, known := former[id]; known {
			compareValues(d, kind, id.name, f, values, before[j], after[i])
			delete(former, id)
			continue
		}
		d.add(Difference{Kind: kind, Change: Added, Name: id.name, After: summary(after[i])}, f)
	}
	for j, id := range beforeIDs {
		if _, removed := former[id]; removed {
			d.add(Difference{Kind: kind, Change: Removed, Name: id.name, Before: summary(before[j])}, Field{})
		}
	}
}

// compareKeyUse reports that requests begin or cease to need a key.
func (d *differ) compareKeyUse(before, after routing.Config) {
	if before.RequireKey != after.RequireKey {
		d.add(Difference{
			Kind: KeyDifference, Change: Changed, Attribute: "access",
			Before: formatAccess(!before.RequireKey), After: formatAccess(!after.RequireKey),
		}, Field{Section: Workspaces, Index: WholeList})
	}
}

// compareKeys compares the keys by their digests, because an instance shows no keys.
func (d *differ) compareKeys(before, after Document) {
	former, current := keyOwners(before), keyOwners(after)
	reported := make(map[string]bool)
	for _, k := range after.Keys {
		if reported[k.Digest] {
			continue
		}
		reported[k.Digest] = true
		f := Field{Workspaces, k.Workspace, Keys, k.Index}
		was, known := former[k.Digest]
		now := current[k.Digest]
		switch {
		case !known:
			d.add(Difference{Kind: KeyDifference, Change: Added, Name: k.Digest, After: "workspace " + now},
				f)
		case was != now:
			d.add(Difference{
				Kind: KeyDifference, Change: Changed, Name: k.Digest, Attribute: "workspace",
				Before: was, After: now,
			}, f)
		}
	}
	for _, k := range before.Keys {
		if !reported[k.Digest] {
			reported[k.Digest] = true
			d.add(Difference{
				Kind: KeyDifference, Change: Removed, Name: k.Digest,
				Before: "workspace " + former[k.Digest],
			}, Field{})
		}
	}
}

// keyOwners maps the digest of each key to its workspace, the last one as at instances.
func keyOwners(d Document) map[string]string {
	owners := make(map[string]string, len(d.Keys))
	for _, k := range d.Keys {
		owners[k.Digest] = d.Config.Workspaces[k.Workspace].Name
	}
	return owners
}

func formatBound[T int | int64 | time.Duration](n T) string {
	if n <= 0 {
		return "not set"
	}
	return fmt.Sprint(n)
}

func formatRate(perSecond float64) string {
	if perSecond <= 0 {
		return "without limit"
	}
	return fmt.Sprintf("%g/s", perSecond)
}

func formatKind(k routing.RouteKind) string {
	switch k {
	case routing.Idempotent:
		return "idempotent"
	case routing.Upload:
		return "upload"
	default:
		return "not idempotent"
	}
}

func formatAccess(public bool) string {
	if public {
		return "without a key"
	}
	return "with a key"
}

func formatPriority(w routing.Workspace) string {
	if !w.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(w.Priority)
}

func formatRegions(regions []string) string {
	if len(regions) == 0 {
		return "any"
	}
	return strings.Join(slices.Compact(slices.Sorted(slices.Values(regions))), " and ")
}

// formatSplit shows each service's share of the requests, as weights are relative.
func formatSplit(services []routing.WeightedService) string {
	if len(services) == 1 {
		return services[0].Service
	}
	total := 0.0
	for _, s := range services {
		total += s.Weight
	}
	shares := slices.Clone(services)
	slices.SortStableFunc(shares,
		func(a, b routing.WeightedService) int { return cmp.Compare(a.Service, b.Service) })
	parts := make([]string, len(shares))
	for i, s := range shares {
		parts[i] = fmt.Sprintf("%s %.4g%%", s.Service, 100*s.Weight/total)
	}
	return strings.Join(parts, ", ")
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
