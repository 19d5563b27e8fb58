package edge

import (
	"maps"
	"slices"

	"foxtailspoke/platform"
	"foxtailspoke/routing"
)

// directory chooses the instances that a caller is told of.
type directory struct {
	topology routing.Topology
	// ready holds the addresses of each data centre's ready instances.
	ready map[string][]string
}

// nearest returns those of the caller's data centre, and all others beside them
// if there are too few: what crosses data centres is slower, and dear.
func (d directory) nearest(q platform.Question) []string {
	near := d.ready[q.DataCentre]
	if len(near) >= minLocalAddresses {
		return near
	}
	return append(slices.Clone(near), d.readyIn(func(dc string) bool { return dc != q.DataCentre })...)
}

// inRegions is nearest for a host whose routes are restricted to regions. Bodies
// may only be sent to instances of these regions or of the caller's own, so that
// others are named only if there is none at all.
func (d directory) inRegions(q platform.Question, regions []string) []string {
	region := q.Region
	if region == "" {
		region = d.topology[q.DataCentre]
	}
	choices := []func(dc string) bool{
		func(dc string) bool { return dc == q.DataCentre },
		func(dc string) bool { return d.topology[dc] == region },
		func(dc string) bool { return slices.Contains(regions, d.topology[dc]) },
		func(string) bool { return true },
	}
	for _, choice := range choices {
		if list := d.readyIn(choice); len(list) > 0 {
			return list
		}
	}
	return nil
}

// readyIn returns the ready instances of some data centres.
func (d directory) readyIn(is func(dataCentre string) bool) []string {
	var list []string
	for _, dc := range slices.Sorted(maps.Keys(d.ready)) {
		if is(dc) {
			list = append(list, d.ready[dc]...)
		}
	}
	return list
}

func firstN(list []string, most int) []string { return list[:min(len(list), most)] }
