package edge

import (
	"maps"
	"slices"

	"foxtailspoke/platform"
	"foxtailspoke/routing"
)

// directory selects the instances whose addresses a caller gets.
type directory struct {
	topology routing.Topology
	// ready holds the addresses of the ready instances by data centre.
	ready map[string][]string
}

// nearest returns the ready instances of the caller's data centre. If there are
// fewer than minLocalAddresses it adds those of all other data centres, which come
// last because traffic between data centres is slower and costs more.
func (d directory) nearest(q platform.ResolveRequest) []string {
	near := d.ready[q.DataCentre]
	if len(near) >= minLocalAddresses {
		return near
	}
	return append(slices.Clone(near), d.readyIn(func(dc string) bool { return dc != q.DataCentre })...)
}

// inRegions is nearest for a host whose routes are restricted to regions. Request
// bodies may only be sent to instances in these regions or in the caller's own
// region, so other instances are returned only if there are none in either.
func (d directory) inRegions(q platform.ResolveRequest, regions []string) []string {
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

// readyIn returns the ready instances of the data centres for which is returns
// true.
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
